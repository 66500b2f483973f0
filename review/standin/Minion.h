// Stand-in for the minions of the platform: runs tasks as PROTOCOL.md says, under leases on its own
// steady clock, and reports itself to the control addresses.
#pragma once

#include "Http.h"
#include "Record.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

/// What all minions run, for the check of the rule TWICE. Thread-safe.
class RunLog {
public:
  explicit RunLog(Record &caseRecord) : record(caseRecord) {}

  void started(const std::string &task, std::int64_t run, const std::string &minion,
               std::int64_t token);
  void ended(const std::string &task, std::int64_t run, const std::string &minion,
             const std::string &how);
  /// The minion's end `done` was taken note of, with no lapse of its lease in between.
  void noted(const std::string &task, std::int64_t run);

  std::size_t starts();
  std::size_t runningNow();

private:
  struct Done {
    std::int64_t run = 0;
    std::string laterStart; ///< Of a run that began after this end.
    bool noted = false;
  };

  void checkDone(const std::string &task, const Done &done);

  Record &record;
  std::mutex mutex;
  std::map<std::string, std::map<std::string, std::int64_t>> running; ///< Task, minion, run.
  std::map<std::string, Done> done;
  std::size_t startCount = 0;
};

struct MinionOptions {
  std::string id;
  std::string address = "127.0.0.1";
  std::string service;
  std::string zone = "z1";
  std::string rack = "r1";
  std::int64_t cpu = 16000;
  std::int64_t memoryMb = 65536;
  std::int64_t holdMaxMs = 10000;
  std::int64_t heartbeatMs = 1500;
  std::vector<std::string> control; ///< Addresses that take status reports.
};

/// A task's duration in ms is the number that its TaskSpec begins with.
class Minion {
public:
  Minion(MinionOptions minionOptions, RunLog &runLog, Record &caseRecord);
  ~Minion();
  Minion(const Minion &) = delete;
  Minion &operator=(const Minion &) = delete;

  /// host:port of its own listener.
  std::string address() const;
  const std::string &id() const { return this->options.id; }
  nlohmann::json report();
  std::size_t runningCount();
  /// Reports `draining` from now on, and returns when that is acknowledged.
  void drain();
  /// Ends with all that it runs.
  void end();
  /// From now on nothing reaches the minion. What it sends still arrives.
  void cutOneWay();

private:
  struct Running {
    std::int64_t run = 0;
    std::int64_t endsAtMs = 0;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    bool lapsedSince = false; ///< The lease lapsed before the end was taken note of.
  };

  Response serve(const Request &request);
  Response start(const nlohmann::json &order);
  Response stop(const nlohmann::json &order);
  Response hold(const nlohmann::json &order, std::unique_lock<std::mutex> &lock);
  Response answer(int status, const std::string &reason = {});
  void extendLease(const nlohmann::json &order);
  void finish(const std::string &task, const std::string &how);
  void advance();
  void work();
  void beat();
  std::int64_t clockMs() const { return nowMs() - this->bornAtMs; }

  MinionOptions options;
  RunLog &log;
  Record &record;
  std::int64_t bornAtMs = nowMs();
  std::int64_t born = wallClockMs();
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool cut = false;
  bool draining = false;
  bool drainAcknowledged = false;
  std::int64_t fence = 0;
  std::int64_t leaseUntilMs = 0; ///< On the minion's clock.
  std::int64_t lastEnd = 0;
  std::int64_t sequence = 0;
  std::map<std::string, Running> running;
  std::map<std::string, std::int64_t> barred; ///< Highest run that was stopped or has ended.
  std::deque<End> ends;
  std::unique_ptr<Server> server;
  std::thread worker;
  std::thread reporter;
};

} // namespace review
