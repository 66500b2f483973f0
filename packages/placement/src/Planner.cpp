#include "banyanrill/placement/Planner.h"

#include "Feasibility.h"

namespace banyanrill::placement {

using base::TimePoint;

struct Planner::State {
  PlannerCore core;
};

Planner::Planner(PlannerOptions options, base::RandomSource random)
    : state(std::make_unique<State>(State{PlannerCore(options, random)})) {}
Planner::~Planner() = default;
Planner::Planner(Planner &&) noexcept = default;
Planner &Planner::operator=(Planner &&) noexcept = default;

void Planner::updateWorker(const WorkerView &worker) { this->state->core.updateWorker(worker); }

void Planner::removeWorker(const base::WorkerId &worker) { this->state->core.removeWorker(worker); }

void Planner::setQuota(const std::string &team, const base::Resources &quota) {
  this->state->core.quotas.setQuota(team, quota);
}

void Planner::clearQuota(const std::string &team) { this->state->core.quotas.clearQuota(team); }

base::Status Planner::checkFeasible(const JobSpec &spec) const {
  const PlannerCore &core = this->state->core;
  return placement::checkFeasible(spec, core.workers, core.quotas.quota(spec.team), core.options);
}

void Planner::putJob(const JobSpec &spec, TimePoint now) { this->state->core.putJob(spec, now); }

void Planner::cancelJob(const base::JobId &job, TimePoint /*now*/) {
  this->state->core.cancelJob(job);
}

void Planner::restoreTask(const TaskRecord &record, TimePoint now) {
  this->state->core.restoreTask(record, now);
}

void Planner::onTaskEvent(const TaskEvent &event, TimePoint now) {
  this->state->core.onTaskEvent(event, now);
}

std::vector<Action> Planner::plan(TimePoint now) { return this->state->core.plan(now); }

std::string Planner::explain(const base::JobId &job, TimePoint now) const {
  const Job *found = this->state->core.findJob(job);
  return found == nullptr ? std::string() : explainJob(*found, this->state->core, now);
}

std::size_t Planner::waitingTaskCount() const {
  std::size_t waiting = 0;
  for (const auto &[serial, job] : this->state->core.jobs) {
    if (!job->ending)
      waiting += job->ready.size() + job->delayed;
  }
  return waiting;
}

std::size_t Planner::activeTaskCount() const { return this->state->core.activeTaskCount; }

} // namespace banyanrill::placement
