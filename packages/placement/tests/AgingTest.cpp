// Guards against jobs that never start, and against estimates that stay wrong.
#include "Builders.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(Aging){};

TEST(Aging, StartsALowPriorityJobBeforeHigherOnesThatArriveAfterTheBound) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w", {1000, 16384, 0}));
  JobSpec low = makeJob("low", JobKind::Batch, 1);
  planner.putJob(low, at(0));
  std::vector<AssignTask> running;
  bool started = false;
  int overtakenAfter = 0;
  // One job of priority 4 arrives each second and runs 5 s, so the demand is five times the
  // capacity.
  for (int second = 0; second < 3000 && !started; ++second) {
    JobSpec high = makeJob("high" + std::to_string(second), JobKind::Batch, 1);
    high.priority = 4;
    high.runTime = std::chrono::seconds(5);
    high.preemptible = false;
    planner.putJob(high, at(second));
    if (second % 5 == 0) {
      for (const AssignTask &task : running)
        report(planner, task, TaskEventKind::Succeeded, second);
      running = only<AssignTask>(planner.plan(at(second)));
      CHECK_EQUAL(1, running.size());
      const std::string &id = running[0].task.job.value;
      started = id == "low";
      if (!started)
        overtakenAfter = std::max(overtakenAfter, std::stoi(id.substr(4)));
    }
  }
  CHECK(started);
  // Bound: (4 + 1) aging steps of 60 s, after which no later arrival overtakes the job.
  CHECK(overtakenAfter <= 5 * 60);
}

TEST(Aging, CorrectsADeclaredRunTimeForBackfill) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w", {8000, 16384, 0}));
  // The team declares 60 s but runs 600 s, so its next job must not backfill before the gang.
  for (int number = 0; number < 5; ++number) {
    planner.putJob(makeJob("past" + std::to_string(number), JobKind::Batch, 1), at(0));
    for (const AssignTask &task : only<AssignTask>(planner.plan(at(0))))
      report(planner, task, TaskEventKind::Succeeded, 600);
  }
  JobSpec running = makeJob("running", JobKind::Batch, 4);
  running.team = "other";
  running.runTime = std::chrono::seconds(100);
  planner.putJob(running, at(700));
  CHECK_EQUAL(4, only<AssignTask>(planner.plan(at(700))).size());
  planner.putJob(makeJob("gang", JobKind::Gang, 8), at(701));
  planner.plan(at(701));
  planner.putJob(makeJob("wrong", JobKind::Batch, 1), at(702));
  CHECK(planner.plan(at(702)).empty());
  JobSpec right = makeJob("right", JobKind::Batch, 1);
  right.team = "other";
  planner.putJob(right, at(703));
  CHECK_EQUAL(1, only<AssignTask>(planner.plan(at(703))).size());
}
