#include "FaultyCell.h"

#include <algorithm>

namespace banyanrill::placement {

using base::Duration;
using base::Resources;
using base::TimePoint;

namespace {

constexpr Duration Step = std::chrono::milliseconds(500);
// Every job must end within this time after faults and arrivals stop: at most 20 jobs of 8 tasks of
// a minute, with three attempts each, retries and quarantine included.
constexpr Duration DrainTime = std::chrono::hours(6);

std::string taskName(const base::TaskId &task) {
  return task.job.value + "#" + std::to_string(task.index);
}

} // namespace

FaultyCell::FaultyCell(CellOptions settings)
    : options(settings), random(settings.seed), now(std::chrono::hours(1)) {
  this->addWorkers();
  for (const char *team : {"t1", "t2"})
    this->quotas[team] = Resources{12000, 24576, 2};
  this->changeLeader();
}

bool FaultyCell::chance(int perMille) {
  return this->random.below(1000) < static_cast<std::uint64_t>(perMille);
}

Duration FaultyCell::delay(std::uint64_t milliseconds) {
  return std::chrono::milliseconds(this->random.below(milliseconds + 1));
}

void FaultyCell::addWorkers() {
  for (int number = 0; number < this->options.workers; ++number) {
    SimulatedWorker host;
    host.view.id = {"w" + std::to_string(number)};
    host.view.dataCentre = number % 2 == 0 ? "a" : "b";
    host.view.rack = "r" + std::to_string(number % 3);
    host.view.capacity = {static_cast<std::int64_t>(2000 + 2000 * this->random.below(4)), 16384,
                          static_cast<std::int64_t>(number % 3 == 0 ? 2 : 0)};
    host.ledger = Ledger(host.view.capacity);
    host.failing = this->chance(100);
    this->hosts[host.view.id.value] = host;
  }
}

void FaultyCell::addJob() {
  JobState job;
  job.spec.id = {"j" + std::to_string(this->jobs.size())};
  job.spec.kind = static_cast<JobKind>(this->random.below(3));
  job.spec.team = "t" + std::to_string(1 + this->random.below(3));
  job.spec.count = static_cast<std::int32_t>(1 + this->random.below(7));
  job.spec.demand = {static_cast<std::int64_t>(500 * (1 + this->random.below(4))),
                     static_cast<std::int64_t>(1024 * this->random.below(6)),
                     static_cast<std::int64_t>(this->random.below(6) == 0 ? 1 : 0)};
  job.spec.priority = static_cast<std::int32_t>(this->random.below(3));
  job.spec.preemptible = this->random.below(3) != 0;
  job.spec.checkpointable = this->random.below(2) == 0;
  job.spec.runTime = std::chrono::seconds(1 + this->random.below(60));
  if (job.spec.kind != JobKind::Service && this->chance(100))
    job.spec.deadline = std::chrono::seconds(5 + this->random.below(60));
  if (this->chance(200))
    job.spec.dataCentres = {"a"};
  if (!this->planner->checkFeasible(job.spec).ok())
    return;
  job.accepted = this->now;
  job.failing = this->chance(80);
  this->jobs[job.spec.id.value] = job;
  this->planner->putJob(job.spec, this->now);
}

void FaultyCell::changeLeader() {
  this->planner =
      std::make_unique<Planner>(PlannerOptions{64}, base::RandomSource(this->random.next()));
  for (const auto &[id, host] : this->hosts) {
    if (host.up)
      this->planner->updateWorker(host.view);
  }
  for (const auto &[team, quota] : this->quotas)
    this->planner->setQuota(team, quota);
  for (const auto &[id, job] : this->jobs) {
    if (job.ended)
      continue;
    this->planner->putJob(job.spec, job.accepted);
  }
  for (const auto &[task, record] : this->records) {
    if (!this->jobs.at(task.job.value).ended)
      this->planner->restoreTask(record, this->now);
  }
  for (const auto &[id, job] : this->jobs) {
    if (job.cancelled && !job.ended)
      this->planner->cancelJob(job.spec.id, this->now);
  }
}

Resources FaultyCell::nonPreemptibleUse(const std::string &team) const {
  Resources used;
  for (const auto &[task, taskRun] : this->taskRuns) {
    const JobSpec &spec = this->jobs.at(task.job.value).spec;
    if (spec.team == team && !spec.preemptible)
      used = used + taskRun.held;
  }
  return used;
}

void FaultyCell::checkGangs(const std::vector<Action> &actions) {
  std::map<std::string, std::set<std::uint32_t>> assigned;
  for (const Action &action : actions) {
    if (const auto *start = std::get_if<AssignTask>(&action))
      assigned[start->task.job.value].insert(start->task.index);
  }
  for (const auto &[id, indices] : assigned) {
    const JobSpec &spec = this->jobs.at(id).spec;
    if (spec.kind != JobKind::Gang)
      continue;
    for (std::uint32_t index = 0; index < static_cast<std::uint32_t>(spec.count); ++index) {
      const base::TaskId task{spec.id, index};
      const bool done = this->succeeded.count(task) != 0;
      if (indices.count(index) == 0 && !done)
        this->violations.gangs.push_back(taskName(task) + " was left out of the start of its gang");
      if (this->taskRuns.count(task) != 0)
        this->violations.gangs.push_back(taskName(task) + " ran while its gang was started");
    }
  }
}

void FaultyCell::planOnce(bool mayCrash) {
  const std::vector<Action> actions = this->planner->plan(this->now);
  if (actions.size() > 64)
    this->violations.progress.push_back("more actions than the limit");
  this->checkGangs(actions);
  std::size_t logged = actions.size();
  const bool crash = mayCrash && this->chance(this->options.faultsPerMille);
  // A leader that crashes has logged and sent only the first part of its actions.
  if (crash)
    logged = this->random.below(actions.size() + 1);
  for (std::size_t number = 0; number < logged; ++number)
    std::visit([this](const auto &action) { this->apply(action); }, actions[number]);
  if (crash)
    this->changeLeader();
}

void FaultyCell::apply(const AssignTask &action) {
  const JobState &job = this->jobs.at(action.task.job.value);
  const SimulatedWorker &host = this->hosts.at(action.worker.value);
  if (job.ended)
    this->violations.ends.push_back(taskName(action.task) + " was started after its job ended");
  if (!host.up)
    this->violations.placements.push_back(taskName(action.task) + " was assigned to a lost worker");
  if (this->taskRuns.count(action.task) != 0 || this->succeeded.count(action.task) != 0)
    this->violations.placements.push_back(taskName(action.task) +
                                          " was assigned while it ran or was done");
  std::uint32_t &last = this->lastAttempt[action.task];
  if (action.attempt <= last)
    this->violations.placements.push_back(taskName(action.task) +
                                          " was assigned with an old attempt");
  last = action.attempt;
  const std::vector<std::string> &allowed = job.spec.dataCentres;
  if (!allowed.empty() && allowed.front() != host.view.dataCentre)
    this->violations.placements.push_back(taskName(action.task) +
                                          " was assigned to a wrong data centre");

  Resources taken = host.view.requestLoad + job.spec.demand;
  for (const auto &[task, taskRun] : this->taskRuns) {
    if (taskRun.worker == action.worker.value)
      taken = taken + taskRun.held;
  }
  if (!taken.fitsIn(host.view.capacity))
    this->violations.capacity.push_back(taskName(action.task) + " exceeds the capacity of " +
                                        action.worker.value);
  const auto quota = this->quotas.find(job.spec.team);
  if (quota != this->quotas.end() && !job.spec.preemptible &&
      !(this->nonPreemptibleUse(job.spec.team) + job.spec.demand).fitsIn(quota->second))
    this->violations.quotas.push_back(taskName(action.task) + " borrows but is not preemptible");

  TaskRun taskRun;
  taskRun.worker = action.worker.value;
  taskRun.attempt = action.attempt;
  taskRun.held = job.spec.demand;
  taskRun.startsAt = this->now + this->delay(2000);
  this->taskRuns[action.task] = taskRun;
  this->records[action.task] = {action.task, action.attempt, TaskPhase::Assigned, action.worker};
}

void FaultyCell::checkPreemption(const StopTask &action) {
  const std::string prefix = "preempted by ";
  const TaskRecord &stopped = this->records.at(action.task);
  // An unconfirmed stop is sent again; only the decision is checked.
  const bool repeated = stopped.phase == TaskPhase::Stopping && stopped.attempt == action.attempt;
  if (repeated || action.reason.rfind(prefix, 0) != 0)
    return;
  const JobSpec &victim = this->jobs.at(action.task.job.value).spec;
  const JobSpec &claimant = this->jobs.at(action.reason.substr(prefix.size())).spec;
  const auto quota = this->quotas.find(victim.team);
  // Checks against the leader's knowledge; a task that is being stopped counts as returned.
  Resources used;
  for (const auto &[task, record] : this->records) {
    const JobSpec &spec = this->jobs.at(task.job.value).spec;
    if (spec.team == victim.team && !record.worker.value.empty() &&
        record.phase != TaskPhase::Stopping)
      used = used + spec.demand;
  }
  const bool borrows = quota != this->quotas.end() && !used.fitsIn(quota->second);
  if (!victim.preemptible || (victim.priority >= claimant.priority && !borrows))
    this->violations.quotas.push_back(taskName(action.task) +
                                      " was preempted without lower priority or a borrowing team");
}

void FaultyCell::apply(const StopTask &action) {
  this->checkPreemption(action);
  this->records[action.task].phase = TaskPhase::Stopping;
  const auto taskRun = this->taskRuns.find(action.task);
  if (taskRun == this->taskRuns.end() || taskRun->second.attempt != action.attempt)
    return;
  taskRun->second.stopping = true;
  taskRun->second.endsAt = this->now + this->delay(3000);
}

void FaultyCell::apply(const EndJob &action) {
  JobState &job = this->jobs.at(action.job.value);
  if (job.ended)
    this->violations.ends.push_back(action.job.value + " ended twice");
  job.ended = true;
  for (const auto &[task, taskRun] : this->taskRuns) {
    if (task.job == action.job)
      this->violations.ends.push_back(taskName(task) + " runs after the end of its job");
  }
  int done = 0;
  for (const base::TaskId &task : this->succeeded)
    done += task.job == action.job ? 1 : 0;
  const bool all = job.spec.kind != JobKind::Service && done == job.spec.count;
  bool reasonCorrect = all == action.succeeded;
  if (!action.succeeded && action.reason == "cancelled")
    reasonCorrect = reasonCorrect && job.cancelled;
  else if (!action.succeeded && action.reason == "deadline exceeded")
    reasonCorrect = reasonCorrect && job.spec.deadline.count() > 0 &&
                    this->now >= job.accepted + job.spec.deadline;
  else if (!action.succeeded)
    reasonCorrect =
        reasonCorrect &&
        std::any_of(job.failures.begin(), job.failures.end(), [&job](const auto &entry) {
          return entry.second >= static_cast<std::uint32_t>(job.spec.maxAttempts);
        });
  if (!reasonCorrect)
    this->violations.ends.push_back(action.job.value +
                                    " ended with an incorrect result or reason: " + action.reason);
}

void FaultyCell::send(const TaskEvent &event, Duration after) {
  const TimePoint due = this->now + after + this->delay(1500);
  this->events.emplace(due, event);
  if (this->faults && this->chance(10 * this->options.faultsPerMille))
    this->events.emplace(due + this->delay(20000), event);
}

void FaultyCell::endTaskRun(const base::TaskId &task, TaskEventKind kind) {
  const TaskRun taskRun = this->taskRuns.at(task);
  this->taskRuns.erase(task);
  this->hosts.at(taskRun.worker).ledger.release(taskName(task));
  if (kind == TaskEventKind::Succeeded)
    this->succeeded.insert(task);
  if (kind == TaskEventKind::Failed)
    ++this->jobs.at(task.job.value).failures[task.index];
  const Duration lease =
      kind == TaskEventKind::Lost ? Duration(std::chrono::seconds(16)) : Duration{0};
  this->send({task, taskRun.attempt, kind}, lease);
}

void FaultyCell::advance(Duration step) {
  this->now += step;
  std::vector<base::TaskId> tasks;
  for (const auto &[task, taskRun] : this->taskRuns)
    tasks.push_back(task);
  for (const base::TaskId &task : tasks) {
    TaskRun &taskRun = this->taskRuns.at(task);
    SimulatedWorker &host = this->hosts.at(taskRun.worker);
    const JobState &job = this->jobs.at(task.job.value);
    const bool service = job.spec.kind == JobKind::Service;
    if (!taskRun.started && taskRun.startsAt <= this->now && !taskRun.stopping) {
      const Resources free = host.ledger.free() - host.hiddenLoad;
      if (!taskRun.held.fitsIn(free) ||
          (this->faults && this->chance(this->options.faultsPerMille)) ||
          !host.ledger.reserve(taskName(task), taskRun.held)) {
        this->endTaskRun(task, TaskEventKind::Refused);
        continue;
      }
      taskRun.started = true;
      taskRun.endsAt = this->now + Duration(std::chrono::seconds(1)) + this->delay(60000);
      this->send({task, taskRun.attempt, TaskEventKind::Started}, Duration{0});
      continue;
    }
    if (taskRun.stopping && taskRun.endsAt <= this->now) {
      this->endTaskRun(task, TaskEventKind::Stopped);
    } else if (taskRun.started && !taskRun.stopping && taskRun.endsAt <= this->now) {
      const bool fails = job.failing || (this->faults && (host.failing || this->chance(100)));
      if (fails || !service)
        this->endTaskRun(task, fails ? TaskEventKind::Failed : TaskEventKind::Succeeded);
    }
  }
  while (!this->events.empty() && this->events.begin()->first <= this->now) {
    const TaskEvent event = this->events.begin()->second;
    this->events.erase(this->events.begin());
    TaskRecord &record = this->records[event.task];
    // The control state applies an event once; duplicates still reach the planner.
    if (record.attempt == event.attempt && !record.worker.value.empty()) {
      if (event.kind == TaskEventKind::Started) {
        if (record.phase == TaskPhase::Assigned)
          record.phase = TaskPhase::Running;
      } else {
        record.worker = {};
        record.phase = event.kind == TaskEventKind::Succeeded ? TaskPhase::Succeeded
                       : event.kind == TaskEventKind::Failed  ? TaskPhase::Failed
                                                              : TaskPhase::Pending;
      }
    }
    this->planner->onTaskEvent(event, this->now);
  }
}

void FaultyCell::loseWorker(SimulatedWorker &host) {
  host.up = false;
  host.returnsAt = this->now + std::chrono::seconds(1) + this->delay(40000);
  std::vector<base::TaskId> lost;
  for (const auto &[task, taskRun] : this->taskRuns) {
    if (taskRun.worker == host.view.id.value)
      lost.push_back(task);
  }
  for (const base::TaskId &task : lost)
    this->endTaskRun(task, TaskEventKind::Lost);
  this->planner->removeWorker(host.view.id);
}

void FaultyCell::restoreWorkers(bool all) {
  for (auto &[id, host] : this->hosts) {
    if (all) {
      host.failing = false;
      host.hiddenLoad = {};
      host.view.requestLoad = {};
    }
    if (!host.up && (all || host.returnsAt <= this->now)) {
      host.up = true;
      host.ledger = Ledger(host.view.capacity);
    }
    if (host.up)
      this->planner->updateWorker(host.view);
  }
}

void FaultyCell::injectFaults() {
  const int rate = this->options.faultsPerMille;
  for (auto &[id, host] : this->hosts) {
    if (host.up && this->chance(rate / 3))
      this->loseWorker(host);
    if (host.up && this->chance(rate)) {
      // Reports lag behind: the planner receives the previous load.
      host.view.requestLoad = host.hiddenLoad;
      host.hiddenLoad = {static_cast<std::int64_t>(this->random.below(1500)), 512, 0};
      this->planner->updateWorker(host.view);
    }
  }
  this->restoreWorkers(false);
  if (this->chance(rate)) {
    // Cancels several jobs at once.
    for (auto &[id, job] : this->jobs) {
      if (job.ended || !this->chance(400))
        continue;
      job.cancelled = true;
      this->planner->cancelJob(job.spec.id, this->now);
    }
  }
  if (this->options.leaderChanges && this->chance(rate))
    this->changeLeader();
}

bool FaultyCell::allEnded() const {
  return std::all_of(this->jobs.begin(), this->jobs.end(),
                     [](const auto &entry) { return entry.second.ended; });
}

Violations FaultyCell::run() {
  for (int step = 0; step < this->options.steps; ++step) {
    if (static_cast<int>(this->jobs.size()) < this->options.jobs && this->chance(300))
      this->addJob();
    this->injectFaults();
    this->planOnce(this->options.leaderChanges);
    this->advance(Step);
  }
  this->faults = false;
  this->restoreWorkers(true);
  const TimePoint drainStart = this->now;
  for (auto &[id, job] : this->jobs) {
    if (job.spec.kind != JobKind::Service || job.ended)
      continue;
    job.cancelled = true;
    this->planner->cancelJob(job.spec.id, this->now);
  }
  while (!this->allEnded() && this->now < drainStart + DrainTime) {
    this->planOnce(false);
    const bool early = this->now < drainStart + std::chrono::minutes(2);
    this->advance(early ? Duration(std::chrono::seconds(1)) : Duration(std::chrono::seconds(10)));
  }
  for (const auto &[id, job] : this->jobs) {
    if (!job.ended)
      this->violations.progress.push_back(
          id + " never ended: " + this->planner->explain(job.spec.id, this->now));
  }
  if (this->allEnded() && this->planner->activeTaskCount() + this->planner->waitingTaskCount() > 0)
    this->violations.progress.push_back("tasks are left after the end of all jobs");
  return this->violations;
}

} // namespace banyanrill::placement
