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
  MachineWasSuspended = 1005,
  SettingsReloaded = 1006,
  LogLinesDropped = 1007,
  LeaderKnown = 1008,
  LeaderUnknown = 1009,
  OutageBegan = 1010,
  OutageEnded = 1011,
  BecameLeader = 2001,
  LostLeadership = 2002,
  StorageFailed = 2003,
  LogTailRepaired = 2004,
  MembershipProposed = 2005,
  GroupFounded = 2006,
  LeaderWasPaused = 2007,
  StorageReopened = 2008,
  SnapshotSkipped = 2009,
  RemovalFailed = 2010,
  ReplicaStarted = 2011,
  MembershipInForce = 2012,
  NoMajorityHeard = 2013,
  MemberLags = 2014,
  SnapshotTaken = 2015,
  OwnerAssigned = 3001,
  WorkerAdopted = 3002,
  WorkerGrantExpired = 3003,
  WorkerLost = 3004,
  WorkerRegistered = 3005,
  WorkerRemoved = 3006,
  WorkerNotHeld = 3007,
  WorkerReportIgnored = 3008,
  WorkerRestarted = 3009,
  WorkerSessionBegan = 3010,
  WorkerDoubted = 3011,
  WorkerRestartSeen = 3012,
  WorkerFellSilent = 3013,
  WorkerRemovalDecided = 3014,
  UpstreamAnnounced = 3101,
  UpstreamLeft = 3102,
  JobAccepted = 3201,
  JobEnded = 3202,
  TaskStarted = 3203,
  TaskEnded = 3204,
  RunOrdered = 3205,
  RunStopOrdered = 3206,
  RunEnded = 3207,
  RunReleased = 3208,
  RunReleaseDecided = 3209,
  AdviceAnswered = 3301,
  GangDecided = 3302,
  CellLoad = 3303,
  PlacementWaited = 3304,
  LoadRefusals = 3305,
  WorkspaceAtLimit = 3306,
  WorkspaceLimitLowered = 3307,
  SettingChanged = 4001,
  ConfigurationInForce = 4002,
  KeyWithdrawn = 4101,
  RequestRefused = 5001,
  RequestAnswered = 5002,
  ReceiveLimitReached = 5003,
  CallersRefused = 5101,
  HttpLoopFailed = 6001,
  PeerMessageRejected = 6002,
  EventHandlerFailed = 6003,
};

enum class LogTarget {
  StandardError,
  StandardOutput, ///< Buffered and limited in bytes a second; never waits for the reader.
};

/// Sets the minimum severity and the target; one JSON object a line.
/// Call once at start, before other threads exist.
void initializeEventLog(std::string_view daemonName, Severity minimum,
                        LogTarget target = LogTarget::StandardError);

/// Writes one event. Thread-safe. Never pass tokens or bodies of requests.
void logEvent(Event event, std::initializer_list<EventField> fields);
void logEvent(Event event, std::span<const EventField> fields);

/// Writes what is buffered for standard output, as far as the reader takes it. Thread-safe.
void flushEventLog();

/// Lines that were dropped because the limit was reached or the reader did not take them.
std::uint64_t droppedLogLines();

} // namespace banyanrill::base
