// Carries out the leader's orders: calls to workers, and to the advisory service through any node.
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

namespace banyanrill::node {

namespace {

/// Nodes that greeted within this time can ask the advisory service.
constexpr base::Duration AdviserLife = std::chrono::milliseconds(1300);

/// Added to the expected time of an advisory call, at the service and on the way.
constexpr base::Duration AdviceMargin = std::chrono::milliseconds(700);

std::vector<base::EventField> fieldsOf(const jobs::RunKey &run, const std::string &worker) {
  return {{"job", run.task.job},
          {"step", std::to_string(run.task.step)},
          {"task", std::to_string(run.task.index)},
          {"run", std::to_string(run.run)},
          {"worker", worker}};
}

} // namespace

void Node::State::carryOut(jobs::Action action) {
  std::visit([this](const auto &typed) { this->carryOutTyped(typed); }, action);
}

void Node::State::carryOutTyped(const jobs::Command &command) { this->group->propose(command); }

void Node::State::carryOutTyped(const jobs::StartOrder &order) {
  this->call(this->dialect.start(order), [this, id = order.id, run = order.run,
                                          worker = order.target.worker](http::CallResult result) {
    const jobs::OrderAnswer answer = this->dialect.orderAnswer(result);
    std::vector<base::EventField> fields = fieldsOf(run, worker);
    fields.push_back({"outcome", std::string(jobs::nameOf(answer.outcome))});
    base::logEvent(base::Event::RunOrdered, fields);
    if (this->dispatcher)
      this->dispatcher->onStartAnswer(id, answer, this->now);
  });
}

void Node::State::carryOutTyped(const jobs::StopOrder &order) {
  this->call(this->dialect.stop(order), [this, id = order.id, run = order.run,
                                         worker = order.target.worker](http::CallResult result) {
    const jobs::OrderAnswer answer = this->dialect.orderAnswer(result);
    std::vector<base::EventField> fields = fieldsOf(run, worker);
    fields.push_back({"outcome", std::string(jobs::nameOf(answer.outcome))});
    base::logEvent(base::Event::RunStopOrdered, fields);
    if (this->dispatcher)
      this->dispatcher->onStopAnswer(id, answer, this->now);
  });
}

void Node::State::carryOutTyped(const jobs::PaceOrder &order) {
  this->call(this->dialect.pace(order), [this, id = order.id](http::CallResult result) {
    if (this->dispatcher)
      this->dispatcher->onStopAnswer(id, this->dialect.orderAnswer(result), this->now);
  });
}

void Node::State::carryOutTyped(const jobs::HoldOrder &order) {
  this->call(this->dialect.hold(order),
             [this, id = order.id, worker = order.target.worker](http::CallResult result) {
               const jobs::HoldAnswer answer = this->dialect.holdAnswer(result);
               if (answer.outcome != jobs::OrderOutcome::Accepted)
                 base::logEvent(base::Event::WorkerNotHeld,
                                {{"worker", worker},
                                 {"outcome", std::string(jobs::nameOf(answer.outcome))},
                                 {"reason", result.failure}});
               if (this->dispatcher)
                 this->dispatcher->onHoldAnswer(id, answer, this->now);
             });
}

void Node::State::askAdvice(const wire::AskAdvice &ask,
                            std::function<void(jobs::AdviceAnswer)> done) {
  http::Call request = this->dialect.advise(ask);
  request.timeout = std::chrono::milliseconds(ask.expectedMs) + AdviceMargin;
  this->call(std::move(request), [this, done = std::move(done)](http::CallResult result) {
    done(this->dialect.adviceAnswer(result));
  });
}

void Node::State::carryOutTyped(const jobs::AdviceOrder &order) {
  const wire::AskAdvice ask{order.step, order.workers, order.expectedMs};
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
  for (const membership::PeerRecord &peer : this->roster->live(this->now, AdviserLife)) {
    if (!peer.stopping)
      advisers.push_back(peer.id);
  }
  this->dispatcher->setAdvisers(advisers);
}

} // namespace banyanrill::node
