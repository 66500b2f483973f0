// Adds, changes, cancels and ends jobs, and restores tasks after a change of leader.
#include "PlannerCore.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Duration;
using base::TimePoint;

const Job *PlannerCore::findJob(const base::JobId &id) const {
  const auto number = this->serialById.find(id.value);
  return number == this->serialById.end() ? nullptr : this->jobs.at(number->second).get();
}

void PlannerCore::addJob(const JobSpec &spec, TimePoint now, std::vector<std::uint32_t> attempts) {
  assert(spec.count >= 0 && spec.demand.isValid());
  auto owned = std::make_unique<Job>();
  Job &job = *owned;
  job.serial = this->nextSerial++;
  job.spec = spec;
  job.spec.count = 0;
  job.team = &this->quotas.addJobTo(spec.team);
  job.acceptedAt = now;
  job.waitingSince = now;
  job.tasks.resize(attempts.size());
  for (std::size_t index = 0; index < attempts.size(); ++index)
    job.tasks[index].attempt = attempts[index];
  this->jobs.emplace(job.serial, std::move(owned));
  this->serialById[spec.id.value] = job.serial;
  this->applySpec(job, spec, now);
  this->updateJobState(job);
}

void PlannerCore::putJob(const JobSpec &spec, TimePoint now) {
  const auto number = this->serialById.find(spec.id.value);
  if (number == this->serialById.end()) {
    this->addJob(spec, now, {});
    return;
  }
  Job &job = *this->jobs.at(number->second);
  if (job.ending) {
    job.replacementSpec = spec;
    return;
  }
  this->applySpec(job, spec, now);
  this->updateJobState(job);
}

void PlannerCore::applySpec(Job &job, const JobSpec &spec, TimePoint now) {
  // The kind and the team of a job are part of its path and do not change.
  assert(spec.kind == job.spec.kind && spec.team == job.spec.team);
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    const Task &task = job.tasks[index];
    if (!task.isActive())
      continue;
    if (job.spec.preemptible != spec.preemptible)
      this->quotas.setPreemptible(*job.team, {&job, index}, task.held, spec.preemptible);
    if (task.phase == TaskPhase::Stopping)
      continue;
    if (job.spec.preemptible)
      this->preemptible.remove(job.spec.priority, task.worker);
    if (spec.preemptible)
      this->preemptible.add(spec.priority, task.worker);
  }
  if (this->reservation.holder() == &job)
    this->reservation.cancel(this->workers);
  if (job.ready.empty())
    job.waitingSince = now;
  this->deadlines.erase({job.acceptedAt + job.spec.deadline, job.serial});
  job.spec = spec;
  if (spec.deadline.count() > 0)
    this->deadlines.emplace(job.acceptedAt + spec.deadline, job.serial);
  if (job.tasks.size() < job.targetCount())
    job.tasks.resize(job.targetCount());
  job.succeeded = 0;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task &task = job.tasks[index];
    if (index >= job.targetCount()) {
      job.ready.erase(index);
      if (task.isActive())
        this->requestStop(job, index, "scale-down", false);
      continue;
    }
    if (task.phase == TaskPhase::Succeeded)
      ++job.succeeded;
    else if (!task.isActive() && !task.delayed)
      job.ready.insert(job.ready.end(), index);
  }
}

void PlannerCore::requeue(Job &job) {
  if (job.ending || job.ready.empty())
    this->queue.remove(job);
  else
    this->queue.put(job, this->runTimes.expected(job));
}

void PlannerCore::cancelJob(const base::JobId &id) {
  const auto number = this->serialById.find(id.value);
  if (number == this->serialById.end())
    return;
  Job &job = *this->jobs.at(number->second);
  job.replacementSpec.reset();
  this->endJob(job, false, "cancelled");
  this->updateJobState(job);
}

void PlannerCore::endJob(Job &job, bool succeeded, const std::string &reason) {
  if (job.ending)
    return;
  job.ending = true;
  job.endSucceeded = succeeded;
  job.endReason = reason;
  job.ready.clear();
  this->queue.remove(job);
  if (this->reservation.holder() == &job)
    this->reservation.cancel(this->workers);
  this->stopAll(job, reason);
}

void PlannerCore::updateJobState(Job &job) {
  if (!job.ending && !job.isService() && job.succeeded == job.targetCount() && job.active == 0)
    this->endJob(job, true, "all " + std::to_string(job.succeeded) + " tasks succeeded");
  if (!job.ending) {
    this->requeue(job);
    return;
  }
  if (job.endQueued || job.active > 0)
    return;
  // All tasks may succeed before their stop takes effect; corrects the recorded result.
  if (!job.endSucceeded && !job.isService() && job.succeeded == job.targetCount() &&
      job.targetCount() > 0) {
    job.endSucceeded = true;
    job.endReason = "all tasks succeeded before this took effect: " + job.endReason;
  }
  job.endQueued = true;
  this->deadlines.erase({job.acceptedAt + job.spec.deadline, job.serial});
  this->endedJobs.push_back(job.serial);
}

void PlannerCore::restoreTask(const TaskRecord &record, TimePoint now) {
  const auto number = this->serialById.find(record.id.job.value);
  if (number == this->serialById.end())
    return;
  Job &job = *this->jobs.at(number->second);
  const std::uint32_t index = record.id.index;
  if (index >= job.tasks.size())
    job.tasks.resize(index + 1);
  Task &task = job.tasks[index];
  assert(!task.isActive());
  task.attempt = record.attempt;
  switch (record.phase) {
  case TaskPhase::Pending:
    break;
  case TaskPhase::Failed:
    task.failures = 1;
    break;
  case TaskPhase::Succeeded:
    if (job.isService())
      break;
    task.phase = TaskPhase::Succeeded;
    if (job.ready.erase(index) > 0 || (job.ending && index < job.targetCount()))
      ++job.succeeded;
    break;
  case TaskPhase::Assigned:
  case TaskPhase::Running:
  case TaskPhase::Stopping:
    job.ready.erase(index);
    this->allocate(job, index, this->workers.findOrCreate(record.worker), now);
    task.attempt = record.attempt;
    task.phase = record.phase == TaskPhase::Stopping ? TaskPhase::Running : record.phase;
    // The previous leader's stop may not have reached the worker; sending a stop twice is harmless.
    if (record.phase == TaskPhase::Stopping || index >= job.targetCount() || job.ending)
      this->requestStop(job, index, "stop repeated after a change of leader", false);
    break;
  }
  this->updateJobState(job);
}

} // namespace banyanrill::placement
