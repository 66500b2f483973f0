// Stand-in for a worker that is called: leases on its own clock, fences, runs and listed ends. It
// reports broken promises instead of preventing them.
#pragma once

#include "banyanrill/jobs/Orders.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::jobs::test {

/// What the world outside of a worker must know of its runs.
struct RunObserver {
  std::function<void(const std::string &worker, const RunKey &run)> started;
  std::function<void(const std::string &worker, const RunKey &run, EndKind how)> ended;
  /// How long a run takes, and whether it fails.
  std::function<std::pair<std::int64_t, bool>(const std::string &worker, const RunKey &run)> work;
};

/// Not thread-safe. Times are milliseconds of the simulation.
class FakeWorker {
public:
  FakeWorker(WorkerProfile workerProfile, double clockRate, RunObserver runObserver)
      : profile(std::move(workerProfile)), rate(clockRate), observer(std::move(runObserver)) {}

  OrderAnswer start(const StartOrder &order, std::int64_t nowMs);
  OrderAnswer stop(const StopOrder &order, std::int64_t nowMs);
  RenewLeaseAnswer hold(const RenewLeaseOrder &order, std::int64_t nowMs);

  /// Ends what is done, and what outlives its lease.
  void advance(std::int64_t nowMs);

  /// Forgets everything and begins a new life.
  void restart(const std::string &id, std::int64_t nowMs);
  void kill();

  std::size_t runningCount() const { return this->running.size(); }

  std::int64_t clockMs(std::int64_t nowMs) const {
    return static_cast<std::int64_t>(static_cast<double>(nowMs - this->bornAtMs) * this->rate);
  }

  WorkerProfile profile;
  /// Numbers of listed ends after which the lease has lapsed.
  std::set<std::uint64_t> outlivedLease;
  bool alive = true;

private:
  struct Running {
    std::uint32_t run = 0;
    std::int64_t endsAtMs = 0;
    bool fails = false;
  };

  bool admits(std::uint64_t fencingToken);
  void end(TaskKey task, EndKind how); ///< A copy: the entry of the task is erased.

  double rate;
  RunObserver observer;
  std::int64_t bornAtMs = 0;
  std::uint64_t fencingToken = 0;
  std::int64_t leaseUntilMs = 0; ///< On its own clock.
  std::uint64_t lastEnd = 0;
  std::map<TaskKey, Running> running;
  std::map<TaskKey, std::uint32_t> barred; ///< Runs up to this one do not start any more.
  std::vector<TaskEnd> ends;
};

} // namespace banyanrill::jobs::test
