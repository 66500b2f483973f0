// Phases of a task from its assignment to its end, and retries.
#include "PlannerCore.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Duration;
using base::TimePoint;

namespace {

constexpr Duration InitialRetryDelay = std::chrono::seconds(1);
constexpr Duration MaxRetryDelay = std::chrono::minutes(1);
// Reports of free capacity are batched every second, so the view of a worker that refused a task is
// correct again after about that time.
constexpr Duration RefusalPenalty = std::chrono::seconds(1);
// A run of at least this length shows that the worker can run tasks, so a later failure of the task
// does not count against the worker.
constexpr Duration MinHealthyRunTime = std::chrono::minutes(10);
// Number of workers on which a job must fail, without a success in between, before backoff.
constexpr std::size_t WorkersToBackOff = 3;
constexpr Duration MaxJobBackoff = std::chrono::minutes(5);
constexpr std::uint32_t MaxBackoffLevel = 9;
// Bounds the failure records of one job.
constexpr std::size_t MaxFailureRecords = 64;

void decrement(std::unordered_map<std::uint32_t, std::uint32_t> &counts, std::uint32_t key) {
  const auto found = counts.find(key);
  assert(found != counts.end());
  if (--found->second == 0)
    counts.erase(found);
}

} // namespace

Task *PlannerCore::currentTask(const AttemptKey &number, Job **job) {
  const auto found = this->jobs.find(number.job);
  if (found == this->jobs.end() || number.index >= found->second->tasks.size())
    return nullptr;
  *job = found->second.get();
  Task &task = (*job)->tasks[number.index];
  return task.attempt == number.attempt ? &task : nullptr;
}

void PlannerCore::allocate(Job &job, std::uint32_t index, std::uint32_t slot, TimePoint now) {
  Task &task = job.tasks[index];
  assert(!task.isActive());
  const Worker &worker = this->workers.at(slot);
  ++task.attempt;
  task.phase = TaskPhase::Assigned;
  task.worker = slot;
  task.zone = worker.zone;
  task.rack = worker.rack;
  task.since = now;
  task.held = job.spec.demand;
  ++job.active;
  ++this->activeTaskCount;
  if (job.isService()) {
    ++job.tasksPerZone[task.zone];
    ++job.tasksPerRack[task.rack];
  }
  const TaskRef ref{&job, index};
  this->workers.addTask(slot, ref, task.held);
  this->quotas.addUsage(*job.team, ref, task.held, job.spec.preemptible);
  if (job.spec.preemptible)
    this->preemptible.add(job.spec.priority, slot);
}

bool PlannerCore::release(Job &job, std::uint32_t index) {
  Task &task = job.tasks[index];
  assert(task.isActive());
  const bool stopping = task.phase == TaskPhase::Stopping;
  if (job.spec.preemptible && !stopping)
    this->preemptible.remove(job.spec.priority, task.worker);
  const TaskRef ref{&job, index};
  this->quotas.removeUsage(*job.team, ref, task.held, job.spec.preemptible, stopping);
  this->workers.removeTask(task.worker, ref, task.held);
  if (job.isService()) {
    decrement(job.tasksPerZone, task.zone);
    decrement(job.tasksPerRack, task.rack);
  }
  --job.active;
  --this->activeTaskCount;
  task.phase = TaskPhase::Pending;
  task.worker = NoWorker;
  return stopping;
}

void PlannerCore::requestStop(Job &job, std::uint32_t index, const std::string &reason,
                              bool preemption) {
  Task &task = job.tasks[index];
  if (!task.isActive() || task.phase == TaskPhase::Stopping)
    return;
  task.phase = TaskPhase::Stopping;
  if (job.spec.preemptible)
    this->preemptible.remove(job.spec.priority, task.worker);
  this->quotas.markStopping(*job.team, task.held);
  if (preemption)
    ++task.preemptions;
  std::deque<Stop> &stops = preemption ? this->urgentStops : this->otherStops;
  stops.push_back({{job.serial, index, task.attempt},
                   preemption && job.spec.checkpointable,
                   reason,
                   TimePoint{}});
}

void PlannerCore::stopAll(Job &job, const std::string &reason) {
  if (job.active == 0)
    return;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    this->requestStop(job, index, reason, false);
}

Duration PlannerCore::retryDelay(std::uint32_t failures) {
  const std::uint32_t shift = std::min<std::uint32_t>(failures > 0 ? failures - 1 : 0, 6);
  const Duration delay = std::min(MaxRetryDelay, InitialRetryDelay * (1 << shift));
  // Jitter of 20 %, so that tasks that failed together do not all retry together.
  return delay * static_cast<std::int64_t>(80 + this->random.below(41)) / 100;
}

void PlannerCore::makeReady(Job &job, std::uint32_t index, TimePoint now) {
  // A job without ready tasks was not waiting.
  if (job.ready.empty())
    job.waitingSince = now;
  job.ready.insert(index);
}

void PlannerCore::returnToPending(Job &job, std::uint32_t index, Duration delay, TimePoint now) {
  Task &task = job.tasks[index];
  task.phase = TaskPhase::Pending;
  if (job.ending || index >= job.targetCount())
    return;
  if (delay.count() > 0) {
    task.delayed = true;
    ++job.delayed;
    this->retries.push({now + delay, {job.serial, index, task.attempt}});
  } else {
    this->makeReady(job, index, now);
  }
  // The tasks of a gang run together or not at all.
  if (job.isGang())
    this->stopAll(job, "another task of the gang stopped");
}

void PlannerCore::onFailed(Job &job, std::uint32_t index, TimePoint now) {
  Task &task = job.tasks[index];
  const std::uint32_t slot = task.worker;
  const std::string worker = this->workers.at(slot).view.id.value;
  const bool healthy = now - task.since >= MinHealthyRunTime;
  this->release(job, index);
  ++task.failures;
  task.lastFailedWorker = slot;
  if (job.failuresByWorker.size() < MaxFailureRecords || job.failuresByWorker.count(slot) != 0)
    ++job.failuresByWorker[slot];
  if (job.failedWorkers.size() < MaxFailureRecords)
    job.failedWorkers.insert(worker);
  const bool failsElsewhere = job.failedWorkers.size() >= WorkersToBackOff;
  if (healthy) {
    this->health.onProbeAborted(worker);
  } else if (this->health.onFailure(worker, job.serial, failsElsewhere, this->workers.knownCount(),
                                    now) == WorkerHealth::Verdict::Quarantine) {
    this->workers.setQuarantined(slot, true);
    if (this->reservation.covers(slot))
      this->reservation.cancel(this->workers);
  }
  if (failsElsewhere) {
    this->health.forgetJob(job.failedWorkers, job.serial);
    job.backoffLevel = std::min(job.backoffLevel + 1, MaxBackoffLevel);
    job.notBefore = now + std::min(MaxJobBackoff, InitialRetryDelay * (1 << job.backoffLevel));
  }
  if (!job.ending && !job.isService() && index < job.targetCount() &&
      task.failures >= static_cast<std::uint32_t>(std::max(job.spec.maxAttempts, 1))) {
    task.phase = TaskPhase::Failed;
    this->endJob(job, false,
                 "task " + std::to_string(index) + " failed " + std::to_string(task.failures) +
                     " times, last on " + worker);
    return;
  }
  this->returnToPending(job, index, this->retryDelay(task.failures), now);
}

void PlannerCore::onSucceeded(Job &job, std::uint32_t index, Duration run, TimePoint now) {
  Task &task = job.tasks[index];
  const std::uint32_t slot = task.worker;
  const std::string worker = this->workers.at(slot).view.id.value;
  if (this->health.onSuccess(worker) == WorkerHealth::Verdict::Release)
    this->workers.setQuarantined(slot, false);
  this->release(job, index);
  job.failuresByWorker.erase(slot);
  job.failedWorkers.clear();
  job.backoffLevel = 0;
  job.notBefore = TimePoint{};
  this->runTimes.observe(job, run);
  if (job.isService()) {
    // A service task that ends by itself is restarted, as after a failure.
    this->returnToPending(job, index, this->retryDelay(1), now);
    return;
  }
  task.phase = TaskPhase::Succeeded;
  if (index < job.targetCount())
    ++job.succeeded;
}

void PlannerCore::onTaskEvent(const TaskEvent &event, TimePoint now) {
  const auto number = this->serialById.find(event.task.job.value);
  if (number == this->serialById.end())
    return;
  Job *found = nullptr;
  Task *task = this->currentTask({number->second, event.task.index, event.attempt}, &found);
  if (task == nullptr || !task->isActive())
    return;
  Job &job = *found;
  const std::uint32_t index = event.task.index;
  const std::uint32_t slot = task->worker;
  const std::string worker = this->workers.at(slot).view.id.value;
  const bool stopping = task->phase == TaskPhase::Stopping;
  switch (event.kind) {
  case TaskEventKind::Started:
    if (task->phase == TaskPhase::Assigned) {
      task->phase = TaskPhase::Running;
      task->since = now;
    }
    return;
  case TaskEventKind::Succeeded:
    this->onSucceeded(job, index, now - task->since, now);
    break;
  case TaskEventKind::Failed:
    if (!stopping) {
      this->onFailed(job, index, now);
      break;
    }
    this->health.onProbeAborted(worker);
    this->release(job, index);
    this->returnToPending(job, index, Duration{0}, now);
    break;
  case TaskEventKind::Stopped:
    this->health.onProbeAborted(worker);
    this->release(job, index);
    // After a stop that the planner did not request, such as by an isolated worker, the task is
    // retried with a delay.
    this->returnToPending(job, index, stopping ? Duration{0} : this->retryDelay(1), now);
    break;
  case TaskEventKind::Refused:
    this->health.onProbeAborted(worker);
    this->release(job, index);
    if (this->workers.find(base::WorkerId{worker}) == slot) {
      this->workers.setPenalized(slot, true);
      this->penalties.emplace_back(now + RefusalPenalty, base::WorkerId{worker});
    }
    this->returnToPending(job, index, Duration{0}, now);
    break;
  case TaskEventKind::Lost:
    this->health.onProbeAborted(worker);
    this->release(job, index);
    this->returnToPending(job, index, this->retryDelay(1), now);
    break;
  }
  this->updateJobState(job);
}

} // namespace banyanrill::placement
