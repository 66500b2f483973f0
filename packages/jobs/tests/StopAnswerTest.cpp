// Guards against an answer about one run of a task that is applied to another run.
#include "banyanrill/jobs/Dispatcher.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;

namespace {

constexpr std::int64_t EpochMs = 1700000000000;

/// One worker and one job with one task. The test delivers each answer itself.
struct ManualCell {
  ManualCell() {
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
    spec.steps[0].count = 1;
    spec.steps[0].demand = {1000, 100, 0};
    spec.steps[0].estimatedMs = 1000;
    this->table.apply({EpochMs, {PutConfiguration{configuration}, RegisterWorker{profile}}});
    this->lead(5);
    this->apply({AcceptJob{spec, queue}});
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

} // namespace

TEST_GROUP(StopAnswer){};

TEST(StopAnswer, ForAnUnknownRunDoesNotReleaseANewerRun) {
  ManualCell cell;
  std::vector<Action> orders = cell.step(10);
  const RenewLeaseOrder *hold = cell.find<RenewLeaseOrder>(orders);
  CHECK(hold != nullptr);
  // The worker still runs an earlier run of the task that is not in the table.
  const RunKey unknownRun{{"job", 0, 0, 0}, 1};
  RenewLeaseAnswer listed{OrderOutcome::Accepted, 1000, 7, {{unknownRun, "", 10, 0}}, {}};
  cell.apply({PlaceRuns{5, {{{unknownRun.task, 2}, "w"}}}});
  cell.dispatcher->onRenewLeaseAnswer(hold->id, listed, cell.now);
  orders = cell.step(10);
  const StopOrder *stop = cell.find<StopOrder>(orders);
  CHECK(stop != nullptr && stop->run == unknownRun);
  const OrderId stopId = stop->id;
  const StartOrder *start = cell.find<StartOrder>(orders);
  CHECK(start != nullptr && start->run.run == 2);
  const OrderId startId = start->id;
  cell.dispatcher->onStopAnswer(stopId, {OrderOutcome::Accepted, 1010}, cell.now);
  // The start was not answered, so it may still be executed.
  cell.dispatcher->onStartAnswer(startId, {OrderOutcome::NoAnswer, {}}, cell.now);
  orders = cell.step(40);
  hold = cell.find<RenewLeaseOrder>(orders);
  CHECK(hold != nullptr);
  cell.dispatcher->onRenewLeaseAnswer(hold->id, {OrderOutcome::Accepted, 1100, 7, {}, {}},
                                      cell.now);
  cell.step(10);
  CHECK_EQUAL(1U, cell.table.findWorker("w")->placements.count(unknownRun.task));
}

/// A daemon that led again took answers to orders of its former term, which had the same numbers,
/// for answers to its new ones, and placed the runs that were missing in them again.
TEST(StopAnswer, OfAFormerTermProvesNothing) {
  ManualCell cell;
  std::vector<Action> orders = cell.step(10);
  const RenewLeaseOrder *hold = cell.find<RenewLeaseOrder>(orders);
  CHECK(hold != nullptr);
  const OrderId former = hold->id;
  const RunKey run{{"job", 0, 0, 0}, 1};
  cell.apply({PlaceRuns{5, {{run, "w"}}}});
  cell.lead(6);
  orders = cell.step(10);
  CHECK(cell.find<RenewLeaseOrder>(orders) != nullptr);
  cell.dispatcher->onRenewLeaseAnswer(former, {OrderOutcome::Accepted, 1000, 7, {}, {}}, cell.now);
  cell.step(10);
  CHECK_EQUAL(1U, cell.table.findWorker("w")->placements.count(run.task));
}

/// The answer to an order of the time before a worker was removed was counted for its next session:
/// the number of its open calls fell below zero, and it got no order until the next election.
TEST(StopAnswer, ToAnOrderOfAnEarlierSessionCountsForNoLaterOne) {
  ManualCell cell;
  const auto holdIt = [&cell](std::vector<Action> orders) {
    const RenewLeaseOrder *hold = cell.find<RenewLeaseOrder>(orders);
    CHECK(hold != nullptr);
    cell.dispatcher->onRenewLeaseAnswer(hold->id, {OrderOutcome::Accepted, 1000, 7, {}, {}},
                                        cell.now);
  };
  holdIt(cell.step(10));
  cell.step(10); // Places the task.
  std::vector<Action> orders = cell.step(10);
  const StartOrder *start = cell.find<StartOrder>(orders);
  CHECK(start != nullptr);
  const OrderId former = start->id;
  const WorkerProfile profile = cell.table.findWorker("w")->profile;
  cell.apply({RemoveWorker{profile.incarnation, {}}});
  cell.apply({RegisterWorker{profile}});
  cell.dispatcher->onStartAnswer(former, {OrderOutcome::NoAnswer, {}}, cell.now);
  holdIt(cell.step(10));
  cell.step(10);
  orders = cell.step(10);
  start = cell.find<StartOrder>(orders);
  CHECK(start != nullptr && start->run.run == 2);
}

/// A removal takes effect when it is committed; a start that the worker carried out before that was
/// released while it ran.
TEST(StopAnswer, WorkerThatIsBeingRemovedGetsNoMoreOrders) {
  ManualCell cell;
  std::vector<Action> orders = cell.step(10);
  const RenewLeaseOrder *hold = cell.find<RenewLeaseOrder>(orders);
  CHECK(hold != nullptr);
  cell.dispatcher->onRenewLeaseAnswer(hold->id, {OrderOutcome::Accepted, 1000, 7, {}, {}},
                                      cell.now);
  cell.step(10); // Places the task.
  orders = cell.step(10);
  const StartOrder *start = cell.find<StartOrder>(orders);
  CHECK(start != nullptr);
  // Another program answers at the address; the next answers say that the worker is back.
  cell.dispatcher->onStartAnswer(start->id, {OrderOutcome::OtherIncarnation, {}}, cell.now);
  for (int round = 0; round < 20; ++round) {
    cell.now += std::chrono::milliseconds(20);
    // Nothing is committed meanwhile.
    for (const Action &action : cell.dispatcher->takeActions(cell.now, EpochMs))
      CHECK(std::holds_alternative<Command>(action));
  }
}

/// The end of a stopped stray run erased what was known of a newer run of the task at the same
/// worker, which then counted as started by an earlier leader and was never ordered.
TEST(StopAnswer, EndOfAnEarlierRunLeavesANewerRunToBeStarted) {
  ManualCell cell;
  std::vector<Action> orders = cell.step(10);
  const RenewLeaseOrder *hold = cell.find<RenewLeaseOrder>(orders);
  CHECK(hold != nullptr);
  const RunKey earlierRun{{"job", 0, 0, 0}, 1};
  cell.apply({PlaceRuns{5, {{{earlierRun.task, 2}, "w"}}}});
  cell.dispatcher->onRenewLeaseAnswer(hold->id, {OrderOutcome::Accepted, 1000, 7, {}, {}},
                                      cell.now);
  cell.apply({RecordEnds{{"w", 7}, {{1, earlierRun, EndKind::Stopped, ""}}}});
  orders = cell.step(10);
  const StartOrder *start = cell.find<StartOrder>(orders);
  CHECK(start != nullptr && start->run.run == 2);
}
