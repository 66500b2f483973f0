// State of the dispatcher, shared by its parts: orders to workers (WorkerOrders.cpp) and placement
// (Placing.cpp).
#pragma once

#include "AdmissionLedger.h"
#include "AdviceTracker.h"
#include "GangDecisions.h"
#include "PlacementWaits.h"
#include "SpeedTable.h"
#include "StepQueue.h"
#include "WorkerSession.h"
#include "banyanrill/jobs/Dispatcher.h"
#include "banyanrill/jobs/ShareLedger.h"

#include <span>
#include <unordered_map>

namespace banyanrill::jobs {

/// Maximum number of runs in one command, to keep log entries small.
constexpr std::size_t MaxRunsPerCommand = 256;

/// A run that was proposed to the log and is not yet in the table.
struct PendingRun {
  std::string worker;
  std::uint64_t session = 0; ///< With the incarnation of the worker that was chosen.
  std::uint32_t run = 0;
  std::string ticket;
  base::TimePoint ticketUntil = base::TimePoint::max();
  WorkspaceNumber workspace = 0;
  base::Resources demand;
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

/// State of one planning round.
struct PlanRound {
  PlaceRuns command;
  bool isGangRound = false;
  std::size_t reservingGangs = 0;
  std::size_t position = 0; ///< Of the next gang.
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
  ShareLedger ledger; ///< Of all placements in the table and all pending runs.
  StepQueue queue;
  AdviceTracker adviceTracker;
  GangDecisions gangDecisions;
  PlacementWaits waits;
  /// Room that steps wait for in this planning round, so that later ones do not count on it.
  std::unordered_map<WorkerNumber, base::Resources> awaited;
  std::optional<double> utilization; ///< In this planning round, once it was asked for.
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
  /// Filled in when a gang of the round waits for its workspace's limit.
  std::map<WorkspaceNumber, std::vector<ExpectedEnd>> endingsByWorkspace;
  base::Resources capacity; ///< Of all workers that may get tasks.
  base::TimePoint nextCapacity = base::TimePoint::min();
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

  // Limits and shares of workspaces.
  void applyOccupancy(const Effect &effect);
  /// Takes over the limits and weights of the configuration in the table.
  void refreshWorkspaces();
  WorkspaceNumber workspaceOf(const Job &job) { return this->ledger.numberOf(job.workspace); }
  /// Whether the run is withheld because a configuration set its workspace's limit below the use.
  /// Precondition: its start was not answered.
  bool isWithheld(const RunKey &run, RunStatus &view);
  /// Sums up the table and the pending runs by workspace; looks at all runs.
  std::map<std::string, base::Resources> recomputeUse() const;

  // Placement.
  void plan();
  /// Sums up what each workspace asks for, and finds the shares for this round.
  void beginShares(const std::vector<const OpenStep *> &steps);
  /// Plans steps of one tier: first those of workspaces below their share.
  void planTier(std::span<const OpenStep *const> steps, PlanRound &round);
  /// Plans what the workspace may start until it passes the bound. \returns whether nothing is left
  /// to try for the step in this round.
  bool planWithin(ShareBound bound, const OpenStep &open, PlanRound &round);
  void planGang(const OpenStep &open, PlanRound &round);
  /// Places up to `most` tasks, and asks for advice on those that found no worker. \returns how
  /// many were placed.
  std::size_t planTasks(const OpenStep &open, std::uint32_t most, PlaceRuns &command);
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

  // Places near data and on one rack (NearPlacing.cpp).
  /// As `place`, for a step with a data rack. \returns how many tasks are held back for a place.
  std::size_t placeNearData(const OpenStep &open, const std::vector<std::uint32_t> &waitingTasks,
                            PlaceRuns &command);
  /// Keeps only the candidates of one rack if it holds the whole gang. \returns whether the gang is
  /// to start now, on several racks if there is none.
  bool chooseRack(const OpenStep &open, std::vector<WorkerSession *> &candidates);
  /// What the decision about a step depends on, without the places.
  DelayInput delayInput(const OpenStep &open);
  /// Share of the processors in use, of all workers that may get tasks; found once in a round.
  double findUtilization();
  /// Places that workers with a rack have now and soon, the soonest first; of all racks if `rack`
  /// is empty. `perWorker`: tasks of the step that the workers have already.
  std::vector<SlotForecast> forecastRoom(const OpenStep &open, const std::string &rack,
                                         const std::map<std::string, std::uint32_t> &perWorker);
  /// Workers of the data's rack that are full, expected to have room soon, and not known to be
  /// permitted or refused yet. Precondition: the queue has advice.
  std::vector<std::string> soonNearData(const OpenStep &open);
  bool isOverShare(const OpenStep &open) const;
  /// How many times as long a task takes there as near its data.
  double remoteFactor(const Step &step, const WorkerProfile &profile) const;
  base::Duration expectedRun(const Job &job, const Step &step, const WorkerSession &session) const;

  // Reservations for gangs (GangReservations.cpp).
  /// Begins a round in which gangs are placed or get reservations, if it is time for one.
  bool beginGangRound();
  /// Reserves room for a gang that was not placed, from the time on at which its workspace has room
  /// under its limit. \returns what it waits for.
  GangFinding reserveForGang(const OpenStep &open, base::TimePoint limitRoomAt);
  /// When the workspace of a gang is expected to have room for it under its limit, beside the gangs
  /// of the workspace that have reservations; nothing if not within the horizon of reservations.
  std::optional<base::TimePoint> limitRoomAt(const OpenStep &open);
  /// Expected ends within the horizon, the soonest first.
  const std::vector<ExpectedEnd> &endingsOf(WorkspaceNumber workspace);
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
                                  RunStatus &run);
  base::TimePoint expectedEnd(const RunStatus &run) const;
  const PendingRun *findPending(const TaskKey &task) const;
  void dropPending(const TaskKey &task);
  base::Resources proposedOn(const std::string &worker) const;
  std::map<std::string, std::uint32_t> tasksPerWorker(const OpenStep &open) const;
};

/// Returns how many times the demand fits.
std::uint32_t slotsFor(const base::Resources &room, const base::Resources &demand);

} // namespace banyanrill::jobs
