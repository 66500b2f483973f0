#include "banyanrill/jobs/Dispatcher.h"

#include "DispatcherState.h"

#include <algorithm>
#include <utility>

namespace banyanrill::jobs {

namespace {

/// Interval at which all workers are checked for timeouts.
constexpr base::Duration SweepInterval = std::chrono::milliseconds(100);

/// Placement scans all open steps; events that are close together share one scan.
constexpr base::Duration PlanInterval = std::chrono::milliseconds(4);

/// Added for each open step, so that a long queue does not use up a whole processor.
constexpr base::Duration PlanIntervalPerStep = std::chrono::microseconds(25);

/// Reports that contradict each other cause at most one extra call to a worker in this time.
constexpr base::Duration DoubtInterval = std::chrono::milliseconds(250);

/// Maximum number of ended jobs that one command removes.
constexpr std::size_t MaxForgotten = 64;

/// Returns whether a task of the job has succeeded, which proves that a run existed.
bool hasEndedTasks(const Job &job) {
  return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &entry) {
    return std::any_of(entry.second.steps.begin(), entry.second.steps.end(),
                       [](const StepProgress &step) { return step.succeeded > 0; });
  });
}

} // namespace

Dispatcher::State::State(const Table &jobTable, DispatcherOptions dispatcherOptions,
                         base::RandomSource source, base::TimePoint start, std::int64_t wallClock)
    : table(jobTable), options(dispatcherOptions), random(source), started(start), now(start),
      wallClockMs(wallClock), ledger(dispatcherOptions.quotaTolerance), queue(jobTable, ledger),
      admissionLedger(start) {
  for (const auto &[name, use] : this->recomputeUse())
    this->ledger.add(this->ledger.numberOf(name), use);
  this->ledger.configure(this->table.state().configuration);
  for (const auto &[id, worker] : this->table.state().workers)
    this->refreshWorker(id, SessionCause::NewLeader);
  for (const auto &[id, job] : this->table.state().jobs)
    this->refreshJob(id);
}

std::map<std::string, base::Resources> Dispatcher::State::recomputeUse() const {
  std::map<std::string, base::Resources> uses;
  for (const auto &[id, worker] : this->table.state().workers) {
    for (const auto &[task, placement] : worker.placements) {
      const Job *job = this->table.findJob(task.job);
      if (job == nullptr)
        continue;
      base::Resources &use = uses[job->workspace];
      use = use + demandOf(job->spec.steps[task.step]);
    }
  }
  for (const auto &[step, runs] : this->pending) {
    const Job *job = this->table.findJob(step.job);
    if (job == nullptr)
      continue;
    base::Resources &use = uses[job->workspace];
    use = use + demandOf(job->spec.steps[step.step]) * static_cast<std::int64_t>(runs.size());
  }
  std::erase_if(uses, [](const auto &entry) { return entry.second == base::Resources(); });
  return uses;
}

void Dispatcher::State::applyOccupancy(const Effect &effect) {
  for (const OccupancyChange &change : effect.occupancy) {
    const WorkspaceNumber workspace = this->ledger.numberOf(change.workspace);
    if (change.isAdded)
      this->ledger.add(workspace, change.demand);
    else
      this->ledger.remove(workspace, change.demand);
  }
}

void Dispatcher::State::refreshWorkspaces() {
  this->planNeeded = true;
  if (!this->ledger.configure(this->table.state().configuration))
    return;
  // The latest start of a step depends on how much of it may run at once.
  for (const std::string &id : this->queue.jobs())
    this->queue.refresh(id, this->now, this->wallClockMs);
}

void Dispatcher::State::refreshJob(const std::string &id) {
  this->queue.refresh(id, this->now, this->wallClockMs);
  this->planNeeded = true;
  const Job *job = this->table.findJob(id);
  this->admissionLedger.refresh(id, job, this->now, this->wallClockMs);
  const bool active = job != nullptr && job->phase == JobPhase::Active;
  if (active && job->started && hasEndedTasks(*job))
    this->begun.insert(id);
  const bool isWaiting = active && job->spec.repeatCount == 0 && this->begun.count(id) == 0;
  const auto known = this->waitingJobs.find(id);
  if (isWaiting && known == this->waitingJobs.end()) {
    this->waitingJobs.emplace(id, job->queue.name);
    ++this->waiting[job->queue.name];
  } else if (!isWaiting && known != this->waitingJobs.end()) {
    --this->waiting[known->second];
    this->waitingJobs.erase(known);
  }
  if (active) {
    if (job->spec.repeatCount > job->opened)
      this->repeatingJobs.insert(id);
    return;
  }
  this->repeatingJobs.erase(id);
  this->begun.erase(id);
  this->adviceTracker.forgetJob(id);
  this->gangDecisions.forgetJob(id);
  this->waits.forgetJob(id, this->now);
  this->abandonedGangs.erase(this->abandonedGangs.lower_bound({id, 0, 0}),
                             this->abandonedGangs.upper_bound({id, UINT32_MAX, UINT32_MAX}));
  if (job != nullptr)
    this->ended.emplace(job->endedMs, id);
}

AdmissionDecision Dispatcher::State::admit(const JobSpec &spec, const Queue &queueOfJob,
                                           const SubmittingWorkspace &workspace) {
  const bool isEndless =
      spec.repeatCount > 0 || std::any_of(spec.steps.begin(), spec.steps.end(),
                                          [](const Step &step) { return step.longRunning; });
  AdmissionDecision decision;
  // Endless jobs have no time at which they are worth nothing, and of a job that is on its way into
  // the table nobody may be told that it will not run.
  if (!isEndless && !this->admissionLedger.isExpected(spec.id)) {
    AdmissionLoad load = this->admissionLedger.load(this->speeds, this->now);
    load.hasWorkspaces = workspace.configured;
    AdmissionJob job;
    job.priority = queueOfJob.priority;
    // The shorter of both: estimates and corrections are rough, and a doubt is the caller's.
    const double correction =
        std::min(AdmissionLedger::correctionOf(this->speeds, queueOfJob.name), 1.0);
    job.criticalPath =
        std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(
            correction * static_cast<double>(criticalPathMs(spec))));
    job.target = std::chrono::milliseconds(targetDurationMs(spec, queueOfJob));
    for (const Step &step : spec.steps)
      job.work += static_cast<double>(step.count * step.demand.millicores * step.estimatedMs);
    const WorkspaceShare share{workspace.weight,
                               this->admissionLedger.acceptedPerSecond(workspace.name, this->now)};
    decision = this->admissionPolicy.decide(job, load, workspace.name.empty() ? nullptr : &share,
                                            this->random, this->now);
  }
  if (decision.isAccepted())
    this->admissionLedger.expect(spec, queueOfJob, workspace.name, this->now);
  return decision;
}

void Dispatcher::State::markBegun(const std::string &job) {
  if (this->waitingJobs.count(job) != 0 && this->begun.insert(job).second)
    this->refreshJob(job);
}

void Dispatcher::State::recordDuration(WorkerSession &session, const TaskEnd &end) {
  const auto view = session.runs.find(end.run.task);
  const Job *job = this->table.findJob(end.run.task.job);
  if (end.kind != EndKind::Succeeded || job == nullptr || view == session.runs.end() ||
      view->second.startedAt == base::TimePoint::max())
    return;
  const Step &step = job->spec.steps[end.run.task.step];
  const auto occurrence = job->occurrences.find(end.run.task.occurrence);
  // Gang members wait for each other, and a task with a checkpoint does not start from scratch,
  // so their durations do not show the speed of the worker.
  if (step.gang || step.longRunning || occurrence == job->occurrences.end() ||
      !occurrence->second.steps[end.run.task.step].tasks[end.run.task.index].checkpoint.empty())
    return;
  base::Duration took = this->now - view->second.startedAt;
  // What the distance to the data costs says nothing about the worker.
  if (const double factor = this->remoteFactor(step, session.worker->profile); factor > 1)
    took = base::Duration(
        static_cast<base::Duration::rep>(static_cast<double>(took.count()) / factor));
  this->speeds.note(session.incarnation.id, job->queue.name, step.estimatedMs, took);
  session.slowness = this->speeds.slowness(session.incarnation.id);
}

void Dispatcher::State::stopObsoleteRun(const RunKey &succeeded) {
  const Job *job = this->table.findJob(succeeded.task.job);
  if (job == nullptr)
    return;
  const auto occurrence = job->occurrences.find(succeeded.task.occurrence);
  if (occurrence == job->occurrences.end())
    return;
  const Task &task = occurrence->second.steps[succeeded.task.step].tasks[succeeded.task.index];
  const auto session = this->sessions.find(task.worker);
  if (task.phase != TaskPhase::Succeeded || task.lastRun == succeeded.run ||
      session == this->sessions.end())
    return;
  const auto run = session->second.runs.find(succeeded.task);
  if (run == session->second.runs.end())
    return;
  run->second.stopWanted = true;
  this->dirtyWorkers.insert(task.worker);
}

void Dispatcher::State::openDueOccurrences() {
  for (const std::string &id : this->repeatingJobs) {
    const Job *job = this->table.findJob(id);
    if (job == nullptr)
      continue;
    const std::int64_t since = this->wallClockMs - job->spec.firstStartMs;
    if (since < 0)
      continue;
    const std::int64_t interval = std::max<std::int64_t>(job->spec.intervalMs, 1);
    const auto due = static_cast<std::uint32_t>(
        std::min<std::int64_t>(since / interval + 1, job->spec.repeatCount));
    if (due > job->opened)
      this->actions.emplace_back(Command(OpenOccurrences{id, due}));
  }
}

void Dispatcher::State::forgetEndedJobs() {
  const auto keepMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->options.endedJobRetention)
          .count();
  ForgetJobs command;
  for (auto next = this->ended.begin(); next != this->ended.end();) {
    const auto &[endedMs, id] = *next;
    if (command.jobs.size() >= MaxForgotten || this->table.state().lastTimeMs < endedMs + keepMs)
      break;
    const Job *job = this->table.findJob(id);
    if (job == nullptr || job->phase == JobPhase::Active || job->endedMs != endedMs) {
      next = this->ended.erase(next);
      continue;
    }
    ++next;
    const bool occupies =
        std::any_of(job->occurrences.begin(), job->occurrences.end(), [](const auto &entry) {
          return std::any_of(entry.second.steps.begin(), entry.second.steps.end(),
                             [](const StepProgress &step) { return step.placements > 0; });
        });
    if (!occupies)
      command.jobs.push_back(job->spec.id);
  }
  if (!command.jobs.empty())
    this->actions.emplace_back(Command(std::move(command)));
}

void Dispatcher::State::refreshWorker(const std::string &id, SessionCause cause) {
  const Worker *worker = this->table.findWorker(id);
  this->planNeeded = true;
  if (worker == nullptr) {
    this->removeSession(id);
    return;
  }
  const auto [position, isNew] = this->sessions.try_emplace(id);
  WorkerSession &session = position->second;
  if (isNew || session.incarnation != worker->profile.incarnation) {
    const WorkerNumber number = isNew ? this->takeNumber(session) : session.number;
    if (!isNew)
      this->adviceTracker.forgetWorker(number);
    session = WorkerSession();
    session.number = number;
    session.serial = ++this->lastSession;
    session.fenceNumber = session.serial;
    session.proposed = this->proposedOn(id);
    session.incarnation = worker->profile.incarnation;
    session.slowness = this->speeds.slowness(id);
    session.lastAnswer = this->now;
    // A previous leader may have renewed the lease until it noticed the loss of leadership. Of what
    // it renewed only the longest is known: the end may have been meant for another clock.
    constexpr base::Duration FormerLeaderTime = std::chrono::seconds(2);
    session.leaseEndsBy =
        leaseEnd(this->now + FormerLeaderTime, this->options.maxLease, this->options.stopGrace);
    session.successorLeaseEndsBy = session.leaseEndsBy;
    // Orders of earlier sessions may be under way, and none of their answers counts in this one.
    for (const auto &[task, placement] : worker->placements) {
      RunStatus &status = session.runs[task];
      status.inherited = true;
      status.startUncertainSince = this->now + FormerLeaderTime;
    }
    this->report(SessionBegan{this->keyOf(session), cause, session.leaseEndsBy - this->now,
                              worker->placements.size()});
  }
  session.worker = worker;
  session.resourcesStale = true;
  this->dirtyWorkers.insert(id);
}

void Dispatcher::State::doubtOthersAt(const WorkerProfile &newcomer) {
  for (auto &[id, session] : this->sessions) {
    if (id != newcomer.incarnation.id && session.worker != nullptr &&
        session.worker->profile.address == newcomer.address)
      this->doubt(id, session, DoubtCause::AddressInUse, newcomer.incarnation);
  }
}

void Dispatcher::State::doubt(const std::string &id, WorkerSession &session, DoubtCause cause,
                              const WorkerIncarnation &other) {
  // Others may report as often as they like; an answer is the worker's own.
  if (cause != DoubtCause::OtherClock && this->now < session.nextDoubt)
    return;
  this->report(WorkerDoubted{this->keyOf(session), cause, other.startTimeMs});
  session.nextDoubt = this->now + DoubtInterval;
  session.isDoubted = true;
  session.identityProbe.reset();
  session.nextRenewal = this->now;
  this->dirtyWorkers.insert(id);
}

void Dispatcher::State::removeSession(const std::string &id) {
  const auto found = this->sessions.find(id);
  if (found == this->sessions.end())
    return;
  for (const auto &[task, run] : found->second.runs)
    this->examineGang(task);
  this->adviceTracker.forgetWorker(found->second.number);
  this->speeds.forgetWorker(id);
  this->byNumber[found->second.number] = nullptr;
  this->freeNumbers.push_back(found->second.number);
  this->sessions.erase(found);
}

WorkerNumber Dispatcher::State::takeNumber(WorkerSession &session) {
  if (this->freeNumbers.empty()) {
    this->freeNumbers.push_back(static_cast<WorkerNumber>(this->byNumber.size()));
    this->byNumber.push_back(nullptr);
  }
  const WorkerNumber number = this->freeNumbers.back();
  this->freeNumbers.pop_back();
  this->byNumber[number] = &session;
  return number;
}

std::optional<WorkerNumber> Dispatcher::State::numberOf(const std::string &worker) const {
  const auto found = this->sessions.find(worker);
  if (found == this->sessions.end())
    return std::nullopt;
  return found->second.number;
}

void Dispatcher::State::examineLater(const std::string &worker, const TaskKey &task) {
  const auto session = this->sessions.find(worker);
  if (session == this->sessions.end())
    return;
  this->dirtyWorkers.insert(worker);
  if (const auto run = session->second.runs.find(task); run != session->second.runs.end())
    run->second.mustExamine = true;
}

void Dispatcher::State::examineGang(const TaskKey &task) {
  const Job *job = this->table.findJob(task.job);
  if (job == nullptr || !job->spec.steps[task.step].gang)
    return;
  const auto occurrence = job->occurrences.find(task.occurrence);
  if (occurrence == job->occurrences.end())
    return;
  const std::vector<Task> &members = occurrence->second.steps[task.step].tasks;
  for (std::uint32_t index = 0; index < members.size(); ++index)
    this->examineLater(members[index].worker, {task.job, task.occurrence, task.step, index});
}

Dispatcher::Dispatcher(const Table &table, DispatcherOptions options, base::RandomSource random,
                       base::TimePoint now, std::int64_t wallClockMs)
    : state(std::make_unique<State>(table, options, random, now, wallClockMs)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::onApplied(const CommandBatch &batch, const Effect &effect, base::TimePoint now) {
  State &dispatcher = *this->state;
  dispatcher.now = now;
  dispatcher.applyOccupancy(effect);
  for (const Command &command : batch.commands) {
    if (const auto *ends = std::get_if<RecordEnds>(&command)) {
      for (const TaskEnd &end : ends->ends)
        dispatcher.proposedSuccesses.erase(end.run.task);
      const auto session = dispatcher.sessions.find(ends->worker.id);
      if (session == dispatcher.sessions.end() || session->second.incarnation != ends->worker)
        continue;
      session->second.endsProposed = false;
      session->second.nextRenewal = std::max(session->second.nextRenewal, now);
      for (const TaskEnd &end : ends->ends) {
        session->second.recordEnd(end, now);
        dispatcher.recordDuration(session->second, end);
        dispatcher.markBegun(end.run.task.job);
        // A placement that is still there belongs to a newer run of the task.
        const Worker *worker = dispatcher.table.findWorker(ends->worker.id);
        if (worker == nullptr || worker->placements.count(end.run.task) == 0)
          session->second.runs.erase(end.run.task);
        if (end.kind == EndKind::Succeeded)
          dispatcher.stopObsoleteRun(end.run);
        else
          dispatcher.examineGang(end.run.task);
      }
    } else if (const auto *released = std::get_if<ReleaseRuns>(&command)) {
      for (const ReleasedRun &run : released->runs)
        dispatcher.examineGang(run.run.task);
    }
  }
  std::vector<const Worker *> newcomers;
  for (const std::string &worker : effect.changedWorkers) {
    const Worker *inTable = dispatcher.table.findWorker(worker);
    const bool isNew = dispatcher.sessions.count(worker) == 0;
    if (inTable != nullptr && isNew)
      newcomers.push_back(inTable);
    dispatcher.refreshWorker(worker, isNew ? SessionCause::Registered : SessionCause::Restarted);
  }
  // Only now no session points to a worker that this batch has removed.
  for (const Worker *newcomer : newcomers)
    dispatcher.doubtOthersAt(newcomer->profile);
  for (const PlacedRun &placed : effect.placed) {
    const PendingRun *pending = dispatcher.findPending(placed.run.task);
    const auto session = dispatcher.sessions.find(placed.worker);
    if (session == dispatcher.sessions.end())
      continue;
    RunStatus view;
    view.placedAt = now;
    if (pending != nullptr && pending->run == placed.run.run) {
      view.ticket = pending->ticket;
      view.ticketUntil = pending->ticketUntil;
      // Another incarnation may have other labels and less room.
      view.stopWanted = pending->session != session->second.serial;
    }
    session->second.runs[placed.run.task] = std::move(view);
  }
  for (const Command &command : batch.commands) {
    const auto *places = std::get_if<PlaceRuns>(&command);
    if (places == nullptr || places->term != dispatcher.options.term)
      continue;
    for (const PlacedRun &placed : places->runs) {
      dispatcher.dropPending(placed.run.task);
      if (const auto session = dispatcher.sessions.find(placed.worker);
          session != dispatcher.sessions.end())
        session->second.resourcesStale = true;
    }
  }
  if (std::any_of(batch.commands.begin(), batch.commands.end(), [](const Command &command) {
        return std::holds_alternative<PutConfiguration>(command);
      }))
    dispatcher.refreshWorkspaces();
  for (const std::string &job : effect.changedJobs)
    dispatcher.refreshJob(job);
  // The running tasks of an ended job are stopped on all their workers.
  for (const std::string &id : effect.endedJobs) {
    const Job *job = dispatcher.table.findJob(id);
    if (job == nullptr)
      continue;
    for (const auto &[number, occurrence] : job->occurrences) {
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const std::vector<Task> &tasks = occurrence.steps[step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
          if (!tasks[index].worker.empty() && tasks[index].phase != TaskPhase::Succeeded)
            dispatcher.examineLater(tasks[index].worker, {id, number, step, index});
        }
      }
    }
  }
}

AdmissionDecision Dispatcher::admit(const JobSpec &spec, const Queue &queue,
                                    const SubmittingWorkspace &workspace, base::TimePoint now) {
  this->state->now = now;
  return this->state->admit(spec, queue, workspace);
}

void Dispatcher::onWorkerReport(const WorkerReport &report, base::TimePoint now) {
  const auto found = this->state->sessions.find(report.profile.incarnation.id);
  if (found == this->state->sessions.end() ||
      found->second.incarnation != report.profile.incarnation)
    return;
  found->second.readClock(report.clockMs, now);
  this->state->dirtyWorkers.insert(report.profile.incarnation.id);
}

void Dispatcher::onWorkerClaim(const WorkerProfile &claimed, base::TimePoint now) {
  this->state->now = now;
  const auto found = this->state->sessions.find(claimed.incarnation.id);
  if (found == this->state->sessions.end())
    return;
  found->second.claimed = claimed;
  this->state->doubt(found->first, found->second, DoubtCause::ReportOfAnother, claimed.incarnation);
}

void Dispatcher::onWorkerLeaving(const std::string &worker, base::TimePoint now) {
  this->state->now = now;
  const auto found = this->state->sessions.find(worker);
  if (found == this->state->sessions.end())
    return;
  found->second.leaving = true;
  this->state->dirtyWorkers.insert(worker);
}

void Dispatcher::setAdvisoryDaemons(const std::vector<base::DaemonId> &daemons) {
  this->state->adviceTracker.setAdvisoryDaemons(daemons);
  this->state->planNeeded = true;
}

void Dispatcher::onAdviceAnswer(OrderId order, const AdviceAnswer &answer, base::TimePoint now) {
  this->state->now = now;
  if (!answer.answered)
    ++this->state->counters.adviceFailures;
  const auto numberOf = [this](const std::string &worker) { return this->state->numberOf(worker); };
  if (this->state->adviceTracker.onAnswer(order, answer, numberOf, now))
    this->state->planNeeded = true;
}

std::vector<Action> Dispatcher::takeActions(base::TimePoint now, std::int64_t wallClockMs) {
  State &dispatcher = *this->state;
  dispatcher.now = now;
  dispatcher.wallClockMs = wallClockMs;
  const bool sweep = now >= dispatcher.nextSweep;
  if (sweep) {
    dispatcher.nextSweep = now + SweepInterval;
    dispatcher.openDueOccurrences();
    dispatcher.forgetEndedJobs();
    dispatcher.planNeeded = true;
    std::int64_t capacity = 0;
    for (const auto &[id, session] : dispatcher.sessions) {
      if (session.isDue(now))
        dispatcher.dirtyWorkers.insert(id);
      if (dispatcher.mayGetTasks(session, now))
        capacity += session.worker->profile.capacity.millicores;
    }
    dispatcher.admissionLedger.setCapacity(capacity, now);
  }
  const std::set<std::string> dirty = std::exchange(dispatcher.dirtyWorkers, {});
  for (const std::string &id : dirty) {
    const Worker *worker = dispatcher.table.findWorker(id);
    const auto session = dispatcher.sessions.find(id);
    if (worker != nullptr && session != dispatcher.sessions.end())
      dispatcher.advanceWorker(*worker, session->second);
  }
  if (!dispatcher.releases.empty())
    dispatcher.actions.emplace_back(Command(ReleaseRuns{std::exchange(dispatcher.releases, {})}));
  if (dispatcher.waits.takeDue(now)) {
    dispatcher.planNeeded = true;
    dispatcher.nextGangRound = std::min(dispatcher.nextGangRound, now);
  }
  if (dispatcher.planNeeded && now >= dispatcher.nextPlan) {
    dispatcher.planNeeded = false;
    dispatcher.nextPlan = now + PlanInterval +
                          PlanIntervalPerStep * static_cast<std::int64_t>(dispatcher.queue.size());
    dispatcher.plan();
  }
  return std::exchange(dispatcher.actions, {});
}

std::uint64_t Dispatcher::waitingIn(const std::string &queue) const {
  const auto found = this->state->waiting.find(queue);
  return found == this->state->waiting.end() ? 0 : found->second;
}

std::vector<GangDecision> Dispatcher::takeGangDecisions() {
  return this->state->gangDecisions.take();
}

std::vector<WorkerDecision> Dispatcher::takeWorkerDecisions() {
  return std::exchange(this->state->decisions, {});
}

std::vector<LimitDecision> Dispatcher::takeLimitDecisions() {
  return this->state->ledger.takeDecisions();
}

std::vector<WorkspaceLoad> Dispatcher::workspaceLoads() const {
  return this->state->ledger.loads();
}

bool Dispatcher::isUseConsistent() const {
  return this->state->ledger.uses() == this->state->recomputeUse();
}

std::vector<PlacementWait> Dispatcher::takePlacementWaits() { return this->state->waits.take(); }

CellLoad Dispatcher::load(base::TimePoint now) const {
  State &dispatcher = *this->state;
  CellLoad load;
  for (auto &[id, session] : dispatcher.sessions) {
    if (!dispatcher.mayGetTasks(session, now))
      continue;
    const std::int64_t capacity = session.worker->profile.capacity.millicores;
    ++load.workers;
    load.capacity += capacity;
    load.used += capacity - dispatcher.freeResources(session).millicores;
    load.reserved += session.reservation ? session.reservation->amount.millicores : 0;
  }
  for (const auto &[key, open] : dispatcher.queue.all())
    (open.step->gang ? load.waitingMembers : load.waitingTasks) += open.waiting.size();
  load.idleAdvisers = dispatcher.adviceTracker.idleAdvisers();
  return load;
}

AdmissionLoad Dispatcher::admissionLoad(base::TimePoint now) const {
  return this->state->admissionLedger.load(this->state->speeds, now);
}

DispatcherCounters Dispatcher::counters() const {
  DispatcherCounters counters = this->state->counters;
  counters.openSteps = this->state->queue.size();
  counters.sessions = this->state->sessions.size();
  counters.gangs = this->state->gangDecisions.lastRound();
  counters.waits = this->state->waits.counters();
  return counters;
}

} // namespace banyanrill::jobs
