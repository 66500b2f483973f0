// One call of `plan`: timers, ends of jobs, stops, capacity freed by preemption, placement.
#include "PlannerCore.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Duration;
using base::Resources;
using base::TimePoint;

namespace {

// Longer than the task lease (15 s plus 1 s), by which time the stop is confirmed or the task is
// lost.
constexpr Duration StopRetryInterval = std::chrono::seconds(17);
// Maximum jobs tried in one round of placement; bounds its duration when many jobs are blocked.
constexpr std::size_t JobWindowSize = 256;

} // namespace

std::size_t PlannerCore::remainingActions(const Round &round) const {
  return this->options.maxActionsPerPlan - round.actions.size();
}

void PlannerCore::runTimers(TimePoint now) {
  while (!this->penalties.empty() && this->penalties.front().first <= now) {
    const std::uint32_t slot = this->workers.find(this->penalties.front().second);
    this->penalties.pop_front();
    if (slot != NoWorker && this->workers.at(slot).penalized)
      this->workers.setPenalized(slot, false);
  }
  while (!this->retries.empty() && this->retries.top().at <= now) {
    const AttemptKey number = this->retries.top().task;
    this->retries.pop();
    Job *job = nullptr;
    Task *task = this->currentTask(number, &job);
    if (task == nullptr || !task->delayed)
      continue;
    task->delayed = false;
    --job->delayed;
    if (job->ending || number.index >= job->targetCount())
      continue;
    this->makeReady(*job, number.index, now);
    this->requeue(*job);
  }
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const std::uint64_t serial = this->deadlines.begin()->second;
    this->deadlines.erase(this->deadlines.begin());
    Job &job = *this->jobs.at(serial);
    this->endJob(job, false, "deadline exceeded");
    this->updateJobState(job);
  }
  for (const std::string &worker : this->health.releaseUnprobed(now)) {
    const std::uint32_t slot = this->workers.find(base::WorkerId{worker});
    if (slot != NoWorker)
      this->workers.setQuarantined(slot, false);
  }
  while (!this->unconfirmedStops.empty() && this->unconfirmedStops.front().at <= now) {
    this->otherStops.push_back(std::move(this->unconfirmedStops.front()));
    this->unconfirmedStops.pop_front();
  }
}

void PlannerCore::emitStops(std::deque<Stop> &stops, Round &round, std::size_t limit) {
  while (!stops.empty() && limit > 0 && this->remainingActions(round) > 0) {
    Stop stop = std::move(stops.front());
    stops.pop_front();
    Job *job = nullptr;
    const Task *task = this->currentTask(stop.task, &job);
    if (task == nullptr || task->phase != TaskPhase::Stopping)
      continue;
    round.actions.emplace_back(StopTask{{job->spec.id, stop.task.index},
                                        stop.task.attempt,
                                        this->workers.at(task->worker).view.id,
                                        stop.checkpoint,
                                        stop.reason});
    --limit;
    stop.at = round.now + StopRetryInterval;
    this->unconfirmedStops.push_back(std::move(stop));
  }
}

void PlannerCore::emitEnds(Round &round) {
  // At most half of the actions of the call, so that many ends at once do not delay placements.
  std::size_t limit = std::max<std::size_t>(1, this->options.maxActionsPerPlan / 2);
  while (!this->endedJobs.empty() && limit > 0 && this->remainingActions(round) > 0) {
    const std::uint64_t serial = this->endedJobs.front();
    this->endedJobs.pop_front();
    --limit;
    const auto found = this->jobs.find(serial);
    assert(found != this->jobs.end());
    Job &job = *found->second;
    assert(job.active == 0 && !job.queued);
    round.actions.emplace_back(EndJob{job.spec.id, job.endSucceeded, job.endReason});
    std::erase_if(this->claims, [this, &job](const Claim &claim) {
      if (claim.job != &job)
        return false;
      this->releaseClaim(claim);
      return true;
    });
    const std::optional<JobSpec> replacementSpec = std::move(job.replacementSpec);
    std::vector<std::uint32_t> attempts;
    for (const Task &task : job.tasks)
      attempts.push_back(task.attempt);
    this->quotas.removeJobFrom(*job.team);
    this->serialById.erase(job.spec.id.value);
    this->jobs.erase(found);
    if (replacementSpec)
      this->addJob(*replacementSpec, round.now, std::move(attempts));
  }
}

void PlannerCore::releaseClaim(const Claim &claim) {
  --claim.job->claimCount;
  this->workers.addClaim(claim.slot, Resources{} - claim.demand);
}

bool PlannerCore::canUseGangClaims(const Job &job) const {
  std::map<std::uint32_t, Resources> needed;
  std::uint32_t count = 0;
  for (const Claim &claim : this->claims) {
    if (claim.job != &job)
      continue;
    needed[claim.slot] = needed[claim.slot] + claim.demand;
    ++count;
  }
  if (count != job.ready.size() || job.active > 0)
    return false;
  return std::all_of(needed.begin(), needed.end(), [this](const auto &entry) {
    return entry.second.fitsIn(this->workers.at(entry.first).rawFree());
  });
}

bool PlannerCore::isClaimValid(const Claim &claim, TimePoint now) const {
  const Job &job = *claim.job;
  if (job.isGang() && (job.active > 0 || job.claimCount != job.ready.size()))
    return false;
  return !job.ending && !job.ready.empty() && claim.expires > now &&
         this->workers.at(claim.slot).isUsable() && claim.demand == job.spec.demand;
}

bool PlannerCore::canUseClaim(const Claim &claim, const Round &round) const {
  const Job &job = *claim.job;
  const std::int64_t tasks = job.isGang() ? job.claimCount : 1;
  if (job.ready.empty() || job.notBefore > round.now ||
      this->remainingActions(round) < static_cast<std::size_t>(tasks) ||
      !(job.spec.preemptible || job.team->admits(claim.demand * tasks, false)))
    return false;
  return job.isGang() ? this->canUseGangClaims(job)
                      : claim.demand.fitsIn(this->workers.at(claim.slot).rawFree());
}

void PlannerCore::processClaims(Round &round) {
  // If one claim of a gang is no longer valid, all of its claims are released.
  std::set<const Job *> brokenGangs;
  for (const Claim &claim : this->claims) {
    if (claim.job->isGang() && !this->isClaimValid(claim, round.now))
      brokenGangs.insert(claim.job);
  }
  std::erase_if(this->claims, [this, &round, &brokenGangs](const Claim &claim) {
    if (brokenGangs.count(claim.job) == 0 && this->isClaimValid(claim, round.now))
      return false;
    this->releaseClaim(claim);
    return true;
  });
  std::set<const Job *> startingGangs;
  std::vector<Claim> remaining;
  const std::vector<Claim> current = this->claims;
  for (const Claim &claim : current) {
    Job &job = *claim.job;
    if (startingGangs.count(&job) == 0 && !this->canUseClaim(claim, round)) {
      remaining.push_back(claim);
      continue;
    }
    // All claims of a ready gang are used in the same call.
    if (job.isGang())
      startingGangs.insert(&job);
    this->releaseClaim(claim);
    this->assign(job, *job.ready.begin(), claim.slot, round);
  }
  this->claims = std::move(remaining);
}

std::vector<Action> PlannerCore::plan(TimePoint now) {
  Round round;
  round.now = now;
  this->runTimers(now);
  this->emitEnds(round);
  this->emitStops(this->urgentStops, round, this->remainingActions(round));
  // Uses at most half of the remaining actions, so that mass cancellations do not block starts.
  this->emitStops(this->otherStops, round,
                  std::max<std::size_t>(1, this->remainingActions(round) / 2));
  this->processClaims(round);
  for (const std::string &worker : this->health.probesDue(now)) {
    const std::uint32_t slot = this->workers.find(base::WorkerId{worker});
    if (slot != NoWorker && this->workers.at(slot).known && this->workers.at(slot).view.available)
      round.probes.push_back(slot);
  }
  bool progress = true;
  while (progress && this->remainingActions(round) > 0) {
    progress = false;
    const std::vector<Job *> window = this->queue.window(JobWindowSize);
    for (const bool borrowing : {false, true}) {
      for (Job *job : window) {
        if (this->remainingActions(round) == 0)
          break;
        if (job->queued && this->placeJob(*job, borrowing, round))
          progress = true;
      }
    }
  }
  this->updateReservation(round);
  this->emitStops(this->urgentStops, round, this->remainingActions(round));
  assert(round.actions.size() <= this->options.maxActionsPerPlan);
  return std::move(round.actions);
}

} // namespace banyanrill::placement
