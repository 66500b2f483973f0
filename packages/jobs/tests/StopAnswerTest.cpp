// Guards against an answer about one run of a task that is applied to another run.
#include "ManualCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

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
