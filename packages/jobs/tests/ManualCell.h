// A dispatcher with one worker and one job of one step. The test delivers each answer itself, so it
// decides what is answered, lost or late.
#pragma once

#include "banyanrill/jobs/Dispatcher.h"

namespace banyanrill::jobs::test {

constexpr std::int64_t EpochMs = 1700000000000;

/// Not thread-safe.
struct ManualCell {
  explicit ManualCell(std::uint32_t tasks = 1, std::uint32_t maxPerWorker = 0) {
    Configuration configuration;
    configuration.version = 1;
    Queue queue;
    queue.name = "queue";
    queue.service = "service";
    configuration.queues = {queue};
    WorkerProfile profile;
    profile.incarnation = {"w", 7};
    profile.service = "service";
    profile.address = "10.0.0.1:80";
    profile.capacity = {4000, 4000, 0};
    JobSpec spec;
    spec.id = "job";
    spec.steps.resize(1);
    spec.steps[0].count = tasks;
    spec.steps[0].maxPerWorker = maxPerWorker;
    spec.steps[0].demand = {1000, 100, 0};
    spec.steps[0].estimatedMs = 1000;
    this->table.apply({EpochMs, {PutConfiguration{configuration}, RegisterWorker{profile}}});
    this->lead(5);
    this->apply({AcceptJob{spec, queue, {}}});
  }

  void lead(std::uint64_t term) {
    this->dispatcher = std::make_unique<Dispatcher>(this->table, DispatcherOptions{term},
                                                    base::RandomSource(1), this->now, EpochMs);
  }

  void apply(std::vector<Command> commands) {
    const CommandBatch batch{EpochMs, std::move(commands)};
    const Effect effect = this->table.apply(batch);
    this->dispatcher->onApplied(batch, effect, this->now);
  }

  /// Commits the proposed commands and returns the orders.
  std::vector<Action> step(std::int64_t milliseconds) {
    this->now += std::chrono::milliseconds(milliseconds);
    std::vector<Action> orders;
    for (Action &action : this->dispatcher->takeActions(this->now, EpochMs)) {
      if (auto *command = std::get_if<Command>(&action))
        this->apply({std::move(*command)});
      else
        orders.push_back(std::move(action));
    }
    return orders;
  }

  /// Returns the proposed commands without committing them. Expects no orders that matter.
  std::vector<Command> proposals(std::int64_t milliseconds) {
    this->now += std::chrono::milliseconds(milliseconds);
    std::vector<Command> commands;
    for (Action &action : this->dispatcher->takeActions(this->now, EpochMs)) {
      if (auto *command = std::get_if<Command>(&action))
        commands.push_back(std::move(*command));
    }
    return commands;
  }

  /// Answers the worker's first lease renewal, so that it may get tasks.
  void answerRenewals() {
    for (const Action &action : this->dispatcher->takeActions(this->now, EpochMs)) {
      const auto *renewal = std::get_if<RenewLeaseOrder>(&action);
      if (renewal == nullptr)
        continue;
      RenewLeaseAnswer answer;
      answer.outcome = OrderOutcome::Accepted;
      answer.clockMs = 1000;
      this->dispatcher->onRenewLeaseAnswer(renewal->id, answer, this->now);
    }
  }

  template <typename Order> const Order *find(const std::vector<Action> &orders) const {
    for (const Action &order : orders) {
      if (const auto *typed = std::get_if<Order>(&order))
        return typed;
    }
    return nullptr;
  }

  Table table;
  base::TimePoint now{std::chrono::seconds(100)};
  std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace banyanrill::jobs::test
