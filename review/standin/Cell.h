// A small deployment on loopback: daemons as processes of their own, started with the command of
// the deploy file, and the calls of operators and requesters.
#pragma once

#include "Http.h"
#include "Record.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/types.h>
#include <vector>

namespace review {

struct Ports {
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t internal = 0; ///< The first of four.
};

/// One daemon. Not thread-safe.
class Daemon {
public:
  Daemon(std::string ownFolder, std::string ownName, std::string ownIp, bool withDisk,
         Ports allPorts);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void start(const std::vector<std::string> &seeds, bool bootstrap);
  void kill();
  /// Whether the process runs; notices its end.
  bool isAlive();
  /// Whether it leads, by its metrics.
  bool leads() const;

  std::string front() const;
  std::string control() const;
  const std::string &name() const { return this->daemonName; }

private:
  std::string folder;
  std::string daemonName;
  std::string ip;
  bool hasDisk;
  Ports ports;
  pid_t pid = 0;
};

/// Three daemons with a disk and two without. Not thread-safe, but for the calls.
class Cell {
public:
  Cell(const std::string &folder, Record &caseRecord);

  /// Starts all daemons and waits until one of them leads. Returns false if none does.
  bool start();

  /// The index of the daemon that leads, if one does.
  std::optional<std::size_t> leader() const;
  /// Waits for a leader other than `former`.
  std::optional<std::size_t> waitForLeader(std::int64_t timeoutMs,
                                           std::optional<std::size_t> former = std::nullopt) const;
  Daemon &daemon(std::size_t index) { return *this->daemons.at(index); }
  std::size_t diskCount() const { return Disks; }
  void restart(std::size_t index);

  std::vector<std::string> controls() const;

  /// Sends a configuration with one queue until it is acknowledged.
  bool configure(std::int64_t version, int maxAttempts = 4);
  static constexpr const char *Host = "readings.example";
  static constexpr const char *Prefix = "/gauge/";
  static constexpr const char *Service = "gauge";

  /// Hands a job in and repeats it at other daemons until it has a clear answer. Returns the status
  /// of the last answer.
  int submit(const std::string &job, const nlohmann::json &body, std::int64_t timeoutMs);
  /// Asks for the state; empty if nothing clear was answered.
  std::string stateOf(const std::string &job);
  int cancel(const std::string &job, std::int64_t timeoutMs);

private:
  static constexpr std::size_t Disks = 3;
  static constexpr std::size_t Machines = 5;

  std::string frontAt(std::size_t attempt) const;

  Record &record;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::string> seeds;
};

/// A job of one step.
nlohmann::json jobOf(int tasks, std::int64_t durationMs, std::int64_t cpu, bool gang = false);

} // namespace review
