// Carries out the leader's orders: calls to workers, and to the advisory service through any node.
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

#include <array>

namespace banyanrill::node {

namespace {

/// Nodes that greeted within this time can ask the advisory service.
constexpr base::Duration AdviserLife = std::chrono::milliseconds(1300);

/// Added to the expected time of an advisory call, at the service and on the way.
constexpr base::Duration AdviceMargin = std::chrono::milliseconds(700);

/// A leader with more workers than this lets other nodes with a disk give its orders: with one
/// exchange for each order its processor would not suffice.
constexpr std::size_t MaxDirectWorkers = 128;

/// Calls with relayed orders or answers to one node at the same time.
constexpr std::uint32_t MaxRelayCalls = 2;

constexpr base::Duration RelayTimeout = std::chrono::milliseconds(700);

/// An answer that a relay has not passed back by then is lost: a worker's time limit, the time that
/// a hold waits, and two ways.
constexpr base::Duration RelayedLife = std::chrono::milliseconds(1500);

/// Answers kept for a leader that does not take them; the oldest are dropped and count as lost.
constexpr std::size_t MaxAnswers = 4096;

void logOrder(const jobs::WorkerOrder &order, const jobs::WorkerAnswer &answer) {
  const auto outcome = std::visit([](const auto &typed) { return typed.outcome; }, answer);
  const std::string text(jobs::nameOf(outcome));
  const auto logRun = [&text](base::Event event, const jobs::RunKey &run,
                              const std::string &worker) {
    base::logEvent(event, {{"job", run.task.job},
                           {"step", std::to_string(run.task.step)},
                           {"task", std::to_string(run.task.index)},
                           {"run", std::to_string(run.run)},
                           {"worker", worker},
                           {"outcome", text}});
  };
  if (const auto *start = std::get_if<jobs::StartOrder>(&order))
    logRun(base::Event::RunOrdered, start->run, start->target.worker);
  else if (const auto *stop = std::get_if<jobs::StopOrder>(&order))
    logRun(base::Event::RunStopOrdered, stop->run, stop->target.worker);
  else if (const auto *hold = std::get_if<jobs::HoldOrder>(&order);
           hold != nullptr && outcome != jobs::OrderOutcome::Accepted)
    base::logEvent(base::Event::WorkerNotHeld,
                   {{"worker", hold->target.worker}, {"outcome", text}});
}

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

void Node::State::carryOut(jobs::Action action) {
  std::visit([this](const auto &typed) { this->carryOutTyped(typed); }, action);
}

void Node::State::carryOutTyped(const jobs::Command &command) { this->group->propose(command); }

void Node::State::giveOrder(const jobs::WorkerOrder &order,
                            std::function<void(jobs::WorkerAnswer)> done) {
  http::Call request;
  const bool isHold = std::holds_alternative<jobs::HoldOrder>(order);
  if (const auto *start = std::get_if<jobs::StartOrder>(&order))
    request = this->dialect.start(*start);
  else if (const auto *stop = std::get_if<jobs::StopOrder>(&order))
    request = this->dialect.stop(*stop);
  else if (const auto *pace = std::get_if<jobs::PaceOrder>(&order))
    request = this->dialect.pace(*pace);
  else
    request = this->dialect.hold(std::get<jobs::HoldOrder>(order));
  this->call(std::move(request), [this, order, isHold, sent = this->now,
                                  done = std::move(done)](const http::CallResult &result) {
    const jobs::WorkerAnswer answer = isHold
                                          ? jobs::WorkerAnswer(this->dialect.holdAnswer(result))
                                          : jobs::WorkerAnswer(this->dialect.orderAnswer(result));
    if (result.verdict == base::Verdict::Ran)
      this->figures.orderTimes[std::string(nameOf(order))].note(this->now - sent);
    logOrder(order, answer);
    done(answer);
  });
}

void Node::State::onWorkerAnswer(jobs::OrderId id, bool isStart, const jobs::WorkerAnswer &answer) {
  if (!this->dispatcher)
    return;
  if (const auto *hold = std::get_if<jobs::HoldAnswer>(&answer))
    this->dispatcher->onHoldAnswer(id, *hold, this->now);
  else if (isStart)
    this->dispatcher->onStartAnswer(id, std::get<jobs::OrderAnswer>(answer), this->now);
  else
    this->dispatcher->onStopAnswer(id, std::get<jobs::OrderAnswer>(answer), this->now);
}

base::DaemonId Node::State::relayFor(const std::string &worker) const {
  if (this->group->table().state().workers.size() <= MaxDirectWorkers || this->relays.empty())
    return base::NoDaemon;
  auto relay = this->relays.begin();
  std::advance(relay,
               static_cast<std::ptrdiff_t>(std::hash<std::string>{}(worker) % this->relays.size()));
  return relay->first;
}

void Node::State::orderWorker(jobs::WorkerOrder order) {
  const jobs::OrderId id = idOf(order);
  const bool isStart = std::holds_alternative<jobs::StartOrder>(order);
  const base::DaemonId relay = this->relayFor(targetOf(order).worker);
  if (relay == base::NoDaemon) {
    this->giveOrder(order, [this, id, isStart](const jobs::WorkerAnswer &answer) {
      this->onWorkerAnswer(id, isStart, answer);
    });
    return;
  }
  RelayedOrder &waiting = this->relayed[id];
  waiting.isStart = isStart;
  waiting.isHold = std::holds_alternative<jobs::HoldOrder>(order);
  waiting.expires = this->now + RelayedLife;
  if (const auto *hold = std::get_if<jobs::HoldOrder>(&order))
    waiting.expires += std::chrono::milliseconds(hold->waitMs);
  this->relays[relay].orders.push_back(std::move(order));
}

void Node::State::sendRelayed() {
  if (!this->dispatcher)
    return;
  const std::uint64_t term = this->group->term();
  for (auto &[id, queue] : this->relays) {
    const membership::PeerRecord *peer = this->roster->find(id);
    if (queue.orders.empty() || queue.sending >= MaxRelayCalls || peer == nullptr)
      continue;
    ++queue.sending;
    wire::RelayedOrders batch{term, this->roster->self().address, std::exchange(queue.orders, {})};
    this->callPeer(peer->address, batch, RelayTimeout,
                   [this, id = id](base::Verdict /*verdict*/,
                                   const std::optional<wire::PeerReply> & /*reply*/) {
                     // Orders that did not arrive expire like those without an answer.
                     if (const auto found = this->relays.find(id);
                         found != this->relays.end() && found->second.sending > 0)
                       --found->second.sending;
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
                         order.isHold ? jobs::WorkerAnswer(jobs::HoldAnswer())
                                      : jobs::WorkerAnswer(jobs::OrderAnswer()));
  }
}

void Node::State::answerPeer(http::ExchangeId exchange, const wire::RelayedOrders &relayedOrders) {
  this->respondPeer(exchange, wire::Acknowledgement());
  if (relayedOrders.term < this->answers.answers.term)
    return; // An earlier leader's orders would only meet the fence.
  if (relayedOrders.term > this->answers.answers.term) {
    this->answers.answers.answers.clear();
    this->answers.answers.term = relayedOrders.term;
  }
  this->answers.address = relayedOrders.replyAddress;
  for (const jobs::WorkerOrder &order : relayedOrders.orders) {
    this->giveOrder(order, [this, id = idOf(order),
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
        found->second.isHold != std::holds_alternative<jobs::HoldAnswer>(answer))
      continue;
    const bool isStart = found->second.isStart;
    this->relayed.erase(found);
    this->onWorkerAnswer(id, isStart, answer);
  }
}

void Node::State::sendAnswers() {
  if (this->answers.answers.answers.empty() || this->answers.sending >= MaxRelayCalls)
    return;
  ++this->answers.sending;
  wire::RelayedAnswers batch{this->answers.answers.term,
                             std::exchange(this->answers.answers.answers, {})};
  this->callPeer(
      this->answers.address, batch, RelayTimeout,
      [this](base::Verdict /*verdict*/, const std::optional<wire::PeerReply> & /*reply*/) {
        --this->answers.sending;
      });
}

void Node::State::askAdvice(const wire::AdviceRequest &ask,
                            std::function<void(jobs::AdviceAnswer)> done) {
  http::Call request = this->dialect.advise(ask);
  request.timeout = std::chrono::milliseconds(ask.expectedMs) + AdviceMargin;
  this->call(std::move(request), [this, done = std::move(done)](const http::CallResult &result) {
    done(this->dialect.adviceAnswer(result));
  });
}

void Node::State::carryOutTyped(const jobs::AdviceOrder &order) {
  const wire::AdviceRequest ask{order.step, order.workers, order.expectedMs};
  const auto report = [this, order](const jobs::AdviceAnswer &answer) {
    base::logEvent(base::Event::AdviceAnswered,
                   {{"job", order.step.job},
                    {"step", std::to_string(order.step.step)},
                    {"through", std::to_string(order.through)},
                    {"asked", std::to_string(order.workers.size())},
                    {"good", std::to_string(answer.good.size())},
                    {"outcome", answer.answered ? "answered" : "failed"}});
    if (this->dispatcher)
      this->dispatcher->onAdvice(order.id, answer, this->now);
  };
  if (order.through == this->roster->self().id) {
    this->askAdvice(ask, report);
    return;
  }
  const membership::PeerRecord *peer = this->roster->find(order.through);
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

void Node::State::updateAdvisers() {
  if (!this->dispatcher)
    return;
  std::vector<base::DaemonId> advisers = {this->roster->self().id};
  for (const membership::PeerRecord &peer : this->roster->livePeers(this->now, AdviserLife)) {
    if (!peer.stopping)
      advisers.push_back(peer.id);
  }
  this->dispatcher->setAdvisers(advisers);
  std::map<base::DaemonId, RelayQueue> next;
  for (const membership::PeerRecord &peer : this->roster->livePeers(this->now, AdviserLife)) {
    if (!peer.stopping && peer.hasDisk)
      next[peer.id] = std::move(this->relays[peer.id]);
  }
  // Orders for a relay that is gone expire.
  this->relays = std::move(next);
}

} // namespace banyanrill::node
