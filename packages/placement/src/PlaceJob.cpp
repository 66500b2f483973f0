// Finds workers for the waiting tasks of one job.
#include "PlannerCore.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Duration;
using base::Resources;

namespace {

// Maximum tasks of one job started before the next job is tried, so that a large batch run does not
// take all capacity that is free at the moment.
constexpr std::size_t MaxTasksPerVisit = 16;
// After this wait a task may return to a worker on which it failed; otherwise it might wait forever
// if it fits on no other worker.
constexpr Duration FailedWorkerAvoidTime = std::chrono::minutes(1);
// After this wait a task without accelerators may use the processors and memory kept for
// accelerators, for the same reason.
constexpr Duration AcceleratorReserveWait = std::chrono::minutes(10);
// A blocked job is retried after this time at the latest, even if no capacity was freed.
constexpr Duration BlockedRetryInterval = std::chrono::seconds(5);
// After this wait a task that fits nowhere may get a reservation; a gang may get one at once.
constexpr Duration WaitBeforeReservation = std::chrono::minutes(2);
// Bounds the duration of one call; each trial costs a search for every task placed.
constexpr std::size_t MaxGangTrials = 512;
constexpr std::size_t MaxPreemptionSearches = 16;
constexpr std::size_t MaxClaims = 512;
// Slots freed by preemption for one job in one call.
constexpr std::size_t MaxEvictionsPerSearch = 16;
constexpr Duration PreemptionInterval = std::chrono::milliseconds(500);
// A checkpoint takes at most 2 s; the rest covers an owner's poll and reports.
constexpr Duration ClaimLifetime = std::chrono::seconds(20);

} // namespace

bool PlannerCore::makeQuery(const Job &job, const Round &round, Query &query) const {
  bool missing = false;
  query.demand = job.spec.demand;
  query.zones = this->workers.zonesOf(job.spec.dataCentres, &missing);
  if (!job.spec.dataCentres.empty() && query.zones.empty())
    return false;
  const bool ignoreFailures = round.now - job.waitingSince >= FailedWorkerAvoidTime;
  query.useAcceleratorReserve = round.now - job.waitingSince >= AcceleratorReserveWait;
  query.avoidFailuresOf = ignoreFailures || job.failuresByWorker.empty() ? nullptr : &job;
  return true;
}

void PlannerCore::assign(Job &job, std::uint32_t index, std::uint32_t slot, Round &round) {
  job.ready.erase(index);
  this->allocate(job, index, slot, round.now);
  job.waitingSince = round.now;
  if (job.backoffLevel > 0) {
    // A job that fails on several workers may start one task per backoff interval.
    job.notBefore =
        round.now + std::min<Duration>(std::chrono::minutes(5),
                                       std::chrono::seconds(1) * (1 << job.backoffLevel));
  }
  round.actions.emplace_back(
      AssignTask{{job.spec.id, index}, job.tasks[index].attempt, this->workers.at(slot).view.id});
  this->requeue(job);
}

std::uint32_t PlannerCore::findWorker(const Job &job, const Query &query, Round &round) {
  const bool mayUseReserve = query.useAcceleratorReserve || query.demand.accelerators > 0;
  for (const FailedSearch &failed : round.failedSearches) {
    if (failed.demand.fitsIn(query.demand) && failed.zones == query.zones &&
        (failed.usedReserve || !mayUseReserve))
      return NoWorker;
  }
  const std::uint32_t slot = job.isService() ? this->workers.spreadFit(query, job, this->random)
                                             : this->workers.bestFit(query);
  if (slot == NoWorker && query.avoidFailuresOf == nullptr && query.avoidSlot == NoWorker)
    round.failedSearches.push_back({query.demand, query.zones, mayUseReserve});
  return slot;
}

bool PlannerCore::placeJob(Job &job, bool borrowing, Round &round) {
  if (job.notBefore > round.now)
    return false;
  Query query;
  if (!this->makeQuery(job, round, query))
    return false;
  const std::int64_t together = job.isGang() ? static_cast<std::int64_t>(job.ready.size()) : 1;
  const bool admitted = job.team->admits(job.spec.demand * together, job.spec.preemptible);
  std::int32_t &priorityFloor = round.quotaPriorityFloors
                                    .emplace(std::pair(job.team, job.spec.preemptible),
                                             std::numeric_limits<std::int32_t>::min())
                                    .first->second;
  const bool belowPriorityFloor = job.spec.priority < priorityFloor;
  // Otherwise jobs of the team with lower priority would take each part of the quota that is
  // returned. After WaitBeforeReservation, or while preemption frees capacity for this job, all
  // later jobs of the team are held back, since smaller ones would do the same.
  if (!borrowing && !admitted)
    priorityFloor = std::max(priorityFloor, job.spec.priority);
  if (!borrowing &&
      (job.claimCount > 0 || (!admitted && round.now - job.waitingSince >= WaitBeforeReservation)))
    priorityFloor = std::numeric_limits<std::int32_t>::max();
  if (borrowing == (admitted && !belowPriorityFloor))
    return false;
  // Only preemptible tasks may borrow, since the lender must be able to reclaim its quota.
  if (borrowing && !job.spec.preemptible)
    return false;
  if (job.blockedVersion == this->workers.capacityVersion() && round.now < job.blockedUntil &&
      job.blockedBorrowing == borrowing)
    return false;
  return job.isGang() ? this->placeGang(job, query, borrowing, round)
                      : this->placeTasks(job, query, borrowing, round);
}

void PlannerCore::markBlocked(Job &job, bool borrowing, const Round &round) const {
  job.blockedVersion = this->workers.capacityVersion();
  job.blockedBorrowing = borrowing;
  // Retries as soon as the wait reaches a limit that permits more placements.
  job.blockedUntil = round.now + BlockedRetryInterval;
  for (const Duration wait :
       {FailedWorkerAvoidTime, AcceleratorReserveWait, WaitBeforeReservation}) {
    if (job.waitingSince + wait > round.now)
      job.blockedUntil = std::min(job.blockedUntil, job.waitingSince + wait);
  }
  if (!borrowing)
    job.blockedUntil = std::min(job.blockedUntil, std::max(job.nextPreemption, round.now));
}

bool PlannerCore::placeTasks(Job &job, Query &query, bool borrowing, Round &round) {
  bool suspended = false;
  if (this->reservation.holder() == &job) {
    this->reservation.suspend(this->workers);
    suspended = true;
  }
  std::size_t placed = 0;
  bool blocked = false;
  std::size_t visits = job.backoffLevel > 0 ? 1 : MaxTasksPerVisit;
  while (visits-- > 0 && job.ready.size() > job.claimCount && this->remainingActions(round) > 0) {
    if (!borrowing && !job.team->admits(query.demand, job.spec.preemptible))
      break;
    const std::uint32_t index = *job.ready.begin();
    const Task &task = job.tasks[index];
    if (!job.isService() && task.failures == 0 && job.backoffLevel == 0) {
      const auto probe = std::find_if(round.probes.begin(), round.probes.end(),
                                      [this, &query](std::uint32_t slot) {
                                        const Worker &worker = this->workers.at(slot);
                                        return query.demand.fitsIn(worker.generalFree()) &&
                                               this->workers.zoneAllowed(query, worker.zone);
                                      });
      if (probe != round.probes.end()) {
        this->health.onProbeStarted(this->workers.at(*probe).view.id.value);
        this->assign(job, index, *probe, round);
        round.probes.erase(probe);
        ++placed;
        continue;
      }
    }
    query.avoidSlot = query.avoidFailuresOf == nullptr ? NoWorker : task.lastFailedWorker;
    std::uint32_t slot = this->findWorker(job, query, round);
    const Job *holder = this->reservation.holder();
    if (slot == NoWorker && holder != nullptr && !suspended &&
        (job.queueKey < holder->queueKey ||
         round.now + this->runTimes.expected(job) <= this->reservation.startBy()))
      slot = this->reservation.backfill(query, this->workers);
    if (slot == NoWorker) {
      blocked = true;
      break;
    }
    this->assign(job, index, slot, round);
    ++placed;
  }
  if (suspended && placed > 0)
    this->reservation.cancel(this->workers);
  if (blocked)
    this->markBlocked(job, borrowing, round);
  if (blocked && !borrowing) {
    this->preemptFor(job, query,
                     static_cast<std::uint32_t>(
                         std::min(MaxEvictionsPerSearch, job.ready.size() - job.claimCount)),
                     round);
    if (round.now - job.waitingSince >= WaitBeforeReservation) {
      Job *&candidate = job.serial == this->lastReservationSerial ? round.previousHolderCandidate
                                                                  : round.reservationCandidate;
      if (candidate == nullptr)
        candidate = &job;
    }
  }
  if (suspended && this->reservation.holder() == &job)
    this->reservation.resume(this->workers);
  return placed > 0;
}

bool PlannerCore::placeGang(Job &job, const Query &query, bool borrowing, Round &round) {
  if (job.active > 0) {
    // After a change of leader, only part of the gang may be recorded as assigned.
    this->stopAll(job, "only a part of the gang was started");
    return false;
  }
  if (job.claimCount > 0 || job.delayed > 0 || job.ready.size() > this->remainingActions(round))
    return false;
  assert(job.ready.size() + job.succeeded == job.targetCount());
  const bool holds = this->reservation.holder() == &job;
  if (round.gangTrials >= MaxGangTrials)
    return false;
  if (holds)
    this->reservation.suspend(this->workers);
  if (this->tryGang(job, query, round)) {
    if (holds)
      this->reservation.cancel(this->workers);
    return true;
  }
  this->markBlocked(job, borrowing, round);
  if (!borrowing)
    this->preemptFor(job, query, static_cast<std::uint32_t>(job.ready.size()), round);
  if (holds)
    this->reservation.resume(this->workers);
  Job *&candidate = job.serial == this->lastReservationSerial ? round.previousHolderCandidate
                                                              : round.reservationCandidate;
  if (candidate == nullptr && job.claimCount == 0 && !borrowing)
    candidate = &job;
  return false;
}

bool PlannerCore::tryGang(Job &job, const Query &query, Round &round) {
  // Tries single data centres first, so that traffic between the gang's tasks stays inside one.
  std::vector<std::vector<std::uint32_t>> choices;
  if (job.ready.size() > 1) {
    for (std::uint32_t zone = 0; zone < this->workers.zoneCount(); ++zone) {
      if (this->workers.zoneAllowed(query, zone))
        choices.push_back({zone});
    }
  }
  choices.push_back(query.zones);
  for (const std::vector<std::uint32_t> &zones : choices) {
    Query trial = query;
    trial.zones = zones;
    std::vector<std::uint32_t> slots;
    for (std::size_t placed = 0; placed < job.ready.size(); ++placed) {
      const std::uint32_t slot = this->workers.bestFit(trial);
      ++round.gangTrials;
      if (slot == NoWorker)
        break;
      slots.push_back(slot);
      this->workers.addTrialClaim(slot, trial.demand);
    }
    for (const std::uint32_t slot : slots)
      this->workers.addTrialClaim(slot, Resources{} - trial.demand);
    if (slots.size() < job.ready.size())
      continue;
    for (const std::uint32_t slot : slots)
      this->assign(job, *job.ready.begin(), slot, round);
    return true;
  }
  return false;
}

void PlannerCore::preemptFor(Job &job, const Query &query, std::uint32_t slotsWanted,
                             Round &round) {
  if (job.nextPreemption > round.now || round.preemptionSearches >= MaxPreemptionSearches ||
      this->claims.size() + slotsWanted > MaxClaims)
    return;
  while (slotsWanted > 0 &&
         !job.team->admits(query.demand * (std::int64_t{job.claimCount} + slotsWanted),
                           job.spec.preemptible)) {
    if (job.isGang())
      return;
    --slotsWanted;
  }
  if (slotsWanted == 0)
    return;
  ++round.preemptionSearches;
  const PreemptionRequest request{&job, query, slotsWanted, job.isGang(), round.now};
  const std::vector<Eviction> evictions =
      findEvictions(request, this->workers, this->preemptible, this->quotas, this->random);
  if (evictions.empty()) {
    job.nextPreemption = round.now + PreemptionInterval;
    this->markBlocked(job, false, round);
    return;
  }
  for (const Eviction &eviction : evictions) {
    for (const TaskRef &victim : eviction.victims)
      this->requestStop(*victim.job, victim.index, "preempted by " + job.spec.id.value, true);
    this->workers.addClaim(eviction.slot, query.demand);
    ++job.claimCount;
    this->claims.push_back({&job, eviction.slot, query.demand, round.now + ClaimLifetime});
  }
}

void PlannerCore::updateReservation(Round &round) {
  const Job *holder = this->reservation.holder();
  if (holder != nullptr && (this->reservation.expiresAt() <= round.now || holder->ready.empty() ||
                            holder->waitingSince > this->reservation.grantedAt()))
    this->reservation.cancel(this->workers);
  Job *job = round.reservationCandidate != nullptr ? round.reservationCandidate
                                                   : round.previousHolderCandidate;
  if (this->reservation.holder() != nullptr || job == nullptr || !job->queued ||
      job->claimCount > 0)
    return;
  Query query;
  if (!this->makeQuery(*job, round, query))
    return;
  const std::uint32_t slots = job->isGang() ? static_cast<std::uint32_t>(job->ready.size()) : 1;
  this->reservation.grant(*job, slots, query, this->workers, this->runTimes, round.now);
  this->lastReservationSerial = job->serial;
}

} // namespace banyanrill::placement
