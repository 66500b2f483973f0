// Finds workers for the waiting tasks of one job.
#include "PlannerCore.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Duration;
using base::Resources;

namespace {

// Tasks of one job started before the next job is looked at, so that a large batch run does not
// take all free capacity of a moment.
constexpr std::size_t TasksPerVisit = 16;
// After this wait a task may return to a worker on which it failed: otherwise it might wait for
// ever where no other worker can hold it.
constexpr Duration EscapeWait = std::chrono::minutes(1);
// After this wait a plain task may take processors kept for accelerators, for the same reason.
constexpr Duration ReserveWait = std::chrono::minutes(10);
// A blocked job is tried again at the latest after this, even if no capacity was freed.
constexpr Duration RetryBlocked = std::chrono::seconds(5);
// After this wait a task that fits nowhere gets a reservation, as a gang does at once.
constexpr Duration ReservationWait = std::chrono::minutes(2);
// Bounds the time of one call; each try costs a search for every task placed.
constexpr std::size_t MaxGangTrials = 512;
constexpr std::size_t MaxPreemptionSearches = 16;
constexpr std::size_t MaxClaims = 512;
// Slots vacated for one job in one call.
constexpr std::size_t MaxEvictionsPerSearch = 16;
constexpr Duration PreemptionInterval = std::chrono::milliseconds(500);
// A checkpoint takes 2 s at most; the rest covers an owner's poll and reports.
constexpr Duration ClaimTime = std::chrono::seconds(20);

} // namespace

bool PlannerCore::queryOf(const Job &job, const Round &round, Query &query) const {
  bool missing = false;
  query.demand = job.spec.demand;
  query.zones = this->workers.zonesOf(job.spec.dataCentres, &missing);
  if (!job.spec.dataCentres.empty() && query.zones.empty())
    return false;
  const bool escape = round.now - job.waitingSince >= EscapeWait;
  query.useAcceleratorReserve = round.now - job.waitingSince >= ReserveWait;
  query.avoidFor = escape || job.failuresOn.empty() ? nullptr : &job;
  return true;
}

void PlannerCore::assign(Job &job, std::uint32_t index, std::uint32_t slot, Round &round) {
  job.ready.erase(index);
  this->hold(job, index, slot, round.now);
  job.waitingSince = round.now;
  if (job.backoffLevel > 0) {
    // A job that fails everywhere gets one start for each backoff.
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
  for (const FailedShape &shape : round.failedShapes) {
    if (shape.demand.fitsIn(query.demand) && shape.zones == query.zones &&
        (shape.usedReserve || !mayUseReserve))
      return NoWorker;
  }
  const std::uint32_t slot = job.isService() ? this->workers.spreadFit(query, job, this->random)
                                             : this->workers.bestFit(query);
  if (slot == NoWorker && query.avoidFor == nullptr && query.avoid == NoWorker)
    round.failedShapes.push_back({query.demand, query.zones, mayUseReserve});
  return slot;
}

bool PlannerCore::placeJob(Job &job, bool borrowing, Round &round) {
  if (job.notBefore > round.now)
    return false;
  Query query;
  if (!this->queryOf(job, round, query))
    return false;
  const std::int64_t together = job.isGang() ? static_cast<std::int64_t>(job.ready.size()) : 1;
  const bool admitted = job.team->admits(job.spec.demand * together, job.spec.preemptible);
  std::int32_t &heldBelow = round.heldQuotas
                                .emplace(std::pair(job.team, job.spec.preemptible),
                                         std::numeric_limits<std::int32_t>::min())
                                .first->second;
  const bool held = job.spec.priority < heldBelow;
  // Less urgent jobs of the team would otherwise take each part of the quota that is given back,
  // and after a while, or while capacity is vacated for this job, so would smaller ones.
  if (!borrowing && !admitted)
    heldBelow = std::max(heldBelow, job.spec.priority);
  if (!borrowing &&
      (job.claims > 0 || (!admitted && round.now - job.waitingSince >= ReservationWait)))
    heldBelow = std::numeric_limits<std::int32_t>::max();
  if (borrowing == (admitted && !held))
    return false;
  // Only what can be called back may be borrowed.
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
  // What the passage of time allows is tried when its time has come.
  job.blockedUntil = round.now + RetryBlocked;
  for (const Duration wait : {EscapeWait, ReserveWait, ReservationWait}) {
    if (job.waitingSince + wait > round.now)
      job.blockedUntil = std::min(job.blockedUntil, job.waitingSince + wait);
  }
  if (!borrowing)
    job.blockedUntil = std::min(job.blockedUntil, std::max(job.nextPreemption, round.now));
}

bool PlannerCore::placeTasks(Job &job, Query &query, bool borrowing, Round &round) {
  bool lifted = false;
  if (this->reservation.holder() == &job) {
    this->reservation.lift(this->workers);
    lifted = true;
  }
  std::size_t placed = 0;
  bool blocked = false;
  std::size_t visits = job.backoffLevel > 0 ? 1 : TasksPerVisit;
  while (visits-- > 0 && job.ready.size() > job.claims && this->budget(round) > 0) {
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
    query.avoid = query.avoidFor == nullptr ? NoWorker : task.lastFailedWorker;
    std::uint32_t slot = this->findWorker(job, query, round);
    const Job *holder = this->reservation.holder();
    if (slot == NoWorker && holder != nullptr && !lifted &&
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
  if (lifted && placed > 0)
    this->reservation.drop(this->workers);
  if (blocked)
    this->markBlocked(job, borrowing, round);
  if (blocked && !borrowing) {
    this->preemptFor(
        job, query,
        static_cast<std::uint32_t>(std::min(MaxEvictionsPerSearch, job.ready.size() - job.claims)),
        round);
    if (round.now - job.waitingSince >= ReservationWait) {
      Job *&candidate = job.serial == this->lastReservation ? round.blockedAgain : round.blocked;
      if (candidate == nullptr)
        candidate = &job;
    }
  }
  if (lifted && this->reservation.holder() == &job)
    this->reservation.restore(this->workers);
  return placed > 0;
}

bool PlannerCore::placeGang(Job &job, const Query &query, bool borrowing, Round &round) {
  if (job.active > 0) {
    // After a change of leader only a part of the gang may be recorded as assigned.
    this->stopAll(job, "only a part of the gang was started");
    return false;
  }
  if (job.claims > 0 || job.delayed > 0 || job.ready.size() > this->budget(round))
    return false;
  assert(job.ready.size() + job.succeeded == job.wanted());
  const bool holds = this->reservation.holder() == &job;
  if (round.gangTrials >= MaxGangTrials)
    return false;
  if (holds)
    this->reservation.lift(this->workers);
  if (this->tryGang(job, query, round)) {
    if (holds)
      this->reservation.drop(this->workers);
    return true;
  }
  this->markBlocked(job, borrowing, round);
  if (!borrowing)
    this->preemptFor(job, query, static_cast<std::uint32_t>(job.ready.size()), round);
  if (holds)
    this->reservation.restore(this->workers);
  Job *&candidate = job.serial == this->lastReservation ? round.blockedAgain : round.blocked;
  if (candidate == nullptr && job.claims == 0 && !borrowing)
    candidate = &job;
  return false;
}

bool PlannerCore::tryGang(Job &job, const Query &query, Round &round) {
  // One data centre first: traffic between the tasks of a gang stays inside it.
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
      this->workers.addTrial(slot, trial.demand);
    }
    for (const std::uint32_t slot : slots)
      this->workers.addTrial(slot, Resources{} - trial.demand);
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
         !job.team->admits(query.demand * (std::int64_t{job.claims} + slotsWanted),
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
    ++job.claims;
    this->claims.push_back({&job, eviction.slot, query.demand, round.now + ClaimTime});
  }
}

void PlannerCore::updateReservation(Round &round) {
  const Job *holder = this->reservation.holder();
  if (holder != nullptr && (this->reservation.expiresAt() <= round.now || holder->ready.empty() ||
                            holder->waitingSince > this->reservation.grantedAt()))
    this->reservation.drop(this->workers);
  Job *job = round.blocked != nullptr ? round.blocked : round.blockedAgain;
  if (this->reservation.holder() != nullptr || job == nullptr || !job->queued || job->claims > 0)
    return;
  Query query;
  if (!this->queryOf(*job, round, query))
    return;
  const std::uint32_t slots = job->isGang() ? static_cast<std::uint32_t>(job->ready.size()) : 1;
  this->reservation.grant(*job, slots, query, this->workers, this->runTimes, round.now);
  this->lastReservation = job->serial;
}

} // namespace banyanrill::placement
