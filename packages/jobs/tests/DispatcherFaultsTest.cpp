// Checks single faults: unresponsive workers, restarts, delayed orders and leader changes.
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

void checkNoViolation(const FakeCell &cell) {
  for (const std::string &violation : cell.findViolations())
    FAIL(violation.c_str());
}

} // namespace

TEST_GROUP(DispatcherFaults){};

TEST(DispatcherFaults, CellWithoutFaultsEndsItsJobs) {
  FakeCell cell({});
  cell.run(2000);
  for (int number = 0; number < 20; ++number)
    cell.submit(makeJob("job" + std::to_string(number), 4, 1000, 800));
  cell.run(10000);
  CHECK(cell.allEnded());
  checkNoViolation(cell);
}

/// Each unanswered hold order extended the lease of an unresponsive worker, so its tasks stayed
/// there forever.
TEST(DispatcherFaults, TasksOfADeadWorkerAreMoved) {
  FakeCell cell({});
  cell.run(2000);
  cell.submit(makeJob("job", 24, 1000, 3000));
  cell.run(1000);
  cell.kill(0);
  cell.kill(1);
  cell.run(15000);
  CHECK(cell.phaseOf("job") == JobPhase::Succeeded);
  checkNoViolation(cell);
}

TEST(DispatcherFaults, PartitionedWorkerKeepsNoTaskBeyondItsLease) {
  FakeCell cell({});
  cell.run(2000);
  cell.submit(makeJob("job", 24, 1000, 9000));
  cell.run(1000);
  cell.cut(0, true);
  cell.run(30000);
  cell.cut(0, false);
  cell.run(20000);
  CHECK(cell.phaseOf("job") == JobPhase::Succeeded);
  checkNoViolation(cell);
}

TEST(DispatcherFaults, DelayedOrderToARestartedWorkerStartsNothingTwice) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CellOptions options;
    options.seed = seed;
    options.lateShare = 0.5;
    FakeCell cell(options);
    cell.run(3000);
    for (int number = 0; number < 10; ++number)
      cell.submit(makeJob("job" + std::to_string(number), 4, 1000, 1500));
    cell.run(700);
    cell.restart(0, true);
    cell.restart(1, true);
    cell.run(15000);
    cell.heal();
    cell.run(40000);
    CHECK(cell.allEnded());
    checkNoViolation(cell);
  }
}

TEST(DispatcherFaults, NewLeaderAdoptsRunningTasks) {
  FakeCell cell({});
  cell.run(2000);
  cell.submit(makeJob("job", 40, 1000, 2000));
  cell.run(900);
  cell.changeLeader();
  cell.run(300);
  cell.changeLeader();
  cell.run(20000);
  CHECK(cell.phaseOf("job") == JobPhase::Succeeded);
  checkNoViolation(cell);
}

TEST(DispatcherFaults, DrainingWorkerGetsNothingNew) {
  FakeCell cell({});
  cell.run(2000);
  cell.drain(0);
  cell.run(2000);
  cell.submit(makeJob("job", 30, 1000, 500));
  cell.run(200);
  const Worker *draining = cell.jobTable().findWorker("w0");
  CHECK(draining != nullptr && draining->placements.empty());
  cell.run(5000);
  CHECK(cell.phaseOf("job") == JobPhase::Succeeded);
}

/// A start order whose answer was lost was repeated seconds after its worker had begun to drain.
TEST(DispatcherFaults, UnansweredStartIsNotRepeatedOnADrainingWorker) {
  CellOptions options;
  options.workers = 1;
  FakeCell cell(options);
  cell.run(2000);
  cell.submit(makeJob("job", 4, 1000, 800));
  cell.run(14);
  cell.cut(0, true);
  cell.run(100);
  cell.cut(0, false);
  cell.drain(0);
  cell.reportNow(0);
  cell.run(400);
  const std::uint64_t starts = cell.counters().starts;
  cell.run(6000);
  CHECK_EQUAL(starts, cell.counters().starts);
  checkNoViolation(cell);
}

TEST(DispatcherFaults, CancelledJobStopsEverywhere) {
  FakeCell cell({});
  cell.run(2000);
  cell.submit(makeJob("job", 30, 1000, 20000));
  cell.run(500);
  cell.cancel("job");
  cell.run(1500);
  for (const auto &[id, worker] : cell.jobTable().state().workers)
    CHECK(worker.placements.empty());
  CHECK(cell.phaseOf("job") == JobPhase::Cancelled);
}

TEST(DispatcherFaults, GangThatLosesAMemberRunsAgainAsAWhole) {
  FakeCell cell({});
  cell.run(2000);
  JobSpec spec = makeJob("job", 6, 3000, 3000);
  spec.steps[0].gang = true;
  cell.submit(spec);
  cell.run(600);
  cell.restart(0, false);
  cell.run(30000);
  CHECK(cell.phaseOf("job") == JobPhase::Succeeded);
  checkNoViolation(cell);
}

/// The started members waited 4 s for a member whose start order was never answered, and then ended
/// by themselves.
TEST(DispatcherFaults, IncompleteGangIsStoppedBeforeItsMembersTimeOut) {
  FakeCell cell({});
  cell.run(2000);
  JobSpec spec = makeJob("job", 6, 3000, 20000);
  spec.steps[0].gang = true;
  cell.submit(spec);
  cell.run(14); // The job is accepted, and placed in the next step.
  cell.cut(0, true);
  cell.run(2400);
  std::uint32_t running = 0;
  for (std::size_t index = 1; index < 6; ++index)
    running += static_cast<std::uint32_t>(cell.worker(index).runningCount());
  CHECK_EQUAL(0U, running);
  cell.cut(0, false);
  cell.run(60000);
  CHECK(cell.phaseOf("job") == JobPhase::Succeeded);
  checkNoViolation(cell);
}

/// Urgent tasks were placed on a newly partitioned worker until a hold order to it timed out, and
/// then waited for its lease to expire.
TEST(DispatcherFaults, UnresponsiveWorkerGetsNoNewTasksAfter250Ms) {
  CellOptions options;
  options.workers = 2;
  FakeCell cell(options);
  cell.run(3000);
  cell.cut(0, true);
  cell.submit(makeJob("first", 8, 500, 300));
  cell.run(250);
  const std::size_t placedBefore = cell.jobTable().findWorker("w0")->placements.size();
  for (int round = 0; round < 10; ++round) {
    cell.submit(makeJob("next" + std::to_string(round), 4, 500, 100));
    cell.run(20);
  }
  CHECK_EQUAL(placedBefore, cell.jobTable().findWorker("w0")->placements.size());
  cell.cut(0, false);
  cell.run(20000);
  CHECK(cell.allEnded());
  checkNoViolation(cell);
}

/// A job counted as started as soon as it was placed, although its worker never received the order.
TEST(DispatcherFaults, JobWaitsUntilAWorkerHasAnsweredItsStart) {
  CellOptions options;
  options.workers = 1;
  FakeCell cell(options);
  cell.run(3000);
  cell.cut(0, true);
  cell.submit(makeJob("job", 1, 500, 3000));
  cell.run(400);
  CHECK_EQUAL(1U, cell.jobTable().findWorker("w0")->placements.size());
  CHECK_EQUAL(1U, cell.waiting());
  cell.cut(0, false);
  cell.run(1500);
  CHECK_EQUAL(0U, cell.waiting());
  cell.changeLeader();
  cell.run(300);
  CHECK_EQUAL(0U, cell.waiting());
}
