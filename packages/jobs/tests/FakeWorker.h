// Simulated worker that receives orders. It implements leases on its own clock, fencing, runs and
// reported ends. It lets violations happen so that its observer can detect them.
#pragma once

#include "banyanrill/jobs/Orders.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::jobs::test {

/// Callbacks for a worker's runs.
struct RunObserver {
  std::function<void(const std::string &worker, const RunKey &run)> started;
  std::function<void(const std::string &worker, const RunKey &run, EndKind how)> ended;
  /// A leader has recorded a success, and the lease did not expire before it said so.
  std::function<void(const RunKey &run)> successAcknowledged;
  /// Returns the duration of a run in ms and whether it fails.
  std::function<std::pair<std::int64_t, bool>(const std::string &worker, const RunKey &run)> work;
};

/// Not thread-safe. Times are simulated milliseconds.
class FakeWorker {
public:
  FakeWorker(WorkerProfile workerProfile, double clockRate, RunObserver runObserver)
      : profile(std::move(workerProfile)), rate(clockRate), observer(std::move(runObserver)) {}

  OrderAnswer start(const StartOrder &order, std::int64_t nowMs);
  OrderAnswer stop(const StopOrder &order, std::int64_t nowMs);
  RenewLeaseAnswer hold(const RenewLeaseOrder &order, std::int64_t nowMs);

  /// Ends finished runs, and all runs if the lease has expired.
  void advance(std::int64_t nowMs);

  /// Discards all state and starts a new incarnation, whose clock reads `newClockStartMs`.
  void restart(const std::string &id, std::int64_t nowMs, std::int64_t newClockStartMs = 0);
  void kill();

  std::size_t runningCount() const { return this->running.size(); }

  /// When this incarnation started.
  std::int64_t startMs() const { return this->startedAtMs; }

  std::int64_t clockMs(std::int64_t nowMs) const {
    return this->clockStartMs +
           static_cast<std::int64_t>(static_cast<double>(nowMs - this->startedAtMs) * this->rate);
  }

  WorkerProfile profile;
  /// Numbers of the ends that were still unacknowledged when the lease expired.
  std::set<std::uint64_t> endsPendingAtLeaseExpiry;
  bool alive = true;
  /// This incarnation has received an order that was meant for it, not for a former one.
  bool hasMetLeader = false;

private:
  struct Running {
    std::uint32_t run = 0;
    std::int64_t endsAtMs = 0;
    bool fails = false;
  };

  bool acceptsFence(std::uint64_t fence);
  void forgetEnds(std::uint64_t recordedEnds);
  void end(TaskKey task, EndKind how); ///< By value: the task's entry is erased.

  double rate;
  RunObserver observer;
  std::int64_t startedAtMs = 0;
  std::int64_t clockStartMs = 0; ///< What the worker's clock read then.
  std::uint64_t fence = 0;
  std::int64_t leaseUntilMs = 0; ///< On the worker's clock.
  std::uint64_t lastEnd = 0;
  std::map<TaskKey, Running> running;
  std::map<TaskKey, std::uint32_t> lastBarredRun; ///< Highest run that must not start any more.
  std::vector<TaskEnd> ends;
};

} // namespace banyanrill::jobs::test
