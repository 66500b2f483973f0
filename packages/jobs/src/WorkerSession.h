// What the leader knows of one worker beyond the table: its clock, its lease, and the evidence
// about each run that may be there.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/Orders.h"
#include "banyanrill/jobs/ShareLedger.h"

#include <deque>
#include <optional>

namespace banyanrill::jobs {

/// Number of a worker's session in one dispatcher. Reused after the worker has gone.
using WorkerNumber = std::uint32_t;

/// What a run occupies, and for how long.
struct RunFootprint {
  base::Resources demand;
  base::Duration duration{}; ///< Expected.
  bool bestEffort = false;
  bool latencySensitive = false;
  bool longRunning = false;
  WorkspaceNumber workspace = 0;
};

/// Evidence about one placement. A run that was ordered may be there, or appear seconds later,
/// until an answer of the worker or the end of its lease proves otherwise.
struct RunStatus {
  bool inherited = false; ///< Placed by an earlier leader; the fence bars its late orders.
  std::uint32_t startsSent = 0;
  bool startInFlight = false;
  bool startAnswered = false; ///< It was there, or its end is listed.
  bool stopWanted = false;
  bool stopInFlight = false;
  bool stopAnswered = false; ///< It cannot appear any more.
  bool releaseProposed = false;
  /// Since then its start may have reached an incarnation that was not seen yet.
  std::optional<base::TimePoint> startUncertainSince;
  base::TimePoint answeredAt =
      base::TimePoint::max(); ///< A later look that misses it proves absence.
  base::TimePoint nextTry = base::TimePoint::min();
  base::TimePoint placedAt = base::TimePoint::min();
  base::TimePoint ticketUntil = base::TimePoint::max();
  std::string ticket;
  std::string checkpoint; ///< Last one seen.
  std::uint32_t percent = 0;
  std::int64_t load = 0;
  base::TimePoint startedAt = base::TimePoint::max(); ///< If its first order to start was answered.
  base::TimePoint progressAt = base::TimePoint::min(); ///< When `percent` last changed.
  std::optional<RunFootprint> footprint;               ///< Filled in by the planner.
  /// Its job has ended, its gang has broken, or it was not examined yet.
  bool mustExamine = true;

  /// Whether it runs as far as is known, and nothing asks for its end.
  bool isSettled() const {
    return (this->inherited || this->startAnswered) && !this->stopWanted && !this->mustExamine;
  }
};

struct ClockReading {
  std::int64_t clockMs = 0;
  base::TimePoint at; ///< Not before the worker read its clock.
};

/// Successes and failures of a worker, to find one that fails what it starts.
struct WorkerHealth {
  std::string lastFailedJob;
  std::uint32_t jobsFailedInRow = 0;
  double failureShare = 0; ///< Of recent runs, at `changedAt`; fades.
  base::TimePoint changedAt = base::TimePoint::min();
  base::TimePoint avoidUntil = base::TimePoint::min();
};

/// What a run gives back when it ends.
struct ExpectedEnd {
  base::TimePoint at;
  base::Resources demand;
  WorkspaceNumber workspace = 0;
};

/// Room that gangs collect on one worker until all their members fit at the same time.
struct GangReservation {
  base::Resources amount;
  base::TimePoint from;       ///< When the first of them should start.
  std::uint32_t priority = 0; ///< Of the least urgent of their queues.
};

struct WorkerSession {
  WorkerNumber number = 0;
  std::uint64_t serial =
      0; ///< Never reused by one dispatcher; answers to earlier sessions are void.
  std::uint64_t fenceNumber = 0; ///< Lower part of the fencing token. Rises when a restart is seen.
  WorkerIncarnation incarnation;
  const Worker *worker = nullptr; ///< In the table, as long as the session lives.
  bool hasAnswered = false;       ///< This incarnation has answered in this session.
  bool leaving = false;           ///< Has said that it ends now.
  std::optional<ClockReading> clock;
  bool renewalInFlight = false;
  bool renewalUnanswered = false; ///< The last hold was not answered.
  /// Another incarnation may have taken its place: it is asked at once, beside a renewal that
  /// waits.
  bool isDoubted = false;
  bool isRestartSeen = false;           ///< Another incarnation has answered; not recorded yet.
  std::optional<OrderId> identityProbe; ///< The renewal whose answer settles the doubt.
  base::TimePoint nextDoubt = base::TimePoint::min(); ///< Earlier doubts are not followed.
  std::optional<WorkerProfile> claimed; ///< The last report of another life under this id.
  std::optional<base::TimePoint> removalProposedAt;
  base::TimePoint nextRenewal = base::TimePoint::min();
  base::TimePoint lastAnswer;
  base::TimePoint emptySince = base::TimePoint::min(); ///< Its last runs were given up.
  base::TimePoint leaseEndsBy; ///< From then on this incarnation runs nothing, on any clock.
  /// From then on no incarnation runs anything that has taken its place and was not seen yet.
  base::TimePoint successorLeaseEndsBy = base::TimePoint::min();
  bool endsProposed = false;
  std::uint64_t acknowledgedEnds = 0; ///< The worker has answered that it may forget these.
  std::uint32_t callsInFlight = 0;
  /// The first order to start or stop since the last answer of any kind.
  std::optional<base::TimePoint> unansweredSince;
  std::map<TaskKey, RunStatus> runs;
  std::uint32_t unsettledRuns = 0; ///< At the last examination.
  WorkerHealth health;
  double slowness = 0; ///< As in the speed table.

  // Room, kept current by the planner.
  bool resourcesStale = true;
  base::Resources used;
  base::Resources proposed;                   ///< Of runs that are not in the table yet.
  std::uint32_t bestEffortRuns = 0;           ///< Runs that use what others leave.
  std::uint32_t latencySensitiveRuns = 0;     ///< Runs with a response target.
  std::vector<ExpectedEnd> endings;           ///< The soonest first; runs that last have none.
  std::optional<GangReservation> reservation; ///< Found anew in each round of gangs.

  /// Lower bound of the worker's clock now; empty until it has told its clock.
  std::optional<std::int64_t> clockAt(base::TimePoint now) const;

  void readClock(std::optional<std::int64_t> clockMs, base::TimePoint now);

  /// Whether this incarnation can have read this from its clock between the two times. Each
  /// incarnation's clock starts anew. Precondition: sentAt is not after now.
  bool isOwnClock(std::int64_t clockMs, base::TimePoint sentAt, base::TimePoint now) const;

  /// Whether this incarnation answered last, so that it may get what holds for it alone: a lease on
  /// its clock, the number of its recorded ends, starts and stops.
  bool isConfirmed() const {
    return this->hasAnswered && !this->renewalUnanswered && !this->isDoubted;
  }

  /// A lease that begins now. \returns its end on the worker's clock.
  std::optional<std::int64_t> extendLease(base::Duration lease, base::Duration stopGrace,
                                          base::TimePoint now);

  /// Successes clear a suspicion; failures of several jobs in a row raise one.
  void recordEnd(const TaskEnd &end, base::TimePoint now);

  /// Whether time alone may ask for an order to the worker, or for its removal.
  bool isDue(base::TimePoint now) const;

  void recordCall(base::TimePoint now);
  void recordAnswered(base::TimePoint now);
  /// Whether it leaves orders unanswered, long before their time limit.
  bool isSilent(base::TimePoint now) const;

  /// Share of recent runs that failed; fades while nothing ends there.
  double failureShare(base::TimePoint now) const;

  bool isAvoided(base::TimePoint now) const { return now < this->health.avoidUntil; }
};

/// By when a lease granted at `now` has certainly ended.
base::TimePoint leaseEnd(base::TimePoint now, base::Duration lease, base::Duration stopGrace);

} // namespace banyanrill::jobs
