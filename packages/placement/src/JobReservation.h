// Time-limited reservation of capacity for the first waiting job in queue order that does not fit.
#pragma once

#include "RunTimeEstimator.h"
#include "WorkerIndex.h"

namespace banyanrill::placement {

/// At most one job holds it: a gang, or a job with a task that waited long. The capacity that its
/// tasks need on the chosen workers is withheld from other work, which may use it only if it is
/// expected to end before `startBy` (backfill). Not thread-safe.
class JobReservation {
public:
  /// Chooses the workers on which `slotsWanted` tasks will fit soonest, from the expected ends of
  /// the running tasks. Returns false, and reserves nothing, if they would never fit. Precondition:
  /// no holder.
  bool grant(Job &job, std::uint32_t slotsWanted, const Query &query, WorkerIndex &workers,
             const RunTimeEstimator &runTimes, base::TimePoint now);
  void cancel(WorkerIndex &workers);

  /// Suspends the reservation while the planner tries to place its holder, and resumes it.
  void suspend(WorkerIndex &workers) const;
  void resume(WorkerIndex &workers) const;

  const Job *holder() const { return this->job; }
  base::TimePoint grantedAt() const { return this->granted; }
  base::TimePoint startBy() const { return this->expectedStart; }
  base::TimePoint expiresAt() const { return this->expiry; }

  /// Returns a worker with reserved capacity on which the query fits into the free and the reserved
  /// capacity; NoWorker if there is none. Precondition: the task is expected to end before
  /// `startBy`, or its job is ahead of the holder in the queue.
  std::uint32_t backfill(const Query &query, const WorkerIndex &workers) const;
  bool covers(std::uint32_t slot) const;

private:
  Job *job = nullptr;
  base::TimePoint granted;
  base::TimePoint expectedStart;
  base::TimePoint expiry;
  std::map<std::uint32_t, base::Resources> reserved;
};

} // namespace banyanrill::placement
