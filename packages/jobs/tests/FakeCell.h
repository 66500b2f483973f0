// A simulated cell around the dispatcher: delayed commits, workers behind a faulty network, an
// advisory service, and leader changes. It checks the guarantees of the job table against what the
// workers actually run. Deterministic for a given seed.
#pragma once

#include "FakeWorker.h"
#include "banyanrill/jobs/Dispatcher.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace banyanrill::jobs::test {

struct CellOptions {
  std::uint64_t seed = 1;
  std::size_t workers = 6;
  double lateShare = 0; ///< Share of orders that time out but are executed 2 to 12 seconds later.
  double lostShare = 0; ///< Share of calls whose order or answer is lost.
  double failShare = 0; ///< Share of runs that fail.
  bool advice = false;
  std::size_t advisers = 3; ///< Daemons that can call the advisory service.
  /// Share of the workers that the advisory service permits for a step. 1: all but one per job.
  double permittedShare = 1;
  std::map<std::string, double> permittedShares;    ///< By queue, in place of the share above.
  base::Resources capacity = {8000, 8000, 0};       ///< Of each worker.
  std::optional<std::vector<Workspace>> workspaces; ///< Of the first configuration.
  /// Compares the dispatcher's use of each workspace with the table after each event.
  bool checkUse = false;
  std::size_t workersPerRack = 0; ///< 0: the workers name no rack.
  double remotePenalty = 1.5;
  double runFactor =
      0; ///< Run time against the estimate; 0: random, from a half to one and a half.
};

/// Not thread-safe.
class FakeCell {
public:
  explicit FakeCell(CellOptions cellOptions);

  void submit(JobSpec spec, std::uint32_t priority = 0);
  void submit(JobSpec spec, Queue queue, const std::string &workspace = {});
  /// Submits to the queue of the cell.
  void submitFor(const std::string &workspace, JobSpec spec, std::uint32_t priority = 0);
  /// Proposes a configuration with these workspaces.
  void configure(std::vector<Workspace> workspaces);
  /// Submits a job if the dispatcher admits it.
  AdmissionDecision submitIfAdmitted(JobSpec spec, Queue queue,
                                     const SubmittingWorkspace &workspace);
  void cancel(const std::string &job);
  void changeLeader();
  void cut(std::size_t worker, bool isCut);
  void kill(std::size_t worker);
  void restart(std::size_t worker, bool sameId);
  /// Restarts a worker under its identifier, and cuts it off some time later for a while.
  void restartAndCut(std::size_t worker, std::int64_t cutAfterMs, std::int64_t cutForMs);
  void drain(std::size_t worker);
  void heal();
  /// Delivers a report of another writer.
  void reportFrom(const WorkerProfile &profile);
  /// Sends the worker's report immediately instead of at the next interval.
  void reportNow(std::size_t worker) { this->report(worker); }

  /// Advances simulated time.
  void run(std::int64_t milliseconds);

  JobPhase phaseOf(const std::string &job) const;
  bool allEnded() const;
  std::int64_t now() const { return this->nowMs; }
  const Table &jobTable() const { return this->table; }
  DispatcherCounters counters() const { return this->dispatcher->counters(); }
  CellLoad load() const { return this->dispatcher->load(this->clock()); }
  AdmissionLoad admissionLoad() const { return this->dispatcher->admissionLoad(this->clock()); }
  std::vector<GangDecision> takeGangDecisions() { return this->dispatcher->takeGangDecisions(); }
  std::vector<LimitDecision> takeLimitDecisions() { return this->dispatcher->takeLimitDecisions(); }
  std::vector<WorkspaceLoad> workspaceLoads() const { return this->dispatcher->workspaceLoads(); }
  /// Returns the most that a workspace has had running at the same time.
  base::Resources peakOf(const std::string &workspace) const;
  /// Returns what a workspace has running now.
  base::Resources runningOf(const std::string &workspace) const;
  std::uint64_t waiting() const { return this->dispatcher->waitingIn("queue"); }
  /// Returns the time that the dispatcher itself has used.
  std::chrono::nanoseconds dispatcherTime() const { return this->spent; }
  FakeWorker &worker(std::size_t index) { return *this->workers.at(index); }
  /// Returns a digest of all that the dispatcher decided so far.
  std::uint64_t decisionDigest() const { return this->digest; }
  base::RandomSource &random() { return this->source; }
  std::vector<PlacementWait> takePlacementWaits() { return this->dispatcher->takePlacementWaits(); }

  /// Each start so far: task, run, worker and time.
  std::vector<std::string> startNames() const;

  /// Returns how many late starts no order of a leader could have prevented, so that they are not
  /// carried out.
  std::uint64_t lateStartsDropped() const { return this->droppedStarts; }

  /// Returns the violated guarantees so far.
  std::vector<std::string> findViolations() const;

private:
  struct Link {
    bool cut = false;
    std::int64_t openSinceMs = 0; ///< While it is not cut.
  };
  struct TaskHistory {
    std::set<std::string> running; ///< Workers that run the task now.
    bool succeeded = false;
    std::optional<std::int64_t> acknowledgedMs; ///< When its first success was acknowledged.
    std::set<RunKey> failed;
  };
  struct ObservedStart {
    std::string name;
    std::set<RunKey> failedBefore;
  };

  void at(std::int64_t timeMs, std::function<void()> function);
  void processActions();
  void commitDueCommands();
  /// Calls the dispatcher and adds the duration to `spent`.
  template <typename Function> auto timed(Function function);
  double slowdownOf(const std::string &worker, const RunKey &run) const;
  std::string rackOf(const std::string &worker) const;
  bool isPermitted(const StepKey &step, const std::string &worker) const;
  void execute(Action &action);
  void noteDecision(const Action &action);
  template <typename Order, typename Answer, typename Carry, typename Report>
  void call(const Order &order, Carry carry, Report report, std::int64_t timeoutMs);
  FakeWorker *find(const OrderTarget &target, Link *&link);
  bool isReleased(const std::string &worker, const RunKey &run) const;
  template <typename Order>
  bool isUnpreventable(const Order &order, const FakeWorker &target, const Link &link) const;
  void report(std::size_t worker);
  void deliver(const WorkerReport &report);
  void onStarted(const std::string &worker, const RunKey &run);
  void onEnded(const std::string &worker, const RunKey &run, EndKind how);
  void onSuccessAcknowledged(const RunKey &run);
  void checkCapacity(const std::string &worker);
  /// No start may bring what runs over the limit with its tolerance by more than one task.
  void checkLimit(const Job &job, const base::Resources &demand);
  void checkUse();
  void noteLimits(const Configuration &configuration);
  void trackRecordedFailures(const Command &command);
  void trackSuccesses(const Effect &effect);
  base::TimePoint clock() const;

  CellOptions options;
  base::RandomSource source;
  std::int64_t nowMs = 0;
  std::multimap<std::int64_t, std::function<void()>> events;
  Table table;
  std::uint64_t lastVersion = 1;
  std::uint64_t term = 0;
  std::uint64_t digest = 0;
  std::unique_ptr<Dispatcher> dispatcher;
  std::deque<std::pair<std::int64_t, Command>>
      log; ///< Proposed commands, each with its commit time in ms.
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<Link> links;
  std::unordered_map<std::string, std::size_t> byAddress;
  std::chrono::nanoseconds spent{0};
  std::map<TaskKey, TaskHistory> tasks;
  std::map<std::string, std::set<TaskKey>> runningOn;
  std::map<std::string, base::Resources> runningFor;    ///< By workspace.
  std::map<std::string, base::Resources> peaks;         ///< The same.
  std::map<std::string, base::Resources> highestLimits; ///< Of all configurations so far.
  std::int64_t nextReportMs = 0;
  bool isHealed = false; ///< Faults that are still to come are left out.
  std::uint64_t droppedStarts = 0;
  std::vector<std::string> violations;
  std::vector<ObservedStart> starts;
  std::set<RunKey> recordedFailures;
};

/// Returns a job of one step with this estimated run time.
JobSpec makeJob(const std::string &id, std::uint32_t tasks, std::int64_t millicores,
                std::int64_t milliseconds);

} // namespace banyanrill::jobs::test
