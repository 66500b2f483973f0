// Executes the leader's orders: calls to workers, and to the advisory service through any node.
#include "NodeState.h"
#include "WorkerLog.h"
#include "banyanrill/base/EventLog.h"
#include "banyanrill/base/Hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace banyanrill::node {

namespace {

/// Nodes that sent a heartbeat within this time may call the advisory service.
constexpr base::Duration AdviserTimeout = std::chrono::milliseconds(1300);

/// Added to the expected duration of an advisory call, for delays at the service and in the
/// network.
constexpr base::Duration AdviceMargin = std::chrono::milliseconds(700);

/// A leader with more workers than this sends its orders through other nodes with a disk: with one
/// HTTP exchange per order its CPU would be overloaded.
constexpr std::size_t MaxDirectWorkers = 128;

/// Concurrent calls with relayed orders or answers to one node.
constexpr std::uint32_t MaxRelayCalls = 2;

constexpr base::Duration RelayTimeout = std::chrono::milliseconds(700);

/// An answer that a relay has not returned within this time is lost. Covers a worker's time limit
/// and the network in both directions; the time that a hold waits is added.
constexpr base::Duration RelayedOrderTimeout = std::chrono::milliseconds(1500);

/// Answers queued for a leader that does not accept them; further ones are dropped and count as
/// lost.
constexpr std::size_t MaxAnswers = 4096;

/// Interval of the lines that show how full the workers are.
constexpr base::Duration LoadLogInterval = std::chrono::seconds(1);

std::string_view nameOf(const jobs::WorkerOrder &order) {
  static constexpr std::array<std::string_view, 4> Names = {"start", "stop", "hold", "pace"};
  return Names.at(order.index());
}

jobs::OrderId idOf(const jobs::WorkerOrder &order) {
  return std::visit([](const auto &typed) { return typed.id; }, order);
}

const jobs::OrderTarget &targetOf(const jobs::WorkerOrder &order) {
  return std::visit([](const auto &typed) -> const jobs::OrderTarget & { return typed.target; },
                    order);
}

} // namespace

void Node::State::execute(jobs::Action action) {
  std::visit([this](const auto &typed) { this->executeTyped(typed); }, action);
}

void Node::State::executeTyped(const jobs::Command &command) { this->group->propose(command); }

void Node::State::callWorker(const jobs::WorkerOrder &order,
                             std::function<void(jobs::WorkerAnswer)> done) {
  http::Call request;
  const bool isHold = std::holds_alternative<jobs::RenewLeaseOrder>(order);
  if (const auto *start = std::get_if<jobs::StartOrder>(&order))
    request = this->adapter.encodeStart(*start);
  else if (const auto *stop = std::get_if<jobs::StopOrder>(&order))
    request = this->adapter.encodeStop(*stop);
  else if (const auto *pace = std::get_if<jobs::ThrottleOrder>(&order))
    request = this->adapter.encodePace(*pace);
  else
    request = this->adapter.encodeHold(std::get<jobs::RenewLeaseOrder>(order));
  this->call(std::move(request), [this, order, isHold, sent = this->now,
                                  done = std::move(done)](const http::CallResult &result) {
    const jobs::WorkerAnswer answer =
        isHold ? jobs::WorkerAnswer(this->adapter.decodeHoldAnswer(result))
               : jobs::WorkerAnswer(this->adapter.decodeOrderAnswer(result));
    if (result.verdict == base::Verdict::Ran)
      this->metrics.orderTimes[std::string(nameOf(order))].note(this->now - sent);
    logOrder(order, answer);
    done(answer);
  });
}

void Node::State::onWorkerAnswer(jobs::OrderId id, bool isStart, const jobs::WorkerAnswer &answer) {
  if (!this->dispatcher)
    return;
  if (const auto *hold = std::get_if<jobs::RenewLeaseAnswer>(&answer))
    this->dispatcher->onRenewLeaseAnswer(id, *hold, this->now);
  else if (isStart)
    this->dispatcher->onStartAnswer(id, std::get<jobs::OrderAnswer>(answer), this->now);
  else
    this->dispatcher->onStopAnswer(id, std::get<jobs::OrderAnswer>(answer), this->now);
}

base::DaemonId Node::State::relayFor(const std::string &worker) const {
  if (this->group->table().state().workers.size() <= MaxDirectWorkers || this->relays.empty())
    return base::NoDaemon;
  // Rendezvous hashing: when a relay comes or goes, only its own workers change theirs.
  const std::uint64_t workerHash = base::stableHash(worker);
  base::DaemonId chosen = base::NoDaemon;
  std::uint64_t highest = 0;
  for (const auto &[id, queue] : this->relays) {
    const std::uint64_t weight = base::mixBits(workerHash ^ id);
    if (chosen != base::NoDaemon && weight <= highest)
      continue;
    chosen = id;
    highest = weight;
  }
  return chosen;
}

void Node::State::sendOrder(jobs::WorkerOrder order) {
  const jobs::OrderId id = idOf(order);
  const bool isStart = std::holds_alternative<jobs::StartOrder>(order);
  const base::DaemonId relay = this->relayFor(targetOf(order).worker);
  if (relay == base::NoDaemon) {
    this->callWorker(order, [this, id, isStart](const jobs::WorkerAnswer &answer) {
      this->onWorkerAnswer(id, isStart, answer);
    });
    return;
  }
  RelayedOrder &waiting = this->relayed[id];
  waiting.isStart = isStart;
  waiting.isHold = std::holds_alternative<jobs::RenewLeaseOrder>(order);
  waiting.expires = this->now + RelayedOrderTimeout;
  if (const auto *hold = std::get_if<jobs::RenewLeaseOrder>(&order))
    waiting.expires += std::chrono::milliseconds(hold->waitMs);
  this->relays[relay].push_back(std::move(order));
}

void Node::State::sendRelayed() {
  if (!this->dispatcher)
    return;
  const std::uint64_t term = this->group->term();
  for (auto &[id, orders] : this->relays) {
    const membership::PeerRecord *peer = this->peerDirectory->find(id);
    std::uint32_t &inFlight = this->relayCallsInFlight[id];
    if (orders.empty() || inFlight >= MaxRelayCalls || peer == nullptr)
      continue;
    ++inFlight;
    wire::RelayedOrders batch{term, this->peerDirectory->self().address, std::exchange(orders, {})};
    this->callPeer(peer->address, batch, RelayTimeout,
                   [this, id = id](base::Verdict /*verdict*/,
                                   const std::optional<wire::PeerReply> & /*reply*/) {
                     // Undelivered orders expire like unanswered ones.
                     --this->relayCallsInFlight[id];
                   });
  }
}

void Node::State::expireRelayed() {
  std::vector<std::pair<jobs::OrderId, RelayedOrder>> expired;
  for (const auto &[id, order] : this->relayed) {
    if (this->now >= order.expires)
      expired.emplace_back(id, order);
  }
  for (const auto &[id, order] : expired) {
    this->relayed.erase(id);
    this->onWorkerAnswer(id, order.isStart,
                         order.isHold ? jobs::WorkerAnswer(jobs::RenewLeaseAnswer())
                                      : jobs::WorkerAnswer(jobs::OrderAnswer()));
  }
}

void Node::State::answerPeer(http::ExchangeId exchange, const wire::RelayedOrders &relayedOrders) {
  this->respondPeer(exchange, wire::Acknowledgement());
  if (relayedOrders.term < this->answers.answers.term)
    return; // Workers would reject a former leader's orders by their fencing token.
  if (relayedOrders.term > this->answers.answers.term) {
    this->answers.answers.answers.clear();
    this->answers.answers.term = relayedOrders.term;
  }
  this->answers.address = relayedOrders.replyAddress;
  for (const jobs::WorkerOrder &order : relayedOrders.orders) {
    this->callWorker(order, [this, id = idOf(order),
                             term = relayedOrders.term](const jobs::WorkerAnswer &answer) {
      std::vector<std::pair<jobs::OrderId, jobs::WorkerAnswer>> &waiting =
          this->answers.answers.answers;
      if (term == this->answers.answers.term && waiting.size() < MaxAnswers)
        waiting.emplace_back(id, answer);
    });
  }
}

void Node::State::answerPeer(http::ExchangeId exchange,
                             const wire::RelayedAnswers &relayedAnswers) {
  this->respondPeer(exchange, wire::Acknowledgement());
  if (!this->dispatcher || relayedAnswers.term != this->group->term())
    return;
  for (const auto &[id, answer] : relayedAnswers.answers) {
    const auto found = this->relayed.find(id);
    if (found == this->relayed.end() ||
        found->second.isHold != std::holds_alternative<jobs::RenewLeaseAnswer>(answer))
      continue;
    const bool isStart = found->second.isStart;
    this->relayed.erase(found);
    this->onWorkerAnswer(id, isStart, answer);
  }
}

void Node::State::sendAnswers() {
  if (this->answers.answers.answers.empty() || this->answers.callsInFlight >= MaxRelayCalls)
    return;
  ++this->answers.callsInFlight;
  wire::RelayedAnswers batch{this->answers.answers.term,
                             std::exchange(this->answers.answers.answers, {})};
  this->callPeer(
      this->answers.address, batch, RelayTimeout,
      [this](base::Verdict /*verdict*/, const std::optional<wire::PeerReply> & /*reply*/) {
        --this->answers.callsInFlight;
      });
}

void Node::State::askAdvice(const wire::AdviceRequest &ask,
                            std::function<void(jobs::AdviceAnswer)> done) {
  http::Call request = this->adapter.encodeAdviceRequest(ask);
  request.timeout = std::chrono::milliseconds(ask.expectedMs) + AdviceMargin;
  this->call(std::move(request), [this, done = std::move(done)](const http::CallResult &result) {
    done(this->adapter.decodeAdviceAnswer(result));
  });
}

void Node::State::executeTyped(const jobs::AdviceOrder &order) {
  const wire::AdviceRequest ask{order.step, order.workers, order.expectedMs};
  const auto report = [this, order](const jobs::AdviceAnswer &answer) {
    base::logEvent(base::Event::AdviceAnswered,
                   {{"job", order.step.job},
                    {"step", std::to_string(order.step.step)},
                    {"through", std::to_string(order.daemon)},
                    {"asked", std::to_string(order.workers.size())},
                    {"good", std::to_string(answer.tickets.size())},
                    {"outcome", answer.answered ? "answered" : "failed"}});
    if (this->dispatcher)
      this->dispatcher->onAdviceAnswer(order.id, answer, this->now);
  };
  if (order.daemon == this->peerDirectory->self().id) {
    this->askAdvice(ask, report);
    return;
  }
  const membership::PeerRecord *peer = this->peerDirectory->find(order.daemon);
  if (peer == nullptr) {
    report({});
    return;
  }
  const base::Duration timeout = std::chrono::milliseconds(order.expectedMs) + 2 * AdviceMargin;
  this->callPeer(peer->address, ask, timeout,
                 [report](base::Verdict /*verdict*/, std::optional<wire::PeerReply> reply) {
                   const auto *answer = reply ? std::get_if<jobs::AdviceAnswer>(&*reply) : nullptr;
                   report(answer != nullptr ? *answer : jobs::AdviceAnswer());
                 });
}

void Node::State::logWorkers() const {
  for (const jobs::WorkerDecision &decision : this->dispatcher->takeWorkerDecisions())
    logDecision(decision);
}

void Node::State::logGangs() const {
  const auto milliseconds = [](base::Duration duration) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
  };
  for (const jobs::GangDecision &decision : this->dispatcher->takeGangDecisions())
    base::logEvent(base::Event::GangDecided,
                   {{"job", decision.step.job},
                    {"step", std::to_string(decision.step.step)},
                    {"queue", decision.queue},
                    {"outcome", std::string(jobs::nameOf(decision.outcome))},
                    {"members", std::to_string(decision.members)},
                    {"tier", std::to_string(decision.tier)},
                    {"waited_ms", milliseconds(decision.waited)},
                    {"position", std::to_string(decision.position)},
                    {"permitted", std::to_string(decision.permitted)},
                    {"places", std::to_string(decision.places)},
                    {"starts_in_ms", milliseconds(decision.startsIn)}});
  for (const jobs::PlacementWait &wait : this->dispatcher->takePlacementWaits())
    base::logEvent(
        base::Event::PlacementWaited,
        {{"job", wait.step.job},
         {"occurrence", std::to_string(wait.step.occurrence)},
         {"step", std::to_string(wait.step.step)},
         {"queue", wait.queue},
         {"rack", wait.rack},
         {"outcome", wait.outcome == jobs::WaitOutcome::Reached ? "reached" : "given_up"},
         {"reason", wait.reason},
         {"waited_ms", milliseconds(wait.waited)}});
}

void Node::State::logLimits() const {
  for (const jobs::LimitDecision &decision : this->dispatcher->takeLimitDecisions()) {
    const bool isLowered = decision.change == jobs::LimitChange::BelowUse;
    base::logEvent(isLowered ? base::Event::WorkspaceLimitLowered : base::Event::WorkspaceAtLimit,
                   {{"workspace", decision.workspace},
                    {"change", std::string(jobs::nameOf(decision.change))},
                    {"used_millicores", std::to_string(decision.use.millicores)},
                    {"limit_millicores", std::to_string(decision.limit.millicores)},
                    {"used_mib", std::to_string(decision.use.memoryMib)},
                    {"limit_mib", std::to_string(decision.limit.memoryMib)},
                    {"used_accelerators", std::to_string(decision.use.accelerators)},
                    {"limit_accelerators", std::to_string(decision.limit.accelerators)},
                    {"tasks_held", std::to_string(decision.held)}});
  }
}

void Node::State::logLoad() {
  if (this->now < this->nextLoadLog)
    return;
  this->nextLoadLog = this->now + LoadLogInterval;
  const jobs::CellLoad load = this->dispatcher->load(this->now);
  const jobs::DispatcherCounters counters = this->dispatcher->counters();
  const auto gangs = [&counters](jobs::GangOutcome outcome) {
    return std::to_string(counters.gangs.at(static_cast<std::size_t>(outcome)));
  };
  base::logEvent(base::Event::CellLoad,
                 {{"workers", std::to_string(load.workers)},
                  {"capacity", std::to_string(load.capacity)},
                  {"used", std::to_string(load.used)},
                  {"reserved", std::to_string(load.reserved)},
                  {"waiting_tasks", std::to_string(load.waitingTasks)},
                  {"waiting_members", std::to_string(load.waitingMembers)},
                  {"idle_advisers", std::to_string(load.idleAdvisers)},
                  {"advice_calls", std::to_string(counters.adviceCalls)},
                  {"gangs_placed", gangs(jobs::GangOutcome::Placed)},
                  {"passed_over", gangs(jobs::GangOutcome::PassedOver)},
                  {"too_few_places", gangs(jobs::GangOutcome::TooFewPlaces)},
                  {"room_in_use", gangs(jobs::GangOutcome::RoomInUse)},
                  {"tickets_expired", gangs(jobs::GangOutcome::TicketsExpired)},
                  {"room_reserved", gangs(jobs::GangOutcome::RoomReserved)},
                  {"over_limit", gangs(jobs::GangOutcome::OverLimit)}});
  this->logLoadRefusals();
}

void Node::State::logLoadRefusals() {
  std::uint64_t total = 0;
  for (const auto &[key, count] : this->metrics.loadRefusals)
    total += count;
  if (total == this->loggedLoadRefusals)
    return;
  const jobs::AdmissionLoad load = this->dispatcher->admissionLoad(this->now);
  double inTime = 0;
  double late = 0;
  double arriving = 0;
  for (const auto &[priority, work] : load.byPriority) {
    inTime += work.inTime;
    late += work.late;
    arriving += work.arriving;
  }
  const auto whole = [](double value) { return std::to_string(std::llround(value)); };
  base::logEvent(base::Event::LoadRefusals,
                 {{"refused", std::to_string(total - this->loggedLoadRefusals)},
                  {"capacity", whole(load.capacity)},
                  {"running", whole(load.running)},
                  {"rate", whole(load.rate)},
                  {"arriving", whole(arriving)},
                  {"waiting_ms", whole(inTime / std::max(load.capacity, 1.0))},
                  {"late_ms", whole(late / std::max(load.capacity, 1.0))}});
  this->loggedLoadRefusals = total;
}

void Node::State::updateAdvisers() {
  if (!this->dispatcher)
    return;
  std::vector<base::DaemonId> advisers = {this->peerDirectory->self().id};
  for (const membership::PeerRecord &peer :
       this->peerDirectory->livePeers(this->now, AdviserTimeout)) {
    if (!peer.stopping)
      advisers.push_back(peer.id);
  }
  this->dispatcher->setAdvisoryDaemons(advisers);
  std::map<base::DaemonId, std::vector<jobs::WorkerOrder>> next;
  for (const membership::PeerRecord &peer :
       this->peerDirectory->livePeers(this->now, AdviserTimeout)) {
    if (!peer.stopping && peer.hasDisk)
      next[peer.id] = std::move(this->relays[peer.id]);
  }
  // Orders queued for a removed relay expire.
  this->relays = std::move(next);
}

} // namespace banyanrill::node
