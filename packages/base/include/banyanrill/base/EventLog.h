// Structured log: numbered events with fields. docs/events.md is their catalogue.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace banyanrill::base {

enum class Severity { Debug, Info, Warning, Error };

/// Definition of one event. Numbers are never reused.
struct EventDefinition {
  std::uint32_t number;
  Severity severity;
  std::string_view name;
  std::string_view description;
};

/// All events, in ascending order of number.
std::span<const EventDefinition> eventCatalogue();

struct EventField {
  std::string_view key;
  std::string value;
};

/// Names of the events; the values are the numbers in the catalogue.
enum class Event : std::uint32_t {
  DaemonStarted = 1001,
  DaemonStopping = 1002,
  DaemonStopped = 1003,
  SettingsFileRejected = 1004,
  BecameLeader = 2001,
  LostLeadership = 2002,
  StorageFailed = 2003,
  LogTailRepaired = 2004,
  OwnerAssigned = 3001,
  WorkerAdopted = 3002,
  WorkerGrantExpired = 3003,
  WorkerLost = 3004,
  UpstreamAnnounced = 3101,
  UpstreamLeft = 3102,
  JobAccepted = 3201,
  JobEnded = 3202,
  TaskStarted = 3203,
  TaskEnded = 3204,
  SettingChanged = 4001,
  RequestRefused = 5001,
  HttpLoopFailed = 6001,
  PeerMessageRejected = 6002,
};

/// Sets the minimum severity and writes to standard error, one JSON object a line.
/// Call once at start, before other threads exist.
void initializeEventLog(std::string_view daemonName, Severity minimum);

/// Writes one event. Thread-safe. Never pass tokens or bodies of requests.
void logEvent(Event event, std::initializer_list<EventField> fields);

} // namespace banyanrill::base
