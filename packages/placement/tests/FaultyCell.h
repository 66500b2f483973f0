// Simulated cell of workers and owners with exact accounting and random faults, for the real
// planner.
#pragma once

#include "banyanrill/placement/Ledger.h"
#include "banyanrill/placement/Planner.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::placement {

struct CellOptions {
  std::uint64_t seed = 1;
  int workers = 6;
  int jobs = 8;
  int steps = 80;          ///< Each of 0.5 s, with faults; afterwards all jobs must end.
  int faultsPerMille = 30; ///< For each kind of fault, per step or message.
  bool leaderChanges = true;
};

/// Violations found in the run, by property. All empty if the planner is correct.
struct Violations {
  std::vector<std::string> capacity;
  std::vector<std::string> placements;
  std::vector<std::string> gangs;
  std::vector<std::string> ends;
  std::vector<std::string> quotas;
  std::vector<std::string> progress;
};

class FaultyCell {
public:
  explicit FaultyCell(CellOptions options);
  Violations run();

private:
  struct SimulatedWorker {
    WorkerView view;
    Ledger ledger{base::Resources{}};
    base::Resources hiddenLoad; ///< Load of requests not yet reported.
    bool up = true;
    bool failing = false;
    base::TimePoint returnsAt;
  };
  struct JobState {
    JobSpec spec;
    base::TimePoint accepted;
    bool failing = false;
    bool cancelled = false;
    bool ended = false;
    std::map<std::uint32_t, std::uint32_t> failures;
  };
  /// A task on its worker, from the assignment until it has actually ended.
  struct TaskRun {
    std::string worker;
    std::uint32_t attempt = 0;
    bool started = false;
    bool stopping = false;
    base::TimePoint startsAt;
    base::TimePoint endsAt;
    base::Resources held;
  };

  bool chance(int perMille);
  base::Duration delay(std::uint64_t milliseconds);
  void addWorkers();
  void addJob();
  void changeLeader();
  void planOnce(bool mayCrash);
  void apply(const AssignTask &action);
  void apply(const StopTask &action);
  void apply(const EndJob &action);
  void checkGangs(const std::vector<Action> &actions);
  void checkPreemption(const StopTask &action);
  void send(const TaskEvent &event, base::Duration after);
  void endTaskRun(const base::TaskId &task, TaskEventKind kind);
  void advance(base::Duration step);
  void injectFaults();
  void loseWorker(SimulatedWorker &host);
  void restoreWorkers(bool all);
  bool allEnded() const;
  base::Resources nonPreemptibleUse(const std::string &team) const;

  CellOptions options;
  base::RandomSource random;
  base::TimePoint now;
  std::unique_ptr<Planner> planner;
  Violations violations;
  bool faults = true;
  std::map<std::string, SimulatedWorker> hosts;
  std::map<std::string, JobState> jobs;
  std::map<std::string, base::Resources> quotas;
  std::map<base::TaskId, TaskRun> taskRuns;
  std::map<base::TaskId, std::uint32_t> lastAttempt;
  std::map<base::TaskId, TaskRecord> records;
  std::set<base::TaskId> succeeded;
  std::multimap<base::TimePoint, TaskEvent> events;
};

} // namespace banyanrill::placement
