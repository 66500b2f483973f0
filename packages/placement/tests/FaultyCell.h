// A cell of workers and owners with exact ledgers and random faults, driven by the real planner.
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
  int steps = 80;          ///< Of half a second, with faults; then the cell must drain.
  int faultsPerMille = 30; ///< Of each kind, for each step or message.
  bool leaderChanges = true;
};

/// What the run violated, by property. All empty if the planner is right.
struct Violations {
  std::vector<std::string> capacity;
  std::vector<std::string> places;
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
  struct Host {
    WorkerView view;
    Ledger ledger{base::Resources{}};
    base::Resources hiddenLoad; ///< Requests that are not yet in a report.
    bool up = true;
    bool failing = false;
    base::TimePoint returns;
  };
  struct JobState {
    JobSpec spec;
    base::TimePoint accepted;
    bool failing = false;
    bool cancelled = false;
    bool ended = false;
    std::map<std::uint32_t, std::uint32_t> failures;
  };
  /// Where a task is, from the assignment until it has physically ended.
  struct Place {
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
  void newLeader();
  void planOnce(bool mayCrash);
  void apply(const AssignTask &action);
  void apply(const StopTask &action);
  void apply(const EndJob &action);
  void checkGangs(const std::vector<Action> &actions);
  void checkPreemption(const StopTask &action);
  void send(const TaskEvent &event, base::Duration after);
  void endPlace(const base::TaskId &task, TaskEventKind kind);
  void advance(base::Duration step);
  void injectFaults();
  void loseWorker(Host &host);
  void returnWorkers(bool all);
  bool allEnded() const;
  base::Resources fixedUseOf(const std::string &team) const;

  CellOptions options;
  base::RandomSource random;
  base::TimePoint now;
  std::unique_ptr<Planner> planner;
  Violations found;
  bool faults = true;
  std::map<std::string, Host> hosts;
  std::map<std::string, JobState> jobs;
  std::map<std::string, base::Resources> quotas;
  std::map<base::TaskId, Place> places;
  std::map<base::TaskId, std::uint32_t> lastAttempt;
  std::map<base::TaskId, TaskRecord> records;
  std::set<base::TaskId> succeeded;
  std::multimap<base::TimePoint, TaskEvent> events;
};

} // namespace banyanrill::placement
