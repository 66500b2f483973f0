#include "PlacementBaseline.h"

#include <algorithm>

namespace banyanrill::bench {

using base::Resources;
using base::TimePoint;
using placement::Action;
using placement::AssignTask;
using placement::JobKind;
using placement::StopTask;
using placement::TaskEventKind;

void Baseline::updateWorker(const placement::WorkerView &worker) {
  this->workers.push_back(worker);
  this->free.push_back(worker.capacity - worker.requestLoad);
}

void Baseline::setQuota(const std::string & /*team*/, const Resources & /*quota*/) {}

void Baseline::putJob(const placement::JobSpec &spec, TimePoint /*now*/) {
  const Order order{-spec.priority, this->next++};
  Job &job = this->jobs[order];
  job.spec = spec;
  job.tasks.resize(static_cast<std::size_t>(spec.count));
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    job.waiting.insert(index);
  this->numbers[spec.id.value] = order;
  this->requeue(order, job);
}

void Baseline::requeue(const Order &order, Job &job) {
  if (job.waiting.empty() || job.failed)
    this->queue.erase(order);
  else
    this->queue[order] = &job;
}

void Baseline::onTaskEvent(const placement::TaskEvent &event, TimePoint /*now*/) {
  if (event.kind == TaskEventKind::Started)
    return;
  const Order order = this->numbers.at(event.task.job.value);
  Job &job = this->jobs.at(order);
  Task &task = job.tasks[event.task.index];
  if (!task.active || task.attempt != event.attempt)
    return;
  task.active = false;
  --job.active;
  this->free[task.worker] = this->free[task.worker] + job.spec.demand;
  if (event.kind == TaskEventKind::Succeeded) {
    ++job.succeeded;
    return;
  }
  if (event.kind == TaskEventKind::Failed && job.spec.kind != JobKind::Service &&
      ++task.failures >= static_cast<std::uint32_t>(job.spec.maxAttempts))
    job.failed = true;
  job.waiting.insert(event.task.index);
  this->requeue(order, job);
}

std::size_t Baseline::findWorker(const Resources &demand) {
  const std::size_t count = this->workers.size();
  const std::size_t first = this->fit == Fit::Random ? this->random.below(count) : 0;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t number = (first + step) % count;
    if (demand.fitsIn(this->free[number]))
      return number;
  }
  return count;
}

std::vector<Action> Baseline::plan(TimePoint /*now*/) {
  constexpr std::size_t MaxActions = 512;
  std::vector<Action> actions;
  std::vector<Resources> failedShapes;
  std::vector<std::pair<Order, Job *>> order(this->queue.begin(), this->queue.end());
  for (auto &[number, job] : order) {
    const Resources &demand = job->spec.demand;
    const bool gang = job->spec.kind == JobKind::Gang;
    if (gang && job->active > 0) {
      // A task of the gang failed: the others are stopped and the gang starts again.
      for (std::uint32_t index = 0; index < job->tasks.size(); ++index) {
        const Task &task = job->tasks[index];
        if (task.active)
          actions.emplace_back(StopTask{
              {job->spec.id, index}, task.attempt, this->workers[task.worker].id, false, "gang"});
      }
      continue;
    }
    std::vector<std::size_t> chosen;
    while (chosen.size() < job->waiting.size() && actions.size() + chosen.size() < MaxActions) {
      const bool known =
          std::any_of(failedShapes.begin(), failedShapes.end(),
                      [&demand](const Resources &shape) { return shape.fitsIn(demand); });
      const std::size_t worker = known ? this->workers.size() : this->findWorker(demand);
      if (worker == this->workers.size()) {
        if (!known && !gang)
          failedShapes.push_back(demand);
        break;
      }
      this->free[worker] = this->free[worker] - demand;
      chosen.push_back(worker);
    }
    if (gang && chosen.size() < job->waiting.size()) {
      for (const std::size_t worker : chosen)
        this->free[worker] = this->free[worker] + demand;
      continue;
    }
    for (const std::size_t worker : chosen) {
      const std::uint32_t index = *job->waiting.begin();
      job->waiting.erase(job->waiting.begin());
      Task &task = job->tasks[index];
      ++task.attempt;
      task.worker = worker;
      task.active = true;
      ++job->active;
      actions.emplace_back(
          AssignTask{{job->spec.id, index}, task.attempt, this->workers[worker].id});
    }
    this->requeue(number, *job);
  }
  return actions;
}

} // namespace banyanrill::bench
