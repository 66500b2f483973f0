// State of the dispatcher, shared by its parts: orders to workers (WorkerOrders.cpp) and placement
// (Placing.cpp).
#pragma once

#include "AdviceDesk.h"
#include "SpeedTable.h"
#include "StepQueue.h"
#include "WorkerSession.h"
#include "banyanrill/jobs/Dispatcher.h"

#include <unordered_map>

namespace banyanrill::jobs {

/// A run that is proposed to the log but not yet in the table.
struct PendingRun {
  std::string worker;
  std::uint32_t run = 0;
  std::string ticket;
  base::TimePoint ticketUntil = base::TimePoint::max();
};

/// Which run an order was about.
struct OrderSubject {
  WorkerIncarnation worker;
  RunKey run;
};

/// Members of a gang that a worker can take from a time on.
struct Opening {
  base::TimePoint at;
  WorkerSession *session = nullptr;
  std::uint32_t slots = 0;
};

struct Dispatcher::State {
  State(const Table &jobTable, DispatcherOptions dispatcherOptions, base::RandomSource source,
        base::TimePoint start, std::int64_t wallClock);

  const Table &table;
  DispatcherOptions options;
  base::RandomSource random;
  base::TimePoint started;
  base::TimePoint now;
  std::int64_t wallClockMs = 0;

  std::map<std::string, WorkerSession> sessions;
  std::set<std::string> dirtyWorkers;
  base::TimePoint nextSweep = base::TimePoint::min();
  StepQueue queue;
  AdviceDesk desk;
  SpeedTable speeds;
  std::map<TaskKey, PendingRun> pending;
  std::unordered_map<OrderId, OrderSubject> orders;
  std::map<StepKey, std::uint32_t> abandonedGangs; ///< Runs of gangs that did not start together.
  OrderId lastOrder = 0;
  bool planWanted = true;
  base::TimePoint nextPlan = base::TimePoint::min();
  std::set<std::string> begun; ///< Active jobs of which a worker said that a run was there.
  std::map<std::string, std::uint64_t> waiting;   ///< Jobs not begun, by queue.
  std::map<std::string, std::string> waitingJobs; ///< Job to its queue.
  std::map<std::string, std::int64_t> ended;      ///< Jobs to forget, with the time of their end.
  std::set<std::string> timedJobs;                ///< Jobs with occurrences still to come.
  std::vector<Action> actions;
  std::vector<ReleasedRun> releases;
  DispatcherCounters counters;

  // Jobs.
  void refreshJob(const std::string &id);
  void noteBegun(const std::string &job);
  void noteDuration(const WorkerSession &session, const TaskEnd &end);
  void openDueOccurrences();
  void forgetEndedJobs();

  // Workers.
  void refreshWorker(const std::string &id);
  void serveWorker(const Worker &worker, WorkerSession &session);
  void serveRuns(const Worker &worker, WorkerSession &session);
  void serveRun(const Worker &worker, WorkerSession &session, const TaskKey &task,
                const Placement &placement);
  bool mayStart(const RunKey &run) const;
  bool gangIsBroken(const RunKey &run) const;
  void checkGang(const RunKey &run, const RunView &view);
  void sendStart(const Worker &worker, WorkerSession &session, const RunKey &run, RunView &view);
  void sendStop(const Worker &worker, WorkerSession &session, const RunKey &run);
  void sendHold(const Worker &worker, WorkerSession &session);
  void release(WorkerSession &session, const RunKey &run, RunView &view);
  void removeWorker(const Worker &worker, WorkerSession &session);
  OrderTarget targetOf(const Worker &worker) const;
  /// Worker and session of an answered order if both are still of the life it was meant for.
  std::pair<const Worker *, WorkerSession *> find(const WorkerIncarnation &incarnation);
  std::optional<OrderSubject> takeOrder(OrderId id);
  /// What every answer to a start or a stop tells. \returns as `find`; null for no subject.
  std::pair<const Worker *, WorkerSession *> noteAnswer(const std::optional<OrderSubject> &subject,
                                                        const OrderAnswer &answer);
  void judgeRuns(const Worker &worker, WorkerSession &session, const RenewLeaseAnswer &answer);

  // Placement.
  void plan();
  void place(const OpenStep &open, PlaceRuns &command);
  void placeGang(const OpenStep &open, PlaceRuns &command);
  std::vector<std::uint32_t> waitingTasks(const OpenStep &open) const;
  /// Workers that may get tasks of the step now, with room for one at least.
  std::vector<WorkerSession *> candidatesFor(const OpenStep &open);
  WorkerSession *chooseWorker(const OpenStep &open, const Task &task,
                              const std::vector<WorkerSession *> &candidates,
                              std::map<std::string, std::uint32_t> &perWorker);
  std::optional<double> scoreOf(const OpenStep &open, const Task &task, WorkerSession &session);
  void assign(const OpenStep &open, std::uint32_t index, std::uint32_t run, WorkerSession &session,
              PlaceRuns &command);
  void considerAdvice(const OpenStep &open);
  void ask(const OpenStep &open, std::vector<std::string> workers);

  // Gangs that collect room (Collecting.cpp).
  void collect(const OpenStep &open);
  std::vector<Opening> openingsFor(const OpenStep &open);
  void adviseGang(const OpenStep &open, const std::vector<Opening> &chosen, base::TimePoint start);
  void discoverWorkers(const OpenStep &open);
  base::Resources roomFor(const OpenStep &open, WorkerSession &session);
  bool isEligible(const OpenStep &open, const WorkerSession &session) const;
  std::uint32_t slotsIn(const OpenStep &open, WorkerSession &session);
  base::Resources freeRoom(WorkerSession &session);
  base::TimePoint expectedEnd(const WorkerSession &session, const TaskKey &task,
                              const Job &job) const;
  void dropPending(const TaskKey &task);
  base::Resources proposedOn(const std::string &worker) const;
  std::map<std::string, std::uint32_t> tasksPerWorker(const OpenStep &open) const;
};

/// What a run takes from its worker; fillers take no processors.
base::Resources demandOf(const Step &step);

/// How many times the demand fits.
std::uint32_t slotsFor(const base::Resources &room, const base::Resources &demand);

} // namespace banyanrill::jobs
