#include "banyanrill/daemon/Leader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyanrill::daemon {

namespace {

/// Five lost heartbeats; workers move to a new owner 12 s after their last poll at the earliest, so
/// a shorter time would not help them.
constexpr base::Duration DaemonTimeout = std::chrono::seconds(5);

/// Time for all daemons to report after a change of leader; until then nothing is judged silent.
constexpr base::Duration LearningTime = std::chrono::seconds(3);

/// Contact lease of 30 s, 2 s in which a deposed leader may still have extended it, and 1 s for
/// clocks that run at different rates.
constexpr base::Duration ContactLost = std::chrono::seconds(33);

/// A command or its event was lost; owners handle repeated commands.
constexpr base::Duration CommandResend = std::chrono::seconds(1);

constexpr base::Duration LossCheckInterval = std::chrono::seconds(1);
constexpr base::Duration AssignmentInterval = std::chrono::milliseconds(200);

/// One worker at a time: each handover lets the worker's requests end before new ones start there.
constexpr base::Duration RebalanceInterval = std::chrono::seconds(1);

/// One change of settings holds at most 64 edits.
constexpr std::size_t MaxAssignments = 64;

constexpr std::size_t MaxWorkers = 8192;

placement::JobKind kindOf(settings::JobKind kind) {
  switch (kind) {
  case settings::JobKind::Service:
    return placement::JobKind::Service;
  case settings::JobKind::Batch:
    return placement::JobKind::Batch;
  case settings::JobKind::Gang:
    return placement::JobKind::Gang;
  }
  return placement::JobKind::Batch;
}

placement::JobSpec specOf(const base::JobId &id, const settings::JobPolicy &policy) {
  placement::JobSpec spec;
  spec.id = id;
  spec.kind = kindOf(policy.kind);
  spec.team = policy.team;
  spec.count = policy.count;
  spec.demand = policy.demand;
  spec.priority = policy.priority;
  spec.dataCentres = policy.dataCentres;
  spec.maxAttempts = policy.maxAttempts;
  spec.runTime = std::chrono::milliseconds(policy.runMs);
  spec.deadline = std::chrono::milliseconds(policy.deadlineMs);
  spec.preemptible = policy.preemptible;
  spec.checkpointable = policy.checkpointable;
  return spec;
}

bool holdsWorker(placement::TaskPhase phase) {
  return phase == placement::TaskPhase::Assigned || phase == placement::TaskPhase::Running ||
         phase == placement::TaskPhase::Stopping;
}

placement::TaskPhase phaseAfter(placement::TaskEventKind kind) {
  switch (kind) {
  case placement::TaskEventKind::Started:
    return placement::TaskPhase::Running;
  case placement::TaskEventKind::Succeeded:
    return placement::TaskPhase::Succeeded;
  case placement::TaskEventKind::Failed:
    return placement::TaskPhase::Failed;
  case placement::TaskEventKind::Stopped:
  case placement::TaskEventKind::Refused:
  case placement::TaskEventKind::Lost:
    return placement::TaskPhase::Pending;
  }
  return placement::TaskPhase::Pending;
}

/// Whether an event says something new of a task. Repeated and late events do not.
bool isNews(const placement::TaskRecord &task, const placement::TaskEvent &event) {
  if (task.attempt != event.attempt || !holdsWorker(task.phase))
    return false;
  return event.kind != placement::TaskEventKind::Started ||
         task.phase == placement::TaskPhase::Assigned;
}

placement::TaskRecord recordAfter(placement::TaskRecord task, placement::TaskEventKind kind) {
  task.phase = phaseAfter(kind);
  if (!holdsWorker(task.phase))
    task.worker = {};
  return task;
}

bool isDraining(const settings::Tree &tree, const base::WorkerId &worker) {
  const auto value = tree.get("/cell/workers/" + worker.value);
  return value && nlohmann::json::parse(value->json).value("draining", false);
}

bool isDataCentreLost(const settings::Tree &tree, const std::string &dataCentre) {
  const auto value = tree.get("/cell/data-centres/" + dataCentre);
  return value && nlohmann::json::parse(value->json).value("lost", false);
}

constexpr std::string_view QuotaPrefix = "/cell/quotas/";
constexpr std::string_view WorkerPrefix = "/cell/workers/";

} // namespace

Leader::Leader(Context &sharedContext, Replication &sharedReplication)
    : context(sharedContext), replication(sharedReplication) {}

void Leader::onHeartbeat(base::DaemonId from, const wire::Heartbeat &heartbeat) {
  if (!this->isActive())
    return;
  DaemonState &daemon = this->daemons[from];
  const bool builds = heartbeat.sequence == daemon.lastSequence + 1;
  if (!heartbeat.complete && !builds) {
    this->context.send(from, wire::HeartbeatAck{heartbeat.sequence, true});
    return;
  }
  daemon.lastSequence = heartbeat.sequence;
  daemon.lastHeartbeat = this->context.now;
  daemon.stopping = heartbeat.stopping;

  std::set<base::WorkerId> gone(heartbeat.removed.begin(), heartbeat.removed.end());
  if (heartbeat.complete)
    gone.insert(daemon.reported.begin(), daemon.reported.end());
  for (const wire::WorkerReport &report : heartbeat.workers) {
    gone.erase(report.id);
    daemon.reported.insert(report.id);
    this->noteWorker(from, report);
    if (report.leaseHeld)
      daemon.adopted.insert(report.id);
    else if (daemon.adopted.erase(report.id))
      this->dropAdoption(from, report.id);
  }
  for (const base::WorkerId &worker : gone) {
    daemon.reported.erase(worker);
    if (daemon.adopted.erase(worker))
      this->dropAdoption(from, worker);
  }
  // The acknowledgement extends the contact lease for all workers of the daemon, changed or not.
  for (const base::WorkerId &worker : daemon.reported) {
    if (const auto known = this->workers.find(worker); known != this->workers.end())
      known->second.lastVouched = this->context.now;
  }
  for (const wire::WorkerReport &report : heartbeat.unowned)
    this->noteWorker(base::NoDaemon, report);
  this->context.send(from, wire::HeartbeatAck{heartbeat.sequence, false});
}

void Leader::dropAdoption(base::DaemonId from, const base::WorkerId &worker) {
  const auto known = this->workers.find(worker);
  if (known == this->workers.end() || known->second.adoptedBy != from)
    return;
  known->second.adoptedBy = base::NoDaemon;
  this->updatePlannerWorker(known->second);
}

void Leader::noteWorker(base::DaemonId from, const wire::WorkerReport &report) {
  if (this->workers.size() >= MaxWorkers && this->workers.count(report.id) == 0)
    return;
  auto [position, added] = this->workers.try_emplace(report.id);
  WorkerState &worker = position->second;
  if (added)
    worker.lastVouched = this->activeSince;
  if (report.leaseHeld && report.epoch >= worker.adoptedEpoch) {
    const bool moved = worker.adoptedEpoch != report.epoch || worker.adoptedBy != from;
    worker.report = report;
    worker.adoptedBy = from;
    worker.adoptedEpoch = report.epoch;
    worker.lastVouched = this->context.now;
    this->updatePlannerWorker(worker);
    if (moved)
      this->confirmTasksOn(report.id);
    return;
  }
  if (worker.report.id.value.empty())
    worker.report = report;
  if (from != base::NoDaemon)
    worker.lastVouched = this->context.now;
}

void Leader::updatePlannerWorker(const WorkerState &worker) {
  const Peer *owner = this->context.config.find(worker.adoptedBy);
  placement::WorkerView view;
  view.id = worker.report.id;
  view.dataCentre = worker.report.dataCentre;
  view.region = owner ? owner->region : "";
  view.rack = worker.report.rack;
  view.capacity = worker.report.capacity;
  view.requestLoad = worker.report.requestLoad;
  view.available = owner && !isDraining(this->replication.state().settings(), view.id);
  this->planner->updateWorker(view);
}

void Leader::onTaskEvents(base::DaemonId from, const wire::TaskEvents &events) {
  if (!this->isActive())
    return;
  // An owner is about to change: whether its report still counts shows once that is applied, and
  // the reports are sent again until then.
  for (const wire::TaskReport &report : events.reports) {
    if (this->assignmentsInFlight.count(report.worker))
      return;
  }
  for (const wire::TaskReport &report : events.reports)
    this->unconfirmed.erase(report.event.task);
  control::UpdateTasks update;
  for (const wire::TaskReport &report : events.reports) {
    const placement::TaskRecord *task = this->findTask(report.event.task);
    if (!task || !isNews(*task, report.event))
      continue;
    if (!this->isTrusted(report))
      continue;
    this->planner->onTaskEvent(report.event, this->context.now);
    update.tasks.push_back(recordAfter(*task, report.event.kind));
  }
  if (update.tasks.empty()) {
    this->context.send(from, wire::TaskEventsAck{events.sequence});
    return;
  }
  this->submitTasks(std::move(update));
  this->pendingAcks.push_back({from, events.sequence, this->updatesSubmitted});
}

bool Leader::isTrusted(const wire::TaskReport &report) {
  // What the worker itself reported is true whoever passes it on.
  switch (report.event.kind) {
  case placement::TaskEventKind::Started:
  case placement::TaskEventKind::Succeeded:
  case placement::TaskEventKind::Failed:
    return true;
  case placement::TaskEventKind::Stopped:
  case placement::TaskEventKind::Refused:
  case placement::TaskEventKind::Lost:
    break;
  }
  this->owners.refresh(this->replication.state().settings());
  const std::optional<control::Owner> owner = this->owners.find(report.worker);
  return owner && owner->epoch == report.epoch;
}

void Leader::onApplied(const control::Command &command, const control::Result &result) {
  if (!this->isActive())
    return;
  if (const auto *change = std::get_if<control::ChangeSettings>(&command)) {
    if (std::get<settings::Outcome>(result).accepted)
      this->onSettingsApplied(change->change);
  }
  if (const auto *update = std::get_if<control::UpdateTasks>(&command))
    this->onTasksApplied(*update);
  if (const auto *owners = std::get_if<control::AssignOwners>(&command)) {
    for (const control::OwnerAssignment &assignment : owners->assignments)
      this->assignmentsInFlight.erase(assignment.worker);
  }
}

void Leader::onSettingsApplied(const settings::Change &change) {
  for (const settings::Edit &edit : change.edits) {
    if (control::isJobPath(edit.path)) {
      if (edit.json)
        this->putJob({edit.path}, *edit.json);
      else
        this->planner->cancelJob({edit.path}, this->context.now);
      continue;
    }
    if (edit.path.rfind(QuotaPrefix, 0) == 0) {
      const std::string team = edit.path.substr(QuotaPrefix.size());
      if (!edit.json) {
        this->planner->clearQuota(team);
        continue;
      }
      const nlohmann::json quota = nlohmann::json::parse(*edit.json);
      this->planner->setQuota(team, {quota.value("millicores", 0), quota.value("memory_mib", 0),
                                     quota.value("accelerators", 0)});
      continue;
    }
    if (edit.path.rfind(WorkerPrefix, 0) == 0) {
      const auto worker = this->workers.find({edit.path.substr(WorkerPrefix.size())});
      if (worker != this->workers.end())
        this->updatePlannerWorker(worker->second);
    }
  }
}

void Leader::onTasksApplied(const control::UpdateTasks &update) {
  for (const placement::TaskRecord &task : update.tasks) {
    this->lastCommand.erase(task.id);
    if (task.phase != placement::TaskPhase::Running)
      this->unconfirmed.erase(task.id);
    const auto latest = this->submitted.find(task.id);
    if (latest != this->submitted.end() && latest->second == task)
      this->submitted.erase(latest);
    if (task.phase == placement::TaskPhase::Assigned ||
        task.phase == placement::TaskPhase::Stopping)
      this->sendTaskCommand(task, false);
    else
      this->stopWithCheckpoint.erase(task.id);
  }
  ++this->updatesApplied;
  while (!this->pendingAcks.empty() && this->pendingAcks.front().update <= this->updatesApplied) {
    const PendingAck &ack = this->pendingAcks.front();
    this->context.send(ack.daemon, wire::TaskEventsAck{ack.sequence});
    this->pendingAcks.pop_front();
  }
}

void Leader::tick() {
  if (!this->replication.leads()) {
    if (this->isActive())
      this->deactivate();
    return;
  }
  if (!this->isActive())
    this->activate();
  if (this->context.now - this->activeSince < LearningTime)
    return;
  for (auto &[id, daemon] : this->daemons) {
    if (this->isLive(daemon))
      continue;
    for (const base::WorkerId &worker : daemon.adopted) {
      WorkerState &known = this->workers[worker];
      if (known.adoptedBy != id)
        continue;
      known.adoptedBy = base::NoDaemon;
      this->updatePlannerWorker(known);
    }
    daemon.adopted.clear();
    // Its next heartbeat must be complete, since what it adopted is forgotten here.
    daemon.lastSequence = 0;
  }
  if (this->context.now - this->lastAssignment >= AssignmentInterval) {
    this->lastAssignment = this->context.now;
    this->assignOwners();
    this->sendTaskCommands();
  }
  if (this->context.now - this->lastLossCheck >= LossCheckInterval) {
    this->lastLossCheck = this->context.now;
    this->declareLost();
  }
  this->runPlanner();
}

void Leader::activate() {
  this->activeSince = this->context.now;
  this->planner.emplace(placement::PlannerOptions{},
                        base::RandomSource(this->context.random.next()));
  this->rebuildPlanner();
}

void Leader::deactivate() {
  this->planner.reset();
  this->daemons.clear();
  this->workers.clear();
  this->lastCommand.clear();
  this->unconfirmed.clear();
  this->stopWithCheckpoint.clear();
  this->assignmentsInFlight.clear();
  this->submitted.clear();
  this->policies.clear();
  this->pendingAcks.clear();
  this->updatesSubmitted = 0;
  this->updatesApplied = 0;
}

void Leader::rebuildPlanner() {
  const control::State &state = this->replication.state();
  settings::Change all;
  for (const auto &[path, value] : state.settings().list("/cell/quotas"))
    all.edits.push_back({path, value.json, std::nullopt});
  for (const auto &[id, job] : state.jobs()) {
    const auto value = state.settings().get(id.value);
    if (value && !job.ended)
      all.edits.push_back({id.value, value->json, std::nullopt});
  }
  this->onSettingsApplied(all);
  for (const auto &[id, job] : state.jobs()) {
    if (job.ended)
      continue;
    if (job.cancelled) {
      // The setting is gone; a placeholder of the right identity lets its tasks be stopped.
      placement::JobSpec spec;
      spec.id = id;
      spec.count = static_cast<std::int32_t>(job.tasks.size());
      this->planner->putJob(spec, this->context.now);
    }
    for (const auto &[index, task] : job.tasks)
      this->planner->restoreTask(task, this->context.now);
    if (job.cancelled)
      this->planner->cancelJob(id, this->context.now);
  }
}

void Leader::putJob(const base::JobId &id, const std::string &json) {
  const auto job = this->replication.state().jobs().find(id);
  if (job == this->replication.state().jobs().end() || job->second.ended)
    return;
  const base::Result<settings::JobPolicy> policy = settings::parseJobPolicy(id.value, json);
  if (!policy)
    return;
  this->policies[id] = policy.value();
  this->planner->putJob(specOf(id, policy.value()), this->context.now);
}

base::Status Leader::checkFeasible(const settings::Change &change) const {
  for (const settings::Edit &edit : change.edits) {
    if (!edit.json || !control::isJobPath(edit.path))
      continue;
    const base::Result<settings::JobPolicy> policy =
        settings::parseJobPolicy(edit.path, *edit.json);
    if (!policy)
      return policy.error();
    if (const base::Status status =
            this->planner->checkFeasible(specOf({edit.path}, policy.value()));
        !status)
      return status.error();
  }
  return std::monostate{};
}

std::string Leader::explain(const base::JobId &job) const {
  return this->planner->explain(job, this->context.now);
}

std::size_t Leader::liveDaemons() const {
  return static_cast<std::size_t>(
      std::count_if(this->daemons.begin(), this->daemons.end(),
                    [this](const auto &entry) { return this->isLive(entry.second); }));
}

bool Leader::isLive(const DaemonState &daemon) const {
  return this->context.now - daemon.lastHeartbeat < DaemonTimeout;
}

void Leader::assignOwners() {
  this->owners.refresh(this->replication.state().settings());
  std::map<base::DaemonId, std::size_t> owned;
  std::vector<const WorkerState *> orphans;
  for (const auto &[id, worker] : this->workers) {
    const std::optional<control::Owner> owner = this->owners.find(id);
    if (owner && this->mayOwn(owner->daemon)) {
      ++owned[owner->daemon];
      continue;
    }
    if (this->assignmentsInFlight.count(id) == 0)
      orphans.push_back(&worker);
  }
  control::AssignOwners command;
  for (const WorkerState *worker : orphans) {
    const base::DaemonId daemon = this->chooseOwner(worker->report, owned);
    if (daemon == base::NoDaemon || command.assignments.size() >= MaxAssignments)
      break;
    ++owned[daemon];
    command.assignments.push_back({worker->report.id, daemon});
    this->assignmentsInFlight.insert(worker->report.id);
  }
  if (!command.assignments.empty())
    this->replication.submit(std::move(command));
  else if (orphans.empty())
    this->rebalance(owned);
}

Leader::OwnerRank Leader::rankOwner(const Peer &peer, const wire::WorkerReport &worker,
                                    const std::map<base::DaemonId, std::size_t> &owned) const {
  const std::vector<Peer> &peers = this->context.config.peers;
  const auto sameCentre = std::find_if(peers.begin(), peers.end(), [&worker](const Peer &other) {
    return other.dataCentre == worker.dataCentre;
  });
  const bool sameRegion = sameCentre != peers.end() && sameCentre->region == peer.region;
  const auto count = owned.find(peer.daemon);
  OwnerRank rank;
  rank.distance = peer.dataCentre == worker.dataCentre ? 0 : sameRegion ? 1 : 2;
  rank.owned = count == owned.end() ? 0 : count->second;
  return rank;
}

bool Leader::mayOwn(base::DaemonId id) const {
  const auto daemon = this->daemons.find(id);
  return daemon != this->daemons.end() && this->isLive(daemon->second) && !daemon->second.stopping;
}

base::DaemonId Leader::chooseOwner(const wire::WorkerReport &worker,
                                   const std::map<base::DaemonId, std::size_t> &owned) const {
  const Peer *best = nullptr;
  for (const Peer &peer : this->context.config.peers) {
    if (!this->mayOwn(peer.daemon))
      continue;
    if (!best || this->rankOwner(peer, worker, owned) < this->rankOwner(*best, worker, owned))
      best = &peer;
  }
  return best ? best->daemon : base::NoDaemon;
}

void Leader::rebalance(const std::map<base::DaemonId, std::size_t> &owned) {
  const bool due = this->context.now - this->lastRebalance >= RebalanceInterval;
  if (!due || !this->assignmentsInFlight.empty())
    return;
  this->lastRebalance = this->context.now;
  for (const auto &[id, worker] : this->workers) {
    const std::optional<control::Owner> owner = this->owners.find(id);
    const base::DaemonId better = this->chooseOwner(worker.report, owned);
    // A worker that is still on its way to its owner stays with it.
    if (!owner || better == base::NoDaemon || worker.adoptedBy != owner->daemon)
      continue;
    const OwnerRank now =
        this->rankOwner(*this->context.config.find(owner->daemon), worker.report, owned);
    const OwnerRank then =
        this->rankOwner(*this->context.config.find(better), worker.report, owned);
    const bool closer = then.distance < now.distance;
    // A difference of one would only move back and forth.
    const bool fairer = then.distance == now.distance && then.owned + 2 <= now.owned;
    if (!closer && !fairer)
      continue;
    this->assignmentsInFlight.insert(id);
    this->replication.submit(control::AssignOwners{{{id, better}}});
    return;
  }
}

void Leader::runPlanner() {
  control::UpdateTasks update;
  for (const placement::Action &action : this->planner->plan(this->context.now)) {
    if (const auto *assign = std::get_if<placement::AssignTask>(&action)) {
      update.tasks.push_back(
          {assign->task, assign->attempt, placement::TaskPhase::Assigned, assign->worker});
      continue;
    }
    if (const auto *stop = std::get_if<placement::StopTask>(&action)) {
      this->stopWithCheckpoint[stop->task] = stop->checkpoint;
      update.tasks.push_back(
          {stop->task, stop->attempt, placement::TaskPhase::Stopping, stop->worker});
      continue;
    }
    const auto &end = std::get<placement::EndJob>(action);
    base::logEvent(base::Event::JobEnded, {{"job", end.job.value},
                                           {"succeeded", end.succeeded ? "true" : "false"},
                                           {"reason", end.reason}});
    this->policies.erase(end.job);
    update.ended.push_back(end);
  }
  if (!update.tasks.empty() || !update.ended.empty())
    this->submitTasks(std::move(update));
}

void Leader::submitTasks(control::UpdateTasks update) {
  for (const placement::TaskRecord &task : update.tasks)
    this->submitted[task.id] = task;
  ++this->updatesSubmitted;
  this->replication.submit(std::move(update));
}

void Leader::declareLost() {
  const settings::Tree &tree = this->replication.state().settings();
  control::UpdateTasks update;
  for (const auto &[id, job] : this->replication.state().jobs()) {
    const auto policy = this->policies.find(id);
    const bool moves = policy == this->policies.end() || policy->second.moveOnIsolation;
    for (const auto &[index, committed] : job.tasks) {
      const placement::TaskRecord &task = *this->findTask(committed.id);
      if (!holdsWorker(task.phase))
        continue;
      const auto worker = this->workers.find(task.worker);
      const bool known = worker != this->workers.end();
      if (known && worker->second.adoptedBy != base::NoDaemon)
        continue;
      const base::TimePoint vouched = known ? worker->second.lastVouched : this->activeSince;
      if (this->context.now - vouched < ContactLost)
        continue;
      if (!moves && !(known && isDataCentreLost(tree, worker->second.report.dataCentre)))
        continue;
      const placement::TaskEvent event{task.id, task.attempt, placement::TaskEventKind::Lost};
      this->planner->onTaskEvent(event, this->context.now);
      update.tasks.push_back(recordAfter(task, event.kind));
    }
  }
  if (!update.tasks.empty())
    this->submitTasks(std::move(update));
}

void Leader::sendTaskCommands() {
  for (const auto &[id, job] : this->replication.state().jobs()) {
    for (const auto &[index, task] : job.tasks) {
      const bool confirmOnly =
          task.phase == placement::TaskPhase::Running && this->unconfirmed.count(task.id) != 0;
      const bool waiting = task.phase == placement::TaskPhase::Assigned ||
                           task.phase == placement::TaskPhase::Stopping;
      if (!waiting && !confirmOnly)
        continue;
      const auto last = this->lastCommand.find(task.id);
      if (last != this->lastCommand.end() && this->context.now - last->second < CommandResend)
        continue;
      this->sendTaskCommand(task, confirmOnly);
    }
  }
}

void Leader::sendTaskCommand(const placement::TaskRecord &task, bool confirmOnly) {
  const auto worker = this->workers.find(task.worker);
  if (worker == this->workers.end() || worker->second.adoptedBy == base::NoDaemon)
    return;
  this->lastCommand[task.id] = this->context.now;
  const base::DaemonId owner = worker->second.adoptedBy;
  if (task.phase == placement::TaskPhase::Stopping) {
    const auto checkpoint = this->stopWithCheckpoint.find(task.id);
    this->context.send(
        owner, wire::StopTask{task.id, task.attempt, task.worker, worker->second.adoptedEpoch,
                              checkpoint != this->stopWithCheckpoint.end() && checkpoint->second});
    return;
  }
  const auto value = this->replication.state().settings().get(task.id.job.value);
  if (!value)
    return;
  const auto policy = this->policies.find(task.id.job);
  if (policy == this->policies.end())
    return;
  this->context.send(owner,
                     wire::StartTask{task.id, task.attempt, task.worker,
                                     worker->second.adoptedEpoch, policy->second.demand,
                                     policy->second.moveOnIsolation, confirmOnly, value->json});
}

void Leader::confirmTasksOn(const base::WorkerId &worker) {
  for (const auto &[id, job] : this->replication.state().jobs()) {
    for (const auto &[index, task] : job.tasks) {
      if (task.worker != worker || task.phase != placement::TaskPhase::Running)
        continue;
      this->unconfirmed.insert(task.id);
      this->sendTaskCommand(task, true);
    }
  }
}

const placement::TaskRecord *Leader::findTask(const base::TaskId &id) const {
  if (const auto latest = this->submitted.find(id); latest != this->submitted.end())
    return &latest->second;
  const auto job = this->replication.state().jobs().find(id.job);
  if (job == this->replication.state().jobs().end())
    return nullptr;
  const auto task = job->second.tasks.find(id.index);
  return task == job->second.tasks.end() ? nullptr : &task->second;
}

} // namespace banyanrill::daemon
