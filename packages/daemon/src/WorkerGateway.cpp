#include "banyanrill/daemon/WorkerGateway.h"

#include "banyanrill/control/State.h"
#include "banyanrill/daemon/Replies.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::daemon {

namespace {

/// The worker accepts another owner 12 s after its last poll; a margin of 1 s covers clocks that
/// run at different rates and a pause between the check and the dispatch.
constexpr base::Duration OwnershipLease = std::chrono::seconds(12);
constexpr base::Duration OwnershipMargin = std::chrono::seconds(1);

/// The worker stops its tasks 20 s after it sent its last answered poll; 1 s covers clock rates.
/// That is longer than a held poll (5 s) and the ownership lease (12 s) together, so that tasks
/// survive a crash of the owner.
constexpr base::Duration TaskLease = std::chrono::seconds(20);
constexpr base::Duration TaskLost = std::chrono::seconds(21);

/// Less than half of the ownership lease, so that one lost poll does not end it.
constexpr base::Duration PollHold = std::chrono::seconds(5);

/// An unowned worker asks again soon, since an owner is named within a second.
constexpr base::Duration SightingHold = std::chrono::seconds(2);
constexpr base::Duration SightingTimeout = std::chrono::seconds(10);

constexpr base::Duration HeartbeatInterval = std::chrono::seconds(1);

/// How long a daemon may vouch for tasks that are bound to contact with the leader.
constexpr base::Duration ContactLease = std::chrono::seconds(30);

/// Upstream instances announce themselves every 5 s.
constexpr base::Duration SettlingTime = std::chrono::seconds(6);

constexpr base::Duration EventResend = std::chrono::milliseconds(500);
constexpr std::size_t MaxEventsPerBatch = 256;
constexpr std::size_t MaxSightings = 8192;
constexpr std::size_t MaxClosed = 8192;
constexpr std::size_t MaxHeartbeatsInFlight = 64;

/// While the last requests of a released worker run, it polls again after this time.
constexpr base::Duration ReleaseHold = std::chrono::milliseconds(200);

/// Rounds up to eighths of the capacity. The load of requests changes all the time, and each change
/// that is reported costs the leader about 100 bytes.
base::Resources roundUpLoad(const base::Resources &load, const base::Resources &capacity) {
  constexpr std::int64_t Steps = 8;
  const auto round = [](std::int64_t amount, std::int64_t total) {
    const std::int64_t step = std::max<std::int64_t>(1, total / Steps);
    return std::min(total, (amount + step - 1) / step * step);
  };
  return {round(load.millicores, capacity.millicores), round(load.memoryMib, capacity.memoryMib),
          round(load.accelerators, capacity.accelerators)};
}

std::string taskHolder(const base::TaskId &id) { return "task:" + formatTaskId(id); }

placement::TaskEventKind eventOf(WorkerTaskState state) {
  switch (state) {
  case WorkerTaskState::Running:
    return placement::TaskEventKind::Started;
  case WorkerTaskState::Succeeded:
    return placement::TaskEventKind::Succeeded;
  case WorkerTaskState::Failed:
    return placement::TaskEventKind::Failed;
  case WorkerTaskState::Stopped:
    return placement::TaskEventKind::Stopped;
  }
  return placement::TaskEventKind::Failed;
}

} // namespace

WorkerGateway::WorkerGateway(Context &sharedContext)
    : context(sharedContext), lastSequence(sharedContext.random.next() >> 16),
      heartbeatSequence(sharedContext.random.next() >> 16),
      eventSequence(sharedContext.random.next() >> 16) {}

void WorkerGateway::setDroppedHandler(std::function<void(const base::WorkerId &)> handler) {
  this->onDropped = std::move(handler);
}

void WorkerGateway::onPoll(http::ExchangeId exchange, const base::WorkerId &worker,
                           const std::string &body) {
  const base::Result<WorkerPoll> poll = parseWorkerPoll(body);
  if (!poll) {
    this->context.respond(exchange, refusal(400, base::Verdict::DidNotRun, poll.error()));
    return;
  }
  const std::optional<control::Owner> named = this->owners.find(worker);
  const auto own = this->owned.find(worker);
  if (own != this->owned.end() && poll.value().epoch == own->second.epoch) {
    this->pollOwned(own->second, exchange, worker, poll.value());
    return;
  }
  if (!named) {
    if (this->sightings.size() >= MaxSightings && this->sightings.count(worker) == 0) {
      this->answerOther(exchange, base::NoDaemon, 0, poll.value().sequence, false);
      return;
    }
    Sighting &sighting = this->sightings[worker];
    if (sighting.held)
      this->answerOther(sighting.held->exchange, base::NoDaemon, 0, 0, false);
    if (sighting.report.id.value.empty())
      this->heartbeatDue = true;
    sighting.report.id = worker;
    sighting.report.dataCentre = poll.value().dataCentre;
    sighting.report.rack = poll.value().rack;
    sighting.report.capacity = poll.value().capacity;
    sighting.seen = this->context.now;
    sighting.held = HeldPoll{exchange, this->context.now};
    return;
  }
  this->sightings.erase(worker);
  if (named->daemon != this->context.self()) {
    this->answerOther(exchange, named->daemon, named->epoch, poll.value().sequence, false);
    return;
  }
  if (own != this->owned.end() && own->second.requests > 0) {
    // Its upstream instances may have survived: their requests must end before the ledger starts
    // anew.
    own->second.releasing = true;
    this->context.respond(exchange, refusal(503, base::Verdict::DidNotRun,
                                            {base::Errc::Unavailable, worker.value,
                                             "requests of the former run are in progress"}));
    return;
  }
  if (own != this->owned.end()) {
    // The worker restarted: it polls with another epoch than the one it had accepted. What it ran
    // is gone with its former process.
    for (const auto &[id, task] : own->second.tasks)
      this->addEvent(worker, own->second.epoch, id, task.attempt, placement::TaskEventKind::Lost);
    this->drop(worker);
  }
  const auto offered = this->offers.find(worker);
  const bool accepted = offered != this->offers.end() && poll.value().epoch == named->epoch &&
                        poll.value().sequence == offered->second.sequence;
  if (!accepted) {
    this->offer(exchange, worker, named->epoch, false);
    return;
  }
  this->adopt(worker, poll.value(), offered->second);
  this->offers.erase(worker);
  this->pollOwned(this->owned.at(worker), exchange, worker, poll.value());
}

void WorkerGateway::adopt(const base::WorkerId &id, const WorkerPoll &poll, const Offer &offer) {
  OwnedWorker worker;
  worker.epoch = poll.epoch;
  worker.lastSequence = offer.sequence;
  worker.lastAnswered = offer.sentAt;
  worker.ledger = placement::Ledger(poll.capacity);
  worker.settledAt = poll.released ? this->context.now : this->context.now + SettlingTime;
  this->owned[id] = std::move(worker);
  this->heartbeatDue = true;
  base::logEvent(base::Event::WorkerAdopted,
                 {{"worker", id.value}, {"epoch", std::to_string(poll.epoch)}});
}

void WorkerGateway::pollOwned(OwnedWorker &worker, http::ExchangeId exchange,
                              const base::WorkerId &id, const WorkerPoll &poll) {
  if (worker.held) {
    // The worker gave up its earlier poll; its connection is answered so that it closes.
    this->context.respond(worker.held->exchange, jsonResponse(409, "{}"));
    worker.held.reset();
  }
  worker.dataCentre = poll.dataCentre;
  worker.rack = poll.rack;
  worker.ledger.setCapacity(poll.capacity);
  if (poll.sequence == worker.lastSequence)
    worker.leaseUntil = worker.lastAnswered + OwnershipLease - OwnershipMargin;
  this->acknowledgeCommands(worker, poll.sequence);
  this->reconcileTasks(id, worker, poll);
  if (!worker.commands.empty()) {
    this->answerOwned(worker, exchange);
    return;
  }
  worker.held = HeldPoll{exchange, this->context.now};
}

void WorkerGateway::acknowledgeCommands(OwnedWorker &worker, std::uint64_t sequence) {
  if (sequence != worker.lastSequence)
    return;
  std::vector<Command> remaining;
  for (Command &command : worker.commands) {
    if (command.sentWith != sequence) {
      remaining.push_back(std::move(command));
      continue;
    }
    const auto task = worker.tasks.find(command.command.task);
    if (command.command.kind == WorkerCommandKind::Start && task != worker.tasks.end() &&
        task->second.attempt == command.command.attempt)
      task->second.delivered = true;
  }
  worker.commands = std::move(remaining);
}

void WorkerGateway::reconcileTasks(const base::WorkerId &id, OwnedWorker &worker,
                                   const WorkerPoll &poll) {
  std::set<Attempt> listed;
  for (const WorkerTask &task : poll.tasks) {
    listed.insert({task.id, task.attempt});
    if (task.state == WorkerTaskState::Running)
      this->noteRunning(id, worker, task);
    else
      this->noteFinished(id, worker, task);
  }
  for (auto next = worker.tasks.begin(); next != worker.tasks.end();) {
    const auto &[taskId, task] = *next;
    if (!task.delivered || listed.count({taskId, task.attempt})) {
      ++next;
      continue;
    }
    // The worker received the start and does not know the task: it restarted.
    worker.ledger.release(taskHolder(taskId));
    this->addEvent(id, worker.epoch, taskId, task.attempt, placement::TaskEventKind::Lost);
    next = worker.tasks.erase(next);
  }
  std::erase_if(worker.reported,
                [&listed](const Attempt &attempt) { return listed.count(attempt) == 0; });
}

void WorkerGateway::noteRunning(const base::WorkerId &id, OwnedWorker &worker,
                                const WorkerTask &task) {
  auto [position, added] = worker.tasks.try_emplace(task.id);
  OwnedTask &known = position->second;
  if (added || known.attempt != task.attempt) {
    worker.ledger.adopt(taskHolder(task.id), task.demand);
    known = OwnedTask{task.attempt, false, true};
  }
  known.delivered = true;
  if (known.started)
    return;
  known.started = true;
  this->addEvent(id, worker.epoch, task.id, task.attempt, placement::TaskEventKind::Started);
}

void WorkerGateway::noteFinished(const base::WorkerId &id, OwnedWorker &worker,
                                 const WorkerTask &task) {
  if (!worker.reported.insert({task.id, task.attempt}).second)
    return;
  const auto known = worker.tasks.find(task.id);
  if (known != worker.tasks.end() && known->second.attempt == task.attempt) {
    worker.ledger.release(taskHolder(task.id));
    worker.tasks.erase(known);
  }
  this->addEvent(id, worker.epoch, task.id, task.attempt, eventOf(task.state));
}

void WorkerGateway::answerOwned(OwnedWorker &worker, http::ExchangeId exchange) {
  WorkerAnswer answer;
  answer.owner = this->context.self();
  answer.host = this->context.config.self().address;
  answer.port = this->context.config.self().httpPort;
  answer.epoch = worker.epoch;
  answer.sequence = ++this->lastSequence;
  answer.leaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(TaskLease).count();
  answer.contactMs = this->contactMs();
  for (Command &command : worker.commands) {
    command.sentWith = answer.sequence;
    answer.commands.push_back(command.command);
  }
  worker.lastSequence = answer.sequence;
  worker.lastAnswered = this->context.now;
  this->context.respond(exchange, jsonResponse(200, formatWorkerAnswer(answer)));
}

void WorkerGateway::answerHeldPoll(OwnedWorker &worker) {
  if (!worker.held)
    return;
  const http::ExchangeId exchange = worker.held->exchange;
  worker.held.reset();
  this->answerOwned(worker, exchange);
}

void WorkerGateway::answerOther(http::ExchangeId exchange, base::DaemonId owner,
                                std::uint64_t epoch, std::uint64_t sequence, bool released) {
  WorkerAnswer answer;
  answer.owner = owner;
  answer.epoch = epoch;
  answer.sequence = sequence;
  answer.released = released;
  if (const Peer *peer = this->context.config.find(owner)) {
    answer.host = peer->address;
    answer.port = peer->httpPort;
  }
  this->context.respond(exchange, jsonResponse(200, formatWorkerAnswer(answer)));
}

void WorkerGateway::offer(http::ExchangeId exchange, const base::WorkerId &id, std::uint64_t epoch,
                          bool released) {
  Offer &offered = this->offers[id];
  offered = {++this->lastSequence, this->context.now};
  this->answerOther(exchange, this->context.self(), epoch, offered.sequence, released);
}

void WorkerGateway::onDisconnect(http::ExchangeId exchange) {
  for (auto &[id, worker] : this->owned) {
    if (worker.held && worker.held->exchange == exchange)
      worker.held.reset();
  }
  for (auto &[id, sighting] : this->sightings) {
    if (sighting.held && sighting.held->exchange == exchange)
      sighting.held.reset();
  }
}

void WorkerGateway::onStartTask(const wire::StartTask &command) {
  const auto own = this->owned.find(command.worker);
  if (own == this->owned.end() || own->second.epoch != command.epoch)
    return;
  OwnedWorker &worker = own->second;
  const auto known = worker.tasks.find(command.task);
  if (known != worker.tasks.end() && known->second.attempt == command.attempt) {
    if (known->second.started)
      this->addEvent(command.worker, worker.epoch, command.task, command.attempt,
                     placement::TaskEventKind::Started);
    return;
  }
  if (worker.reported.count({command.task, command.attempt}) ||
      this->isClosed(command.task, command.attempt))
    return;
  if (command.confirmOnly) {
    this->addEvent(command.worker, worker.epoch, command.task, command.attempt,
                   placement::TaskEventKind::Lost);
    return;
  }
  if (!this->mayStart(command.worker) ||
      !worker.ledger.reserve(taskHolder(command.task), command.demand)) {
    this->closeAttempt(command.task, command.attempt);
    this->addEvent(command.worker, worker.epoch, command.task, command.attempt,
                   placement::TaskEventKind::Refused);
    return;
  }
  worker.tasks[command.task] = {command.attempt, false, false};
  this->addCommand(worker, {WorkerCommandKind::Start, command.task, command.attempt, command.demand,
                            command.moveOnIsolation, command.spec});
}

void WorkerGateway::onStopTask(const wire::StopTask &command) {
  const auto own = this->owned.find(command.worker);
  if (own == this->owned.end() || own->second.epoch != command.epoch)
    return;
  OwnedWorker &worker = own->second;
  if (worker.reported.count({command.task, command.attempt}))
    return;
  const auto known = worker.tasks.find(command.task);
  if (known == worker.tasks.end() || known->second.attempt != command.attempt) {
    if (this->isClosed(command.task, command.attempt))
      return;
    this->closeAttempt(command.task, command.attempt);
    this->addEvent(command.worker, worker.epoch, command.task, command.attempt,
                   placement::TaskEventKind::Stopped);
    return;
  }
  if (command.checkpoint)
    this->addCommand(worker,
                     {WorkerCommandKind::Checkpoint, command.task, command.attempt, {}, true, ""});
  this->addCommand(worker, {WorkerCommandKind::Stop, command.task, command.attempt, {}, true, ""});
}

void WorkerGateway::addCommand(OwnedWorker &worker, WorkerCommand command) {
  for (const Command &waiting : worker.commands) {
    if (waiting.command == command)
      return;
  }
  worker.commands.push_back({std::move(command), 0});
  this->answerHeldPoll(worker);
}

void WorkerGateway::addEvent(const base::WorkerId &worker, std::uint64_t epoch,
                             const base::TaskId &task, std::uint32_t attempt,
                             placement::TaskEventKind kind) {
  const wire::TaskReport report{{task, attempt, kind}, worker, epoch};
  if (std::find(this->events.begin(), this->events.end(), report) == this->events.end())
    this->events.push_back(report);
}

void WorkerGateway::closeAttempt(const base::TaskId &task, std::uint32_t attempt) {
  auto [position, added] = this->closed.try_emplace(task, attempt);
  position->second = std::max(position->second, attempt);
  if (!added)
    return;
  this->closedOrder.push_back(task);
  if (this->closedOrder.size() <= MaxClosed)
    return;
  this->closed.erase(this->closedOrder.front());
  this->closedOrder.pop_front();
}

bool WorkerGateway::isClosed(const base::TaskId &task, std::uint32_t attempt) const {
  const auto known = this->closed.find(task);
  return known != this->closed.end() && known->second >= attempt;
}

void WorkerGateway::onEventsAck(const wire::TaskEventsAck &ack) {
  if (ack.sequence != this->eventSequence || this->eventsInFlight == 0)
    return;
  for (std::size_t i = 0; i < this->eventsInFlight; ++i) {
    this->forget(this->events.front());
    this->events.pop_front();
  }
  this->eventsInFlight = 0;
  ++this->eventSequence;
}

void WorkerGateway::forget(const wire::TaskReport &report) {
  const auto own = this->owned.find(report.worker);
  if (own == this->owned.end() ||
      own->second.reported.count({report.event.task, report.event.attempt}) == 0)
    return;
  this->addCommand(
      own->second,
      {WorkerCommandKind::Forget, report.event.task, report.event.attempt, {}, true, ""});
}

void WorkerGateway::onHeartbeatAck(const wire::HeartbeatAck &ack) {
  const auto sent = this->heartbeatsSent.find(ack.sequence);
  if (sent == this->heartbeatsSent.end())
    return;
  if (ack.needsComplete) {
    this->heartbeatDue = true;
    this->reportedTo = base::NoDaemon;
    return;
  }
  this->contactUntil = std::max(this->contactUntil, sent->second + ContactLease);
  this->acknowledgedHeartbeat = std::max(this->acknowledgedHeartbeat, ack.sequence);
  this->heartbeatsSent.erase(this->heartbeatsSent.begin(), std::next(sent));
}

void WorkerGateway::tick(const settings::Tree &settings, base::DaemonId leader) {
  this->owners.refresh(settings);
  const bool due = this->context.now - this->lastHeartbeat >= HeartbeatInterval;
  if (leader != base::NoDaemon && (due || this->heartbeatDue))
    this->sendHeartbeat(leader);
  if (leader != base::NoDaemon)
    this->sendEvents(leader);
  this->checkSilence();
  this->answerHeld();
  this->answerSightings();
}

void WorkerGateway::sendHeartbeat(base::DaemonId leader) {
  this->heartbeatDue = false;
  this->lastHeartbeat = this->context.now;
  wire::Heartbeat heartbeat;
  heartbeat.sequence = ++this->heartbeatSequence;
  heartbeat.stopping = this->stopping;
  this->addWorkers(heartbeat, leader);
  for (const auto &[id, sighting] : this->sightings)
    heartbeat.unowned.push_back(sighting.report);
  this->heartbeatsSent[heartbeat.sequence] = this->context.now;
  if (this->heartbeatsSent.size() > MaxHeartbeatsInFlight)
    this->heartbeatsSent.erase(this->heartbeatsSent.begin());
  this->context.send(leader, std::move(heartbeat));
}

void WorkerGateway::addWorkers(wire::Heartbeat &heartbeat, base::DaemonId leader) {
  // After a lost heartbeat or acknowledgement it is not known what the leader holds.
  heartbeat.complete =
      leader != this->reportedTo || this->acknowledgedHeartbeat + 1 != heartbeat.sequence;
  if (heartbeat.complete)
    this->reportedWorkers.clear();
  this->reportedTo = leader;
  for (const auto &[id, worker] : this->owned) {
    wire::WorkerReport current = this->report(id, worker);
    wire::WorkerReport &reported = this->reportedWorkers[id];
    if (current == reported)
      continue;
    reported = current;
    heartbeat.workers.push_back(std::move(current));
  }
  std::erase_if(this->reportedWorkers, [this, &heartbeat](const auto &entry) {
    if (this->owned.count(entry.first))
      return false;
    heartbeat.removed.push_back(entry.first);
    return true;
  });
}

wire::WorkerReport WorkerGateway::report(const base::WorkerId &id,
                                         const OwnedWorker &worker) const {
  const base::Resources capacity = worker.ledger.capacity();
  return {id,
          worker.dataCentre,
          worker.rack,
          capacity,
          roundUpLoad(worker.requestLoad, capacity),
          worker.epoch,
          this->isOwner(id)};
}

void WorkerGateway::sendEvents(base::DaemonId leader) {
  if (this->events.empty())
    return;
  const bool resend = this->eventsInFlight > 0;
  if (resend && this->context.now - this->eventsSent < EventResend)
    return;
  if (!resend)
    this->eventsInFlight = std::min(this->events.size(), MaxEventsPerBatch);
  this->eventsSent = this->context.now;
  const auto end = this->events.begin() + static_cast<long>(this->eventsInFlight);
  this->context.send(leader, wire::TaskEvents{this->eventSequence, {this->events.begin(), end}});
}

void WorkerGateway::checkSilence() {
  std::vector<base::WorkerId> lost;
  for (const auto &[id, worker] : this->owned) {
    if (!worker.held && this->context.now - worker.lastAnswered >= TaskLost)
      lost.push_back(id);
  }
  for (const base::WorkerId &id : lost) {
    const OwnedWorker &worker = this->owned.at(id);
    for (const auto &[taskId, task] : worker.tasks)
      this->addEvent(id, worker.epoch, taskId, task.attempt, placement::TaskEventKind::Lost);
    base::logEvent(base::Event::WorkerLost, {{"worker", id.value}});
    this->drop(id);
  }
  std::erase_if(this->sightings, [this](const auto &entry) {
    return !entry.second.held && this->context.now - entry.second.seen >= SightingTimeout;
  });
}

void WorkerGateway::answerHeld() {
  std::vector<base::WorkerId> released;
  for (auto &[id, worker] : this->owned) {
    const std::optional<control::Owner> named = this->owners.find(id);
    const bool moved = named && named->epoch > worker.epoch;
    worker.releasing = worker.releasing || moved;
    if (!worker.held)
      continue;
    const base::Duration held = this->context.now - worker.held->since;
    if (moved && worker.requests == 0) {
      this->answerOther(worker.held->exchange, named->daemon, named->epoch, worker.lastSequence,
                        true);
      released.push_back(id);
      continue;
    }
    if (held >= PollHold || (moved && held >= ReleaseHold))
      this->answerHeldPoll(worker);
  }
  for (const base::WorkerId &id : released)
    this->drop(id);
}

void WorkerGateway::answerSightings() {
  for (auto next = this->sightings.begin(); next != this->sightings.end();) {
    auto &[id, sighting] = *next;
    const std::optional<control::Owner> named = this->owners.find(id);
    if (!sighting.held) {
      next = named ? this->sightings.erase(next) : std::next(next);
      continue;
    }
    const http::ExchangeId exchange = sighting.held->exchange;
    if (named && named->daemon == this->context.self()) {
      this->offer(exchange, id, named->epoch, false);
      next = this->sightings.erase(next);
      continue;
    }
    if (named || this->context.now - sighting.held->since >= SightingHold) {
      this->answerOther(exchange, named ? named->daemon : base::NoDaemon, named ? named->epoch : 0,
                        0, false);
      sighting.held.reset();
    }
    ++next;
  }
}

void WorkerGateway::drop(const base::WorkerId &id) {
  this->owned.erase(id);
  this->heartbeatDue = true;
  if (this->onDropped)
    this->onDropped(id);
}

bool WorkerGateway::isOwner(const base::WorkerId &worker) const {
  const auto own = this->owned.find(worker);
  return own != this->owned.end() && this->context.now < own->second.leaseUntil;
}

bool WorkerGateway::mayStart(const base::WorkerId &worker) const {
  if (!this->isOwner(worker) || this->stopping)
    return false;
  const OwnedWorker &own = this->owned.at(worker);
  return !own.releasing && this->context.now >= own.settledAt;
}

void WorkerGateway::noteInherited(const base::WorkerId &worker, const base::UpstreamId &upstream,
                                  const base::Resources &demand) {
  const auto own = this->owned.find(worker);
  if (own == this->owned.end())
    return;
  const std::string holder = "inherited:" + upstream.value;
  own->second.ledger.release(holder);
  if (demand != base::Resources{})
    own->second.ledger.adopt(holder, demand);
}

bool WorkerGateway::reserveForRequest(const base::WorkerId &worker, const std::string &holder,
                                      const base::Resources &demand) {
  if (!this->mayStart(worker))
    return false;
  OwnedWorker &own = this->owned.at(worker);
  if (!own.ledger.reserve(holder, demand))
    return false;
  own.requestLoad = own.requestLoad + demand;
  ++own.requests;
  return true;
}

void WorkerGateway::releaseRequest(const base::WorkerId &worker, const std::string &holder) {
  const auto own = this->owned.find(worker);
  if (own == this->owned.end())
    return;
  const std::optional<base::Resources> demand = own->second.ledger.reservation(holder);
  if (!demand)
    return;
  own->second.ledger.release(holder);
  own->second.requestLoad = own->second.requestLoad - *demand;
  --own->second.requests;
}

std::int64_t WorkerGateway::contactMs() const {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->contactUntil - this->context.now);
  return std::max<std::int64_t>(0, left.count());
}

} // namespace banyanrill::daemon
