// Guards against urgent work that waits behind less urgent work, and against preemption that is
// unnecessary or not permitted.
#include "Builders.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(Preemption){};

namespace {

JobSpec withPriority(JobSpec spec, std::int32_t priority) {
  spec.priority = priority;
  return spec;
}

} // namespace

TEST(Preemption, StopsTheCheapestTaskOfLowerPriorityAndWaitsForItsEnd) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {4000, 16384, 0}));
  planner.putJob(makeJob("old", JobKind::Batch, 2), at(0));
  CHECK_EQUAL(2, planner.plan(at(0)).size());
  planner.putJob(makeJob("new", JobKind::Batch, 2), at(100));
  const auto cheap = only<AssignTask>(planner.plan(at(100)));
  planner.putJob(withPriority(makeJob("urgent", JobKind::Batch, 1), 5), at(101));
  const auto stops = only<StopTask>(planner.plan(at(101)));
  CHECK_EQUAL(1, stops.size());
  STRCMP_EQUAL("new", stops[0].task.job.value.c_str());
  CHECK(only<AssignTask>(planner.plan(at(102))).empty());
  planner.onTaskEvent({stops[0].task, stops[0].attempt, TaskEventKind::Stopped}, at(103));
  const auto started = only<AssignTask>(planner.plan(at(103)));
  CHECK_EQUAL(1, started.size());
  STRCMP_EQUAL("urgent", started[0].task.job.value.c_str());
}

TEST(Preemption, RequestsACheckpointIfTheTaskCanWriteOne) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {1000, 16384, 0}));
  JobSpec victim = makeJob("victim", JobKind::Batch, 1);
  victim.checkpointable = true;
  planner.putJob(victim, at(0));
  planner.plan(at(0));
  planner.putJob(withPriority(makeJob("urgent", JobKind::Batch, 1), 1), at(1));
  const auto stops = only<StopTask>(planner.plan(at(1)));
  CHECK_EQUAL(1, stops.size());
  CHECK(stops[0].checkpoint);
}

TEST(Preemption, DoesNotStopEqualPriorityOrNonPreemptibleTasks) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {2000, 16384, 0}));
  JobSpec fixed = makeJob("fixed", JobKind::Batch, 1);
  fixed.preemptible = false;
  planner.putJob(fixed, at(0));
  planner.putJob(withPriority(makeJob("equal", JobKind::Batch, 1), 3), at(0));
  CHECK_EQUAL(2, planner.plan(at(0)).size());
  planner.putJob(withPriority(makeJob("urgent", JobKind::Batch, 1), 3), at(1));
  for (int second = 1; second < 30; ++second)
    CHECK(planner.plan(at(second)).empty());
}

TEST(Preemption, FreesCapacityForAWholeGang) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {4000, 16384, 0}));
  planner.updateWorker(makeWorker("w2", {4000, 16384, 0}));
  planner.putJob(makeJob("low", JobKind::Batch, 8), at(0));
  CHECK_EQUAL(8, planner.plan(at(0)).size());
  planner.putJob(withPriority(makeJob("gang", JobKind::Gang, 3, {2000, 1024, 0}), 4), at(1));
  const auto stops = only<StopTask>(planner.plan(at(1)));
  CHECK_EQUAL(6, stops.size());
  for (const StopTask &stop : stops) {
    CHECK(only<AssignTask>(planner.plan(at(2))).empty());
    planner.onTaskEvent({stop.task, stop.attempt, TaskEventKind::Stopped}, at(2));
  }
  CHECK_EQUAL(3, only<AssignTask>(planner.plan(at(3))).size());
}
