// State of the dispatcher, shared by its parts: orders to workers (WorkerOrders.cpp) and placement
// (Placing.cpp).
#pragma once

#include "AdmissionLedger.h"
#include "AdviceTracker.h"
#include "GangDecisions.h"
#include "SpeedTable.h"
#include "StepQueue.h"
#include "WorkerSession.h"
#include "banyanrill/jobs/Dispatcher.h"

#include <unordered_map>

namespace banyanrill::jobs {

/// A run that was proposed to the log and is not yet in the table.
struct PendingRun {
  std::string worker;
  std::uint64_t session = 0; ///< With the incarnation of the worker that was chosen.
  std::uint32_t run = 0;
  std::string ticket;
  base::TimePoint ticketUntil = base::TimePoint::max();
};

/// The session and run that an order concerns.
struct OrderSubject {
  std::string worker;
  std::uint64_t session = 0;
  RunKey run;
  base::TimePoint sentAt = base::TimePoint::min();
  bool givesLease = false;
  std::uint64_t recordedEnds = 0; ///< That the worker may forget.
};

/// Number of gang members that a worker is expected to have room for from `at` on.
struct SlotForecast {
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
  std::vector<WorkerSession *> byNumber; ///< Null where no session has the number.
  std::vector<WorkerNumber> freeNumbers;
  /// Sessions with their free millicores, most first; filled in once per planning round.
  std::vector<std::pair<std::int64_t, WorkerSession *>> byFreeProcessors;
  std::set<std::string> dirtyWorkers;
  base::TimePoint nextSweep = base::TimePoint::min();
  StepQueue queue;
  AdviceTracker adviceTracker;
  GangDecisions gangDecisions;
  SpeedTable speeds;
  AdmissionLedger admissionLedger;
  AdmissionPolicy admissionPolicy;
  std::map<StepKey, std::map<std::uint32_t, PendingRun>> pending; ///< By step and task.
  std::unordered_map<OrderId, OrderSubject> orders;
  std::map<StepKey, std::uint32_t> abandonedGangs; ///< Runs of gangs that did not start together.
  std::set<TaskKey> proposedSuccesses;             ///< Tasks whose success is being recorded.
  std::uint64_t lastOrder = 0;
  std::uint64_t lastSession = 0;
  bool planNeeded = true;
  base::TimePoint nextPlan = base::TimePoint::min();
  base::TimePoint nextGangRound = base::TimePoint::min();
  std::set<std::string> begun;                  ///< Active jobs with a run that a worker confirmed.
  std::map<std::string, std::uint64_t> waiting; ///< Number of jobs not begun, by queue.
  std::map<std::string, std::string> waitingJobs;       ///< Queue of each job not begun.
  std::set<std::pair<std::int64_t, std::string>> ended; ///< Jobs to remove, by end time in ms.
  std::set<std::string> repeatingJobs; ///< Jobs with occurrences that are not open yet.
  std::vector<Action> actions;
  std::vector<ReleasedRun> releases;
  std::vector<WorkerDecision> decisions;
  DispatcherCounters counters;

  // Jobs.
  AdmissionDecision admit(const JobSpec &spec, const Queue &queue,
                          const SubmittingWorkspace &workspace);
  void refreshJob(const std::string &id);
  void markBegun(const std::string &job);
  void recordDuration(WorkerSession &session, const TaskEnd &end);
  /// Stops the last run of a task that has succeeded in an earlier run.
  void stopObsoleteRun(const RunKey &succeeded);
  void openDueOccurrences();
  void forgetEndedJobs();

  // Workers.
  void refreshWorker(const std::string &id, SessionCause cause);
  void removeSession(const std::string &id);
  /// Asks the other workers at the address of a new one whether they still live.
  void doubtOthersAt(const WorkerProfile &newcomer);
  void doubt(const std::string &id, WorkerSession &session, DoubtCause cause,
             const WorkerIncarnation &other);
  WorkerNumber takeNumber(WorkerSession &session);
  std::optional<WorkerNumber> numberOf(const std::string &worker) const;
  void examineLater(const std::string &worker, const TaskKey &task);
  /// Examines the other members of a gang after one of them has ended.
  void examineGang(const TaskKey &task);
  void advanceWorker(const Worker &worker, WorkerSession &session);
  void advanceRuns(const Worker &worker, WorkerSession &session);
  void advanceRun(const Worker &worker, WorkerSession &session, const TaskKey &task,
                  const Placement &placement);
  bool mayStart(const RunKey &run) const;
  bool gangIsBroken(const RunKey &run) const;
  void checkGang(const RunKey &run, const RunStatus &view);
  void sendStart(const Worker &worker, WorkerSession &session, const RunKey &run, RunStatus &view);
  void sendStop(const Worker &worker, WorkerSession &session, const RunKey &run);
  void sendRenewLease(const Worker &worker, WorkerSession &session);
  void release(WorkerSession &session, const RunKey &run, RunStatus &view, ReleaseCause cause);
  void removeWorker(const Worker &worker, WorkerSession &session, RemovalCause cause);
  /// Keeps a conclusion for the log.
  void report(WorkerDecision decision);
  SessionKey keyOf(const WorkerSession &session) const;
  /// Bars every order of an earlier session from the worker's first answer on. Precondition: the
  /// session's number fits into the lower half.
  std::uint64_t fencingTokenOf(const WorkerSession &session) const;
  OrderTarget targetOf(const Worker &worker, const WorkerSession &session) const;
  /// Returns worker and session if the order's session still lives, else nulls.
  std::pair<const Worker *, WorkerSession *> find(const OrderSubject &subject);
  OrderId nextOrder() { return {this->options.term, ++this->lastOrder}; }
  /// Remembers what an order is about until its answer comes.
  void expectAnswer(const OrderId &id, const WorkerSession &session, const RunKey &run,
                    bool givesLease);
  void expectAnswer(const RenewLeaseOrder &order, const WorkerSession &session);
  /// An order with a lease may have reached an incarnation that was not seen yet.
  void extendSuccessorLease(WorkerSession &session) const;
  /// Releases the runs of a silent worker that have certainly ended. Precondition: its lease has
  /// ended.
  void giveUpRuns(const Worker &worker, WorkerSession &session);
  std::optional<OrderSubject> takeOrder(const OrderId &id);
  /// Handles what all answers to starts and stops have in common. Returns as `find`; nulls
  /// without a subject.
  std::pair<const Worker *, WorkerSession *>
  recordAnswer(const std::optional<OrderSubject> &subject, const OrderAnswer &answer);
  void reconcileRuns(const Worker &worker, WorkerSession &session, const RenewLeaseAnswer &answer,
                     base::TimePoint sentAt);
  void proposeRestart(const Worker &worker, const WorkerSession &session, std::int64_t startTimeMs);

  // Placement.
  void plan();
  void planTasks(const OpenStep &open, const std::vector<std::uint32_t> &waitingTasks,
                 PlaceRuns &command);
  void place(const OpenStep &open, const std::vector<std::uint32_t> &waitingTasks,
             PlaceRuns &command);
  /// Places all members or none. \returns whether they are placed.
  bool placeGang(const OpenStep &open, const std::vector<std::uint32_t> &members,
                 PlaceRuns &command);
  std::vector<std::uint32_t> waitingTasks(const OpenStep &open) const;
  /// Calls `function` for each session that may have room for the demand.
  template <typename Function>
  void forEachWithRoom(const base::Resources &demand, Function function);
  /// Returns the workers that may run the step and have room for at least one of its tasks.
  std::vector<WorkerSession *> candidatesFor(const OpenStep &open);
  WorkerSession *chooseWorker(const OpenStep &open, const Task &task,
                              const std::vector<WorkerSession *> &candidates,
                              std::map<std::string, std::uint32_t> &perWorker);
  std::optional<double> scoreOf(const OpenStep &open, const Task &task, WorkerSession &session);
  void assign(const OpenStep &open, std::uint32_t index, std::uint32_t run, WorkerSession &session,
              PlaceRuns &command);
  void considerAdvice(const OpenStep &open, std::uint32_t needed);
  void ask(const OpenStep &open, std::vector<std::string> workers);

  // Reservations for gangs (GangReservations.cpp).
  /// Begins a round in which gangs are placed or get reservations, if it is time for one.
  bool beginGangRound();
  /// Reserves room for a gang that was not placed. \returns what it waits for.
  GangFinding reserveForGang(const OpenStep &open);
  std::vector<SlotForecast> forecastSlots(const OpenStep &open);
  /// Whether a ticket for one of the places is not valid any more at this time.
  bool hasExpiredTicket(const OpenStep &open, const std::vector<SlotForecast> &chosen,
                        base::TimePoint at) const;
  void renewGangTickets(const OpenStep &open, const std::vector<SlotForecast> &chosen,
                        base::TimePoint start);
  void discoverWorkers(const OpenStep &open);
  /// Asks about the workers in several calls at a time, the first of them first. Precondition:
  /// names are not empty, and an adviser is idle.
  void askConcurrently(const OpenStep &open, const std::vector<std::string> &names);
  base::Resources availableTo(const OpenStep &open, WorkerSession &session);
  /// Whether the worker is in touch and sound, whatever the step.
  bool mayGetTasks(const WorkerSession &session, base::TimePoint at) const;
  bool isEligible(const OpenStep &open, const WorkerSession &session) const;
  std::uint32_t slotsIn(const OpenStep &open, WorkerSession &session);
  /// The same beside the tasks of the step that the workers have already.
  std::uint32_t slotsBeside(const OpenStep &open, WorkerSession &session,
                            const std::map<std::string, std::uint32_t> &perWorker);
  base::Resources freeResources(WorkerSession &session);
  const RunFootprint *footprintOf(const WorkerSession &session, const TaskKey &task,
                                  RunStatus &run) const;
  base::TimePoint expectedEnd(const RunStatus &run) const;
  const PendingRun *findPending(const TaskKey &task) const;
  void dropPending(const TaskKey &task);
  base::Resources proposedOn(const std::string &worker) const;
  std::map<std::string, std::uint32_t> tasksPerWorker(const OpenStep &open) const;
};

/// Returns the resources that a run occupies; best-effort runs occupy no processors.
base::Resources demandOf(const Step &step);

/// Returns how many times the demand fits.
std::uint32_t slotsFor(const base::Resources &room, const base::Resources &demand);

} // namespace banyanrill::jobs
