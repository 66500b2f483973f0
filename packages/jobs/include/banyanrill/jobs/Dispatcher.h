// The leader's decisions about jobs: placement of runs, orders to workers, and conclusions from
// their answers. Does no I/O and reads no clock: takes clock readings and answers, returns actions.
#pragma once

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/AdmissionPolicy.h"
#include "banyanrill/jobs/Api.h"
#include "banyanrill/jobs/GangDecision.h"
#include "banyanrill/jobs/Orders.h"
#include "banyanrill/jobs/PlacementWait.h"
#include "banyanrill/jobs/ShareLedger.h"
#include "banyanrill/jobs/Table.h"
#include "banyanrill/jobs/WorkerDecision.h"

#include <memory>

namespace banyanrill::jobs {

struct DispatcherOptions {
  std::uint64_t term = 0; ///< The upper part of all fencing tokens.
  /// Long enough for an election and the new leader's first lease renewals, short enough that the
  /// tasks of a dead worker are placed again soon.
  base::Duration lease = std::chrono::seconds(5);
  /// A worker shortens a longer lease to this, on its clock.
  base::Duration maxLease = std::chrono::seconds(10);
  /// A task may still run this long after a stop or the end of its lease.
  base::Duration stopGrace = std::chrono::milliseconds(400);
  /// The other members of a gang must have started within this time.
  base::Duration gangTimeout = std::chrono::milliseconds(3000);
  /// Ended jobs stay in the table for this long.
  base::Duration endedJobRetention = std::chrono::seconds(150);
  /// Part of a workspace's limit that a gang may use beyond it.
  double quotaTolerance = 0.1;
  /// A task away from its data, and a gang with `sameRack` on several racks, takes this many times
  /// as long. At least 1.
  double remotePenalty = 1.5;
};

/// Counters since the leader's term began.
struct DispatcherCounters {
  std::uint64_t starts = 0;
  std::uint64_t startsRejected = 0;
  std::uint64_t startsUnanswered = 0;
  std::uint64_t stops = 0;
  std::uint64_t renewals = 0;
  std::uint64_t renewalsUnanswered = 0;
  std::uint64_t adviceCalls = 0;
  std::uint64_t adviceFailures = 0;
  std::uint64_t runsReleased = 0;
  std::uint64_t workersRemoved = 0;
  std::size_t openSteps = 0;
  std::size_t sessions = 0;
  /// Gangs by outcome in the last complete round; `Placed` counts all that were placed.
  std::array<std::uint64_t, GangOutcomes> gangs{};
  PlacementWaitCounters waits; ///< Of steps that were held back for a place.
};

/// How full the workers are, and what waits. Millicores over all workers that may get tasks.
struct CellLoad {
  std::size_t workers = 0; ///< Those that may get tasks.
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  std::int64_t reserved = 0;      ///< For gangs that wait.
  std::size_t waitingTasks = 0;   ///< Of steps that are not gangs.
  std::size_t waitingMembers = 0; ///< Of gangs.
  std::size_t idleAdvisers = 0;   ///< Daemons that could call the advisory service now.

  bool operator==(const CellLoad &) const = default;
};

/// Whose job is submitted, for admission.
struct SubmittingWorkspace {
  std::string name;        ///< Empty: none.
  double weight = 0;       ///< Of the workspace in the configuration.
  bool configured = false; ///< The configuration has workspaces.

  bool operator==(const SubmittingWorkspace &) const = default;
};

/// Lives for one term of leadership. Not thread-safe: owned by one task.
class Dispatcher {
public:
  /// Precondition: `table` outlives the dispatcher and holds all that was committed before the
  /// term.
  Dispatcher(const Table &table, DispatcherOptions options, base::RandomSource random,
             base::TimePoint now, std::int64_t wallClockMs);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Called after the table has applied a batch.
  void onApplied(const CommandBatch &batch, const Effect &effect, base::TimePoint now);

  /// Decides whether to accept a job that is not in the table; counts it as accepted if so. A job
  /// that was accepted a moment ago and is not in the table yet is accepted again. Costs as much as
  /// there are queues.
  AdmissionDecision admit(const JobSpec &spec, const Queue &queue,
                          const SubmittingWorkspace &workspace, base::TimePoint now);

  /// Called for a report that changes nothing in the table; updates the estimate of the worker's
  /// clock.
  void onWorkerReport(const WorkerReport &report, base::TimePoint now);

  /// Called for a report that claims another life or address of a known worker. The worker is asked
  /// at once; only its own answer counts.
  void onWorkerClaim(const WorkerProfile &claimed, base::TimePoint now);

  /// Called when a worker shuts down; its tasks end with it.
  void onWorkerLeaving(const std::string &worker, base::TimePoint now);

  void onStartAnswer(OrderId order, const OrderAnswer &answer, base::TimePoint now);
  void onStopAnswer(OrderId order, const OrderAnswer &answer, base::TimePoint now);
  void onRenewLeaseAnswer(OrderId order, const RenewLeaseAnswer &answer, base::TimePoint now);
  void onAdviceAnswer(OrderId order, const AdviceAnswer &answer, base::TimePoint now);

  /// Sets the daemons that can call the advisory service, each with one call at a time.
  void setAdvisoryDaemons(const std::vector<base::DaemonId> &daemons);

  /// Returns all actions that are due. Call after each group of the functions above, and every 50
  /// ms.
  std::vector<Action> takeActions(base::TimePoint now, std::int64_t wallClockMs);

  /// Returns what was decided about gangs since the last call: each that waits at intervals, and
  /// its placement. Bounded; the counters hold them all.
  std::vector<GangDecision> takeGangDecisions();

  /// Returns the waits for a place that have ended since the last call. Bounded; the counters hold
  /// them all.
  std::vector<PlacementWait> takePlacementWaits();

  /// Returns what was concluded about workers and their runs since the last call, in order.
  /// Bounded: what does not fit is left out.
  std::vector<WorkerDecision> takeWorkerDecisions();

  /// Returns which workspaces have reached or left their limits since the last call. Bounded: at
  /// most one decision of each workspace in some seconds.
  std::vector<LimitDecision> takeLimitDecisions();

  /// Use and limit of each workspace of the configuration, and of others with runs.
  std::vector<WorkspaceLoad> workspaceLoads() const;

  /// Whether the use of all workspaces equals the sum over the table and the proposed runs. For
  /// tests: looks at all runs.
  bool isUseConsistent() const;

  /// Looks at all workers and open steps.
  CellLoad load(base::TimePoint now) const;

  /// Returns the inputs of the decisions about submissions.
  AdmissionLoad admissionLoad(base::TimePoint now) const;

  /// Returns the number of jobs in a queue of which no worker has confirmed a run yet.
  std::uint64_t waitingIn(const std::string &queue) const;

  DispatcherCounters counters() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::jobs
