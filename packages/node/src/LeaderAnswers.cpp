// The leader's answers to requests, and the start and end of its leadership.
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>

namespace banyanrill::node {

namespace {

/// Limit on the job id that a caller chooses.
constexpr std::size_t MaxJobIdBytes = 64;

/// Retry-After while the cell has no configuration.
constexpr std::int64_t NoConfigurationRetryMs = 1000;

jobs::Reply replyOf(jobs::ReplyCode code, std::string message) {
  jobs::Reply reply;
  reply.code = code;
  reply.message = std::move(message);
  return reply;
}

/// The reason in the answer keeps daemons from taking later reports for acknowledged.
jobs::Reply ignoredReport(const jobs::WorkerProfile &profile, const std::string &reason) {
  base::logEvent(base::Event::WorkerReportIgnored,
                 {{"worker", profile.incarnation.id},
                  {"born", std::to_string(profile.incarnation.startTimeMs)},
                  {"service", profile.service},
                  {"address", profile.address},
                  {"reason", reason}});
  return replyOf(jobs::ReplyCode::Done, reason);
}

/// Refuses a job with a step that its workspace may never start; nothing if it may start all.
std::optional<jobs::Reply> refusalByLimit(const jobs::Table &table, const std::string &workspace,
                                          const jobs::JobSpec &spec, double tolerance) {
  const jobs::Workspace *found = jobs::findWorkspace(table.state().configuration, workspace);
  if (found == nullptr)
    return std::nullopt;
  for (const jobs::Step &step : spec.steps) {
    if (const auto limit = jobs::limitThatBars(*found, step, tolerance))
      return replyOf(jobs::ReplyCode::Busy,
                     "a step can never start: it needs more than the limit of its workspace, in " +
                         std::string(*limit));
  }
  return std::nullopt;
}

jobs::Reply inDoubt() { return replyOf(jobs::ReplyCode::InDoubt, "the leader lost leadership"); }

} // namespace

void Node::State::answer(const jobs::Request &request, base::TimePoint deadline,
                         const ReplyTo &reply) {
  std::visit(
      [&](const auto &typed) {
        if constexpr (CallerRequest<std::decay_t<decltype(typed)>>)
          this->checkCaller(typed, reply, deadline);
        else
          this->answerTyped(typed, reply);
      },
      request);
}

void Node::State::proposeFor(jobs::Command command, ReplyTo reply, jobs::Reply success) {
  this->group->propose(std::move(command), [reply = std::move(reply),
                                            success = std::move(success)](ProposalOutcome outcome) {
    reply(outcome == ProposalOutcome::Applied ? success : inDoubt());
  });
}

void Node::State::confirmFor(const ReplyTo &reply, std::function<jobs::Reply()> make) {
  this->group->confirmLeadership(
      [reply, make = std::move(make)](bool confirmed) { reply(confirmed ? make() : inDoubt()); },
      this->now);
}

void Node::State::answerTyped(const jobs::SubmitRequest &request, const jobs::Access &access,
                              ReplyTo reply) {
  const jobs::Table &table = this->group->table();
  if (!table.state().configuration) {
    jobs::Reply refusal = replyOf(jobs::ReplyCode::Unavailable, "there is no configuration yet");
    refusal.retryAfterMs = NoConfigurationRetryMs;
    reply(std::move(refusal));
    return;
  }
  std::string id;
  const jobs::Queue *queue = table.findQueue(request.host, request.path, id);
  if (queue == nullptr) {
    this->confirmFor(reply, [] {
      return replyOf(jobs::ReplyCode::NoSuchQueue, "no queue has this host and path");
    });
    return;
  }
  // A dot would end the job's part of a task's name.
  if (!jobs::isIdentifier(id, MaxJobIdBytes) || id.find('.') != std::string::npos) {
    reply(replyOf(jobs::ReplyCode::Invalid, "the path does not end with a job's identifier"));
    return;
  }
  if (table.findJob(id) != nullptr) {
    reply({});
    return;
  }
  jobs::JobSpec spec = request.spec;
  spec.id = id;
  std::optional<jobs::Reply> refusal =
      refusalByLimit(table, access.workspace, spec, this->options.quotaTolerance);
  if (!refusal)
    refusal = this->refuseByLoad(spec, *queue, access.workspace);
  if (refusal) {
    reply(std::move(*refusal));
    return;
  }
  jobs::AcceptJob accept{std::move(spec), *queue, access.workspace};
  if (access.kind == jobs::AccessKind::Unrestricted)
    this->proposeFor(std::move(accept), std::move(reply), {});
  else
    this->proposeForCaller(std::move(accept), access, id, std::move(reply));
}

std::optional<jobs::Reply> Node::State::refuseByLoad(const jobs::JobSpec &spec,
                                                     const jobs::Queue &queue,
                                                     const std::string &workspaceName) {
  if (!this->dispatcher)
    return std::nullopt;
  const std::optional<jobs::Configuration> &configuration =
      this->group->table().state().configuration;
  jobs::SubmittingWorkspace workspace;
  workspace.configured = configuration->workspaces.has_value();
  workspace.name = workspaceName;
  if (const jobs::Workspace *found = jobs::findWorkspace(configuration, workspaceName))
    workspace.weight = found->weight;
  const jobs::AdmissionDecision decision =
      this->dispatcher->admit(spec, queue, workspace, this->now);
  if (decision.isAccepted())
    return std::nullopt;
  this->metrics.countLoadRefusal(queue.name, decision.cause);
  const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(decision.wait).count();
  jobs::Reply refusal =
      replyOf(jobs::ReplyCode::Busy,
              std::string(jobs::nameOf(decision.cause)) +
                  (decision.cause == jobs::RefusalCause::OverShare
                       ? ": the workspace submits more than its weight allows; predicted wait "
                       : ": the job would end too late to be of use; predicted wait ") +
                  std::to_string(waitMs) + " ms");
  refusal.retryAfterMs = decision.retryAfterMs;
  return refusal;
}

void Node::State::answerTyped(const jobs::StateRequest &request, const jobs::Access & /*access*/,
                              const ReplyTo &reply) {
  const jobs::Table &table = this->group->table();
  std::string id;
  const jobs::Queue *queue = table.findQueue(request.host, request.path, id);
  if (queue == nullptr) {
    this->confirmFor(reply, [] {
      return replyOf(jobs::ReplyCode::NoSuchQueue, "no queue has this host and path");
    });
    return;
  }
  jobs::Reply found;
  if (id.empty()) {
    found.waiting = this->dispatcher ? this->dispatcher->waitingIn(queue->name) : 0;
    reply(std::move(found));
    return;
  }
  const jobs::Job *job = table.findJob(id);
  if (job == nullptr) {
    this->confirmFor(reply,
                     [] { return replyOf(jobs::ReplyCode::NoSuchJob, "the job is not known"); });
    return;
  }
  found.phase = job->phase;
  found.started = job->started;
  reply(std::move(found));
}

void Node::State::answerTyped(const jobs::CancelRequest &request, const jobs::Access &access,
                              ReplyTo reply) {
  const jobs::Table &table = this->group->table();
  std::string id;
  if (table.findQueue(request.host, request.path, id) == nullptr) {
    this->confirmFor(reply, [] {
      return replyOf(jobs::ReplyCode::NoSuchQueue, "no queue has this host and path");
    });
    return;
  }
  if (table.findJob(id) == nullptr) {
    this->confirmFor(reply,
                     [] { return replyOf(jobs::ReplyCode::NoSuchJob, "the job is not known"); });
    return;
  }
  if (access.kind == jobs::AccessKind::Unrestricted)
    this->proposeFor(jobs::CancelJob{id}, std::move(reply), {});
  else
    this->proposeForCaller(jobs::CancelJob{id}, access, {}, std::move(reply));
}

void Node::State::answerTyped(const jobs::ConfigureRequest &request, ReplyTo reply) {
  const std::optional<jobs::Configuration> &current = this->group->table().state().configuration;
  if (current && current->version >= request.configuration.version) {
    reply(replyOf(jobs::ReplyCode::Done, "the version is not higher than the one in force"));
    return;
  }
  this->proposeFor(jobs::PutConfiguration{request.configuration}, std::move(reply), {});
}

void Node::State::answerTyped(const jobs::ReadConfigurationRequest & /*request*/,
                              const ReplyTo &reply) {
  this->confirmFor(reply, [this] {
    const std::optional<jobs::Configuration> &current = this->group->table().state().configuration;
    if (!current)
      return replyOf(jobs::ReplyCode::Unavailable, "there is no configuration yet");
    jobs::Reply found;
    found.document = current->document;
    return found;
  });
}

void Node::State::answerTyped(const jobs::WorkerReport &request, ReplyTo reply) {
  const jobs::Reply accepted;
  switch (this->group->table().meaningOf(request.profile)) {
  case jobs::ReportMeaning::News:
    break;
  case jobs::ReportMeaning::Known:
    if (this->dispatcher)
      this->dispatcher->onWorkerReport(request, this->now);
    reply(accepted);
    return;
  case jobs::ReportMeaning::Claim:
    if (this->dispatcher)
      this->dispatcher->onWorkerClaim(request.profile, this->now);
    reply(ignoredReport(request.profile, "the worker has to confirm another life or address"));
    return;
  case jobs::ReportMeaning::Unusable:
    reply(ignoredReport(request.profile, "no configuration names the service"));
    return;
  }
  this->group->propose(
      jobs::RegisterWorker{request.profile},
      [this, request, accepted, reply = std::move(reply)](ProposalOutcome outcome) {
        if (outcome != ProposalOutcome::Applied) {
          reply(inDoubt());
          return;
        }
        if (this->dispatcher)
          this->dispatcher->onWorkerReport(request, this->now);
        reply(accepted);
      });
}

void Node::State::answerTyped(const jobs::DeregisterRequest &request, ReplyTo reply) {
  if (this->dispatcher)
    this->dispatcher->onWorkerLeaving(request.worker, this->now);
  const jobs::Worker *worker = this->group->table().findWorker(request.worker);
  if (worker == nullptr || worker->profile.draining) {
    reply({});
    return;
  }
  jobs::WorkerProfile profile = worker->profile;
  profile.draining = true;
  this->proposeFor(jobs::RegisterWorker{std::move(profile)}, std::move(reply), {});
}

void Node::State::answerTyped(const jobs::WaveRequest &request, ReplyTo reply) {
  this->proposeFor(jobs::StartWave{request.wave}, std::move(reply), {});
}

void Node::State::answerTyped(const jobs::WaveStateRequest &request, const ReplyTo &reply) {
  const std::map<std::uint64_t, jobs::Wave> &waves = this->group->table().state().waves;
  const auto found = waves.find(request.wave);
  if (found == waves.end()) {
    this->confirmFor(reply,
                     [] { return replyOf(jobs::ReplyCode::NoSuchJob, "the wave is not known"); });
    return;
  }
  jobs::Reply state;
  state.waveDone = found->second.waiting.empty();
  reply(std::move(state));
}

void Node::State::onBecameLeader() {
  ++this->metrics.leaderships;
  this->leaderSince = this->now;
  this->pauseGuard = PauseGuard();
  this->resetAuthority();
  this->callerKeys(); // Logs the keys that were withdrawn since this node last led.
  jobs::DispatcherOptions dispatcherOptions;
  dispatcherOptions.term = this->group->term();
  dispatcherOptions.stopGrace = this->options.stopGrace;
  dispatcherOptions.quotaTolerance = this->options.quotaTolerance;
  dispatcherOptions.gangTimeout = this->options.gangTimeout;
  dispatcherOptions.maxLease = this->options.maxLease;
  dispatcherOptions.remotePenalty = this->options.remotePenalty;
  dispatcherOptions.lease = std::min(dispatcherOptions.lease, this->options.maxLease);
  this->dispatcher = std::make_unique<jobs::Dispatcher>(this->group->table(), dispatcherOptions,
                                                        base::RandomSource(this->random.next()),
                                                        this->now, wallClockMs());
  this->highestLeaderTerm = std::max(this->highestLeaderTerm, this->group->term());
  this->updateAdvisers();
  base::logEvent(base::Event::BecameLeader,
                 {{"term", std::to_string(this->group->term())},
                  {"jobs", std::to_string(this->group->table().state().jobs.size())},
                  {"workers", std::to_string(this->group->table().state().workers.size())}});
  this->scheduleWork();
}

void Node::State::onLostLeadership() {
  this->dispatcher.reset();
  this->resetAuthority();
  this->relays.clear();
  this->relayed.clear();
  this->peerDirectory->suspectLeader(this->peerDirectory->self().id);
  base::logEvent(base::Event::LostLeadership, {{"term", std::to_string(this->group->term())}});
}

void Node::State::onApplied(const jobs::CommandBatch &batch, const jobs::Effect &effect) {
  if (this->dispatcher)
    this->dispatcher->onApplied(batch, effect, this->now);
  for (const std::string &id : effect.endedJobs) {
    const jobs::Job *job = this->group->table().findJob(id);
    if (job == nullptr)
      continue;
    this->metrics.jobTimes[std::string(jobs::nameOf(job->phase))].note(
        std::chrono::milliseconds(job->endedMs - job->acceptedMs));
    base::logEvent(base::Event::JobEnded, {{"job", id},
                                           {"queue", job->queue.name},
                                           {"outcome", std::string(jobs::nameOf(job->phase))},
                                           {"ms", std::to_string(job->endedMs - job->acceptedMs)}});
  }
  for (const jobs::Command &command : batch.commands) {
    if (const auto *accepted = std::get_if<jobs::AcceptJob>(&command)) {
      base::logEvent(base::Event::JobAccepted,
                     {{"job", accepted->spec.id},
                      {"queue", accepted->queue.name},
                      {"steps", std::to_string(accepted->spec.steps.size())}});
    } else if (std::holds_alternative<jobs::PutConfiguration>(command)) {
      this->callerKeys();
    } else if (const auto *ends = std::get_if<jobs::RecordEnds>(&command)) {
      for (const jobs::TaskEnd &end : ends->ends)
        base::logEvent(base::Event::RunEnded, {{"job", end.run.task.job},
                                               {"step", std::to_string(end.run.task.step)},
                                               {"task", std::to_string(end.run.task.index)},
                                               {"run", std::to_string(end.run.run)},
                                               {"worker", ends->worker.id},
                                               {"outcome", std::string(jobs::nameOf(end.kind))}});
    } else if (const auto *registered = std::get_if<jobs::RegisterWorker>(&command)) {
      base::logEvent(base::Event::WorkerRegistered,
                     {{"worker", registered->profile.incarnation.id},
                      {"born", std::to_string(registered->profile.incarnation.startTimeMs)},
                      {"draining", registered->profile.draining ? "true" : "false"}});
    } else if (const auto *restarted = std::get_if<jobs::RestartWorker>(&command)) {
      base::logEvent(base::Event::WorkerRestarted,
                     {{"worker", restarted->former.id},
                      {"born", std::to_string(restarted->profile.incarnation.startTimeMs)},
                      {"former_born", std::to_string(restarted->former.startTimeMs)}});
    } else if (const auto *removed = std::get_if<jobs::RemoveWorker>(&command)) {
      base::logEvent(base::Event::WorkerRemoved, {{"worker", removed->worker.id}});
    } else if (const auto *released = std::get_if<jobs::ReleaseRuns>(&command)) {
      for (const jobs::ReleasedRun &run : released->runs)
        base::logEvent(base::Event::RunReleased, {{"job", run.run.task.job},
                                                  {"step", std::to_string(run.run.task.step)},
                                                  {"task", std::to_string(run.run.task.index)},
                                                  {"run", std::to_string(run.run.run)},
                                                  {"worker", run.worker}});
    }
  }
}

} // namespace banyanrill::node
