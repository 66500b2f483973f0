#include "banyanrill/jobs/Table.h"

#include "banyanrill/jobs/ShareLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace banyanrill::jobs {

namespace {

/// Released runs of a task that are kept; the end of an older one is not listed any more in
/// practice.
constexpr std::size_t MaxReleasedRuns = 8;

StepProgress *findProgress(Job &job, const TaskKey &task) {
  const auto occurrence = job.occurrences.find(task.occurrence);
  if (occurrence == job.occurrences.end() || task.step >= occurrence->second.steps.size())
    return nullptr;
  StepProgress &progress = occurrence->second.steps[task.step];
  return task.index < progress.tasks.size() ? &progress : nullptr;
}

/// Whether both are of one life of a worker; its address and service never change in it.
bool isSameLife(const WorkerProfile &one, const WorkerProfile &other) {
  return one.incarnation == other.incarnation && one.address == other.address &&
         one.service == other.service;
}

} // namespace

Effect Table::apply(const CommandBatch &batch) {
  Effect effect;
  // The wall clocks of two leaders differ, and jump.
  this->content.lastTimeMs = std::max(this->content.lastTimeMs, batch.logTimeMs);
  for (const Command &command : batch.commands)
    std::visit([&](const auto &typed) { this->applyOne(typed, effect); }, command);
  return effect;
}

const Job *Table::findJob(const std::string &id) const {
  const auto found = this->content.jobs.find(id);
  return found == this->content.jobs.end() ? nullptr : &found->second;
}

const Worker *Table::findWorker(const std::string &id) const {
  const auto found = this->content.workers.find(id);
  return found == this->content.workers.end() ? nullptr : &found->second;
}

const Queue *Table::findQueue(const std::string &host, const std::string &path,
                              std::string &rest) const {
  if (!this->content.configuration)
    return nullptr;
  const Queue *best = nullptr;
  for (const Queue &queue : this->content.configuration->queues) {
    if (queue.host != host || path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) != 0)
      continue;
    if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
      best = &queue;
  }
  if (best != nullptr)
    rest = path.substr(best->pathPrefix.size());
  return best;
}

bool Table::isReady(const Job &job, const Occurrence &occurrence, std::uint32_t step) {
  for (const std::uint32_t earlier : job.spec.steps[step].after) {
    if (occurrence.steps[earlier].succeeded < occurrence.steps[earlier].tasks.size())
      return false;
  }
  return true;
}

void Table::applyOne(const PutConfiguration &command, Effect &effect) {
  std::optional<Configuration> &current = this->content.configuration;
  if (current && current->version >= command.configuration.version)
    return;
  current = command.configuration;
  std::map<std::string, const Queue *> byName;
  for (const Queue &queue : current->queues)
    byName.emplace(queue.name, &queue);
  for (auto &[id, job] : this->content.jobs) {
    if (job.phase != JobPhase::Active)
      continue;
    const auto renewed = byName.find(job.queue.name);
    if (renewed == byName.end() || job.queue == *renewed->second)
      continue;
    job.queue = *renewed->second;
    effect.changedJobs.insert(id);
  }
}

void Table::applyOne(const AcceptJob &command, Effect &effect) {
  const auto [position, isNew] = this->content.jobs.try_emplace(command.spec.id);
  if (!isNew)
    return;
  Job &job = position->second;
  job.spec = command.spec;
  job.queue = command.queue;
  job.workspace = command.workspace;
  job.acceptedMs = this->content.lastTimeMs;
  if (job.spec.repeatCount == 0)
    this->openUpTo(job, 1);
  effect.changedJobs.insert(command.spec.id);
}

void Table::openUpTo(Job &job, std::uint32_t count) {
  count = std::min(count, occurrencesOf(job.spec));
  for (; job.opened < count; ++job.opened) {
    Occurrence &occurrence = job.occurrences[job.opened];
    for (const Step &step : job.spec.steps) {
      StepProgress progress;
      progress.tasks.resize(step.count);
      occurrence.steps.push_back(std::move(progress));
    }
  }
}

void Table::applyOne(const OpenOccurrences &command, Effect &effect) {
  const auto found = this->content.jobs.find(command.job);
  if (found == this->content.jobs.end() || found->second.phase != JobPhase::Active)
    return;
  this->openUpTo(found->second, command.count);
  effect.changedJobs.insert(command.job);
}

void Table::finish(Job &job, JobPhase phase, Effect &effect) {
  job.phase = phase;
  job.endedMs = this->content.lastTimeMs;
  effect.endedJobs.push_back(job.spec.id);
  effect.changedJobs.insert(job.spec.id);
}

void Table::applyOne(const CancelJob &command, Effect &effect) {
  const auto found = this->content.jobs.find(command.job);
  if (found != this->content.jobs.end() && found->second.phase == JobPhase::Active)
    this->finish(found->second, JobPhase::Cancelled, effect);
}

void Table::applyOne(const PlaceRuns &command, Effect &effect) {
  for (const PlacedRun &placed : command.runs) {
    const auto job = this->content.jobs.find(placed.run.task.job);
    const auto worker = this->content.workers.find(placed.worker);
    if (job == this->content.jobs.end() || worker == this->content.workers.end() ||
        job->second.phase != JobPhase::Active)
      continue;
    StepProgress *progress = findProgress(job->second, placed.run.task);
    if (progress == nullptr)
      continue;
    Task &task = progress->tasks[placed.run.task.index];
    if (task.phase != TaskPhase::Waiting || placed.run.run <= task.lastRun ||
        worker->second.placements.count(placed.run.task) != 0)
      continue;
    task.phase = TaskPhase::Placed;
    task.lastRun = placed.run.run;
    task.worker = placed.worker;
    ++progress->placements;
    job->second.started = true;
    worker->second.placements[placed.run.task] = {placed.run.run, command.term, false};
    noteOccupancy(job->second, placed.run.task, true, effect);
    effect.placed.push_back(placed);
    effect.changedJobs.insert(placed.run.task.job);
    effect.changedWorkers.insert(placed.worker);
  }
}

void Table::applyOne(const RecordEnds &command, Effect &effect) {
  const auto found = this->content.workers.find(command.worker.id);
  if (found == this->content.workers.end() || found->second.profile.incarnation != command.worker)
    return;
  Worker &worker = found->second;
  effect.changedWorkers.insert(command.worker.id);
  for (const TaskEnd &end : command.ends) {
    if (end.number <= worker.recordedEnds)
      continue;
    worker.recordedEnds = end.number;
    const auto placement = worker.placements.find(end.run.task);
    if (placement == worker.placements.end() || placement->second.run != end.run.run) {
      this->recordLateEnd(end, effect);
      continue;
    }
    worker.placements.erase(placement);
    this->endRun(end, effect);
  }
}

void Table::endRun(const TaskEnd &end, Effect &effect) {
  const auto found = this->content.jobs.find(end.run.task.job);
  if (found == this->content.jobs.end())
    return;
  Job &job = found->second;
  effect.changedJobs.insert(job.spec.id);
  StepProgress *progress = findProgress(job, end.run.task);
  if (progress == nullptr)
    return;
  --progress->placements;
  noteOccupancy(job, end.run.task, false, effect);
  Task &task = progress->tasks[end.run.task.index];
  if (job.phase != JobPhase::Active || task.phase != TaskPhase::Placed ||
      task.lastRun != end.run.run)
    return;
  task.phase = TaskPhase::Waiting;
  if (end.kind != EndKind::Succeeded && !end.checkpoint.empty())
    task.checkpoint = end.checkpoint;
  this->applyOutcome(job, end, effect);
}

void Table::recordLateEnd(const TaskEnd &end, Effect &effect) {
  const auto found = this->content.jobs.find(end.run.task.job);
  if (found == this->content.jobs.end() || found->second.phase != JobPhase::Active)
    return;
  Job &job = found->second;
  StepProgress *progress = findProgress(job, end.run.task);
  if (progress == nullptr)
    return;
  Task &task = progress->tasks[end.run.task.index];
  const auto released = std::find(task.releasedRuns.begin(), task.releasedRuns.end(), end.run.run);
  if (released == task.releasedRuns.end() || task.phase == TaskPhase::Succeeded)
    return;
  task.releasedRuns.erase(released);
  effect.changedJobs.insert(job.spec.id);
  this->applyOutcome(job, end, effect);
}

void Table::applyOutcome(Job &job, const TaskEnd &end, Effect &effect) {
  if (end.kind == EndKind::Failed)
    this->fail(job, end.run, effect);
  if (end.kind != EndKind::Succeeded)
    return;
  this->succeed(job, end.run);
  if (job.finished == occurrencesOf(job.spec))
    this->finish(job, JobPhase::Succeeded, effect);
}

void Table::succeed(Job &job, const RunKey &run) {
  const Step &step = job.spec.steps[run.task.step];
  if (step.longRunning)
    return;
  Occurrence &occurrence = job.occurrences.at(run.task.occurrence);
  StepProgress &progress = occurrence.steps[run.task.step];
  if (step.gang) {
    for (Task &member : progress.tasks)
      member.phase = TaskPhase::Succeeded;
    progress.succeeded = static_cast<std::uint32_t>(progress.tasks.size());
  } else {
    progress.tasks[run.task.index].phase = TaskPhase::Succeeded;
    ++progress.succeeded;
  }
  if (progress.succeeded < progress.tasks.size())
    return;
  ++occurrence.stepsDone;
  if (occurrence.stepsDone == occurrence.steps.size())
    ++job.finished;
}

void Table::fail(Job &job, const RunKey &run, Effect &effect) {
  const Step &step = job.spec.steps[run.task.step];
  StepProgress &progress = job.occurrences.at(run.task.occurrence).steps[run.task.step];
  Task &task = progress.tasks[run.task.index];
  if (step.longRunning)
    return;
  if (step.gang) {
    if (progress.lastFailedRun >= run.run)
      return;
    progress.lastFailedRun = run.run;
    for (Task &member : progress.tasks)
      ++member.failures;
  } else {
    ++task.failures;
  }
  if (task.failures >= job.queue.maxAttempts)
    this->finish(job, JobPhase::Failed, effect);
}

void Table::release(Worker &worker, const RunKey &run, const std::string &checkpoint,
                    Effect &effect) {
  const auto placement = worker.placements.find(run.task);
  if (placement == worker.placements.end() || placement->second.run != run.run)
    return;
  worker.placements.erase(placement);
  effect.changedWorkers.insert(worker.profile.incarnation.id);
  const auto found = this->content.jobs.find(run.task.job);
  if (found == this->content.jobs.end())
    return;
  Job &job = found->second;
  effect.changedJobs.insert(job.spec.id);
  StepProgress *progress = findProgress(job, run.task);
  if (progress == nullptr)
    return;
  --progress->placements;
  noteOccupancy(job, run.task, false, effect);
  Task &task = progress->tasks[run.task.index];
  if (task.phase != TaskPhase::Placed || task.lastRun != run.run)
    return;
  task.phase = TaskPhase::Waiting;
  if (!checkpoint.empty())
    task.checkpoint = checkpoint;
  if (task.releasedRuns.size() == MaxReleasedRuns)
    task.releasedRuns.erase(task.releasedRuns.begin());
  task.releasedRuns.push_back(run.run);
}

void Table::releaseAll(Worker &worker, const std::vector<ReleasedRun> &lastCheckpoints,
                       Effect &effect) {
  for (const ReleasedRun &seen : lastCheckpoints)
    this->release(worker, seen.run, seen.checkpoint, effect);
  while (!worker.placements.empty()) {
    const auto first = worker.placements.begin();
    this->release(worker, {first->first, first->second.run}, {}, effect);
  }
}

void Table::applyOne(const ReleaseRuns &command, Effect &effect) {
  for (const ReleasedRun &released : command.runs) {
    const auto worker = this->content.workers.find(released.worker);
    if (worker != this->content.workers.end())
      this->release(worker->second, released.run, released.checkpoint, effect);
  }
}

ReportMeaning Table::meaningOf(const WorkerProfile &profile) const {
  const Worker *known = this->findWorker(profile.incarnation.id);
  if (known != nullptr && isSameLife(known->profile, profile))
    return known->profile == profile ? ReportMeaning::Known : ReportMeaning::News;
  const std::optional<Configuration> &configuration = this->content.configuration;
  if (configuration && std::find(configuration->services.begin(), configuration->services.end(),
                                 profile.service) == configuration->services.end())
    return ReportMeaning::Unusable;
  return known == nullptr ? ReportMeaning::News : ReportMeaning::Claim;
}

bool Table::hasSuccessor(const WorkerProfile &profile) const {
  const auto &workers = this->content.workers;
  return std::any_of(workers.begin(), workers.end(), [&profile](const auto &entry) {
    const WorkerProfile &other = entry.second.profile;
    return other.address == profile.address &&
           other.incarnation.startTimeMs > profile.incarnation.startTimeMs;
  });
}

void Table::applyOne(const RegisterWorker &command, Effect &effect) {
  const WorkerProfile &profile = command.profile;
  const std::string &id = profile.incarnation.id;
  const auto existing = this->content.workers.find(id);
  const bool isKnown = existing != this->content.workers.end();
  // A late report of a worker whose successor has registered at its address adds no worker. Whether
  // the other worker at an address still lives, it says itself: its runs stay placed.
  if (isKnown ? !isSameLife(existing->second.profile, profile) : this->hasSuccessor(profile))
    return;
  Worker &worker = this->content.workers[id];
  // A worker that drains never becomes ready again in the same life; a report that says so is late.
  const bool drains = worker.profile.draining;
  worker.profile = profile;
  worker.profile.draining = profile.draining || drains;
  effect.changedWorkers.insert(id);
}

void Table::applyOne(const RestartWorker &command, Effect &effect) {
  const auto found = this->content.workers.find(command.former.id);
  if (found == this->content.workers.end() || found->second.profile.incarnation != command.former)
    return;
  Worker &worker = found->second;
  worker.profile = command.profile;
  worker.recordedEnds = 0;
  for (auto &[task, placement] : worker.placements)
    placement.previousIncarnation = true;
  effect.changedWorkers.insert(command.former.id);
}

void Table::applyOne(const RemoveWorker &command, Effect &effect) {
  const auto found = this->content.workers.find(command.worker.id);
  if (found == this->content.workers.end() || found->second.profile.incarnation != command.worker)
    return;
  this->releaseAll(found->second, command.lastCheckpoints, effect);
  this->content.workers.erase(found);
  effect.changedWorkers.insert(command.worker.id);
}

void Table::applyOne(const ForgetJobs &command, Effect &effect) {
  for (const std::string &id : command.jobs) {
    const auto found = this->content.jobs.find(id);
    // The leader may propose this twice, and the identifier may have been submitted again.
    if (found == this->content.jobs.end() || found->second.phase == JobPhase::Active)
      continue;
    this->noteForgotten(found->second, effect);
    this->content.jobs.erase(found);
    effect.changedJobs.insert(id);
  }
}

void Table::noteOccupancy(const Job &job, const TaskKey &task, bool isAdded, Effect &effect) {
  effect.occupancy.push_back({job.workspace, demandOf(job.spec.steps[task.step]), isAdded});
}

void Table::noteForgotten(const Job &job, Effect &effect) const {
  for (const auto &[number, occurrence] : job.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepProgress &progress = occurrence.steps[step];
      if (progress.placements == 0)
        continue;
      for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
        const TaskKey key{job.spec.id, number, step, index};
        const Worker *worker = this->findWorker(progress.tasks[index].worker);
        if (worker != nullptr && worker->placements.count(key) != 0)
          noteOccupancy(job, key, false, effect);
      }
    }
  }
}

void Table::applyOne(const StartWave &command, Effect & /*effect*/) {
  const auto [position, isNew] = this->content.waves.try_emplace(command.wave.number, command.wave);
  if (isNew)
    position->second.acceptedMs = this->content.lastTimeMs;
}

void Table::applyOne(const RemoveFromWave &command, Effect & /*effect*/) {
  const auto found = this->content.waves.find(command.wave);
  if (found != this->content.waves.end())
    found->second.waiting.erase(command.machine);
}

void Table::applyOne(const PutMember &command, Effect & /*effect*/) {
  this->content.members[command.member.replica] = command.member;
}

} // namespace banyanrill::jobs
