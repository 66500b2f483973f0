// A simulated cell around the dispatcher: commits with a delay, workers behind a faulty network, an
// advisory service, and leaders that change. It checks the promises of the job table from what the
// workers do. Deterministic for a seed.
#pragma once

#include "FakeWorker.h"
#include "banyanrill/jobs/Dispatcher.h"

#include <deque>
#include <memory>
#include <set>

namespace banyanrill::jobs::test {

struct CellOptions {
  std::uint64_t seed = 1;
  std::size_t workers = 6;
  double lateShare = 0; ///< Of orders: no answer, carried out seconds later.
  double lostShare = 0; ///< Of calls: nothing arrives, or the answer is lost.
  double failShare = 0; ///< Of runs.
  bool advice = false;
};

/// Not thread-safe.
class FakeCell {
public:
  explicit FakeCell(CellOptions cellOptions);

  void submit(JobSpec spec, std::uint32_t priority = 0);
  void cancel(const std::string &job);
  void changeLeader();
  void cut(std::size_t worker, bool isCut) { this->links.at(worker).cut = isCut; }
  void kill(std::size_t worker);
  void restart(std::size_t worker, bool sameId);
  void drain(std::size_t worker);
  void heal();
  /// The worker reports at once, and not only when its next report is due.
  void reportNow(std::size_t worker) { this->report(worker); }

  /// Lets simulated time pass.
  void run(std::int64_t milliseconds);

  JobPhase phaseOf(const std::string &job) const;
  bool allEnded() const;
  std::int64_t now() const { return this->nowMs; }
  const Table &jobTable() const { return this->table; }
  DispatcherCounters counters() const { return this->dispatcher->counters(); }
  std::uint64_t waiting() const { return this->dispatcher->waitingIn("queue"); }
  FakeWorker &worker(std::size_t index) { return *this->workers.at(index); }
  base::RandomSource &random() { return this->source; }

  /// Broken promises so far.
  std::vector<std::string> findViolations() const;

private:
  struct Link {
    bool cut = false;
  };
  struct Seen {
    std::set<std::string> running; ///< Workers that run the task now, with the run.
    bool succeeded = false;
    std::set<RunKey> failed;
  };
  struct Start {
    std::string name;
    std::set<RunKey> failedBefore;
  };

  void at(std::int64_t timeMs, std::function<void()> function);
  void pump();
  void commitDue();
  void carryOut(Action &action);
  template <typename Order, typename Answer, typename Carry, typename Report>
  void call(const Order &order, Carry carry, Report report, std::int64_t timeoutMs);
  FakeWorker *find(const OrderTarget &target, Link *&link);
  void report(std::size_t worker);
  void onStarted(const std::string &worker, const RunKey &run);
  void onEnded(const std::string &worker, const RunKey &run, EndKind how);
  void checkRoom(const std::string &worker);
  void noteRecorded(const Command &command);
  void noteSuccesses(const Effect &effect);
  base::TimePoint clock() const;

  CellOptions options;
  base::RandomSource source;
  std::int64_t nowMs = 0;
  std::multimap<std::int64_t, std::function<void()>> events;
  Table table;
  std::uint64_t term = 0;
  std::unique_ptr<Dispatcher> dispatcher;
  std::deque<std::pair<std::int64_t, Command>> log; ///< Proposed, with the time of the commit.
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<Link> links;
  std::map<TaskKey, Seen> tasks;
  std::map<std::string, std::set<TaskKey>> runningOn;
  std::int64_t nextReportMs = 0;
  std::vector<std::string> violations;
  std::vector<Start> starts;
  std::set<RunKey> recordedFailures;
};

/// A job of one step.
JobSpec makeJob(const std::string &id, std::uint32_t tasks, std::int64_t millicores,
                std::int64_t milliseconds);

} // namespace banyanrill::jobs::test
