// Time-bounded reservation for the one waiting job that is due next and does not fit.
#pragma once

#include "RunTimeEstimator.h"
#include "WorkerIndex.h"

namespace banyanrill::placement {

/// At most one job holds it. The capacity that its tasks need on the chosen workers is kept from
/// general work; other work may use it only if it is expected to end before `startBy`. Not
/// thread-safe.
class GangReservation {
public:
  /// Chooses the workers on which `slotsWanted` tasks fit first, by the expected ends of running
  /// tasks. Returns false, and reserves nothing, if they would never fit. Precondition: no holder.
  bool grant(Job &job, std::uint32_t slotsWanted, const Query &query, WorkerIndex &workers,
             const RunTimeEstimator &runTimes, base::TimePoint now);
  void drop(WorkerIndex &workers);

  /// Lifts the reservation for an attempt to place its holder, and puts it back.
  void lift(WorkerIndex &workers) const;
  void restore(WorkerIndex &workers) const;

  const Job *holder() const { return this->job; }
  base::TimePoint grantedAt() const { return this->granted; }
  base::TimePoint startBy() const { return this->expectedStart; }
  base::TimePoint expiresAt() const { return this->expiry; }

  /// A worker whose reserved capacity can take a task that ends in time. NoWorker if none.
  std::uint32_t backfill(const Query &query, const WorkerIndex &workers) const;
  bool covers(std::uint32_t slot) const;

private:
  Job *job = nullptr;
  base::TimePoint granted;
  base::TimePoint expectedStart;
  base::TimePoint expiry;
  std::map<std::uint32_t, base::Resources> kept;
};

} // namespace banyanrill::placement
