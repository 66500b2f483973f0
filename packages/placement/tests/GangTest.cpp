// Guards against gangs that hold only part of the capacity they need, and gangs that wait forever.
#include "Builders.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(Gang){};

TEST(Gang, IsAssignedInOneCallOrNotAtAll) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1"));
  planner.putJob(makeJob("gang", JobKind::Gang, 9), at(0));
  CHECK(planner.plan(at(1)).empty());
  planner.updateWorker(makeWorker("w2"));
  CHECK_EQUAL(9, only<AssignTask>(planner.plan(at(2))).size());
}

TEST(Gang, StopsAllTasksWhenOneFailsAndRestartsThemTogether) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1"));
  planner.updateWorker(makeWorker("w2"));
  planner.putJob(makeJob("gang", JobKind::Gang, 3), at(0));
  const auto first = only<AssignTask>(planner.plan(at(1)));
  CHECK_EQUAL(3, first.size());
  report(planner, first[0], TaskEventKind::Failed, 2);
  CHECK_EQUAL(2, only<StopTask>(planner.plan(at(3))).size());
  CHECK(only<AssignTask>(planner.plan(at(10))).empty());
  report(planner, first[1], TaskEventKind::Stopped, 11);
  report(planner, first[2], TaskEventKind::Lost, 11);
  CHECK_EQUAL(3, only<AssignTask>(planner.plan(at(30))).size());
}

TEST(Gang, IsNotStarvedByAStreamOfSmallTasks) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1"));
  planner.putJob(makeJob("first", JobKind::Batch, 8), at(0));
  std::vector<AssignTask> running = only<AssignTask>(planner.plan(at(0)));
  CHECK_EQUAL(8, running.size());
  planner.putJob(makeJob("gang", JobKind::Gang, 8), at(1));
  bool started = false;
  // Each small task runs 60 s; one ends and one arrives about every 8 s.
  for (int step = 0; step < 60 && !started; ++step) {
    const double now = 60 + 8 * step;
    if (!running.empty()) {
      report(planner, running.front(), TaskEventKind::Succeeded, now);
      running.erase(running.begin());
    }
    planner.putJob(makeJob("small" + std::to_string(step), JobKind::Batch, 1), at(now));
    for (const AssignTask &assigned : only<AssignTask>(planner.plan(at(now)))) {
      if (assigned.task.job.value == "gang")
        started = true;
      running.push_back(assigned);
    }
  }
  CHECK(started);
}

TEST(Gang, LetsShortJobsBackfillReservedCapacity) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1"));
  JobSpec running = makeJob("running", JobKind::Batch, 4);
  running.runTime = std::chrono::seconds(600);
  planner.putJob(running, at(0));
  CHECK_EQUAL(4, only<AssignTask>(planner.plan(at(0))).size());
  planner.putJob(makeJob("gang", JobKind::Gang, 8), at(1));
  CHECK(planner.plan(at(1)).empty());
  JobSpec longJob = makeJob("long", JobKind::Batch, 1);
  longJob.runTime = std::chrono::seconds(3000);
  planner.putJob(longJob, at(2));
  planner.putJob(makeJob("short", JobKind::Batch, 1), at(2));
  const auto started = only<AssignTask>(planner.plan(at(2)));
  CHECK_EQUAL(1, started.size());
  STRCMP_EQUAL("short", started[0].task.job.value.c_str());
}
