// Guards against jobs that never end, end twice, or delay other jobs when cancelled.
#include "Builders.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(JobLifecycle){};

TEST(JobLifecycle, RetriesWithBackoffUpToTheLimit) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w"));
  planner.putJob(makeJob("j", JobKind::Batch, 1), at(0));
  double now = 0;
  std::vector<EndJob> ends;
  for (int attempt = 1; attempt <= 3; ++attempt) {
    std::vector<AssignTask> started;
    while (started.empty() && now < 500)
      started = only<AssignTask>(planner.plan(at(now += 1)));
    CHECK_EQUAL(1, started.size());
    CHECK_EQUAL(attempt, started[0].attempt);
    report(planner, started[0], TaskEventKind::Failed, now);
    const std::vector<Action> actions = planner.plan(at(now));
    CHECK(only<AssignTask>(actions).empty());
    ends = only<EndJob>(actions);
    CHECK_EQUAL(attempt == 3 ? 1 : 0, ends.size());
  }
  CHECK(!ends[0].succeeded);
  STRCMP_EQUAL("task 0 failed 3 times, last on w", ends[0].reason.c_str());
  CHECK(planner.plan(at(now + 500)).empty());
}

TEST(JobLifecycle, EndsAtTheDeadlineAfterItsTasksHaveStopped) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w"));
  JobSpec job = makeJob("j", JobKind::Batch, 2);
  job.deadline = std::chrono::seconds(30);
  planner.putJob(job, at(0));
  const auto started = only<AssignTask>(planner.plan(at(0)));
  CHECK(planner.plan(at(29)).empty());
  CHECK_EQUAL(2, only<StopTask>(planner.plan(at(31))).size());
  report(planner, started[0], TaskEventKind::Stopped, 32);
  CHECK(planner.plan(at(32)).empty());
  report(planner, started[1], TaskEventKind::Lost, 33);
  const auto ends = only<EndJob>(planner.plan(at(33)));
  CHECK_EQUAL(1, ends.size());
  CHECK(!ends[0].succeeded);
  STRCMP_EQUAL("deadline exceeded", ends[0].reason.c_str());
}

TEST(JobLifecycle, StartsUrgentWorkDuringMassCancellations) {
  Planner planner(PlannerOptions{64}, banyanrill::base::RandomSource(1));
  for (int number = 0; number < 200; ++number)
    planner.updateWorker(makeWorker("w" + std::to_string(number)));
  for (int number = 0; number < 1000; ++number)
    planner.putJob(makeJob("j" + std::to_string(number), JobKind::Batch, 1), at(0));
  for (int call = 0; call < 20; ++call)
    planner.plan(at(0));
  for (int number = 0; number < 1000; ++number)
    planner.cancelJob({"j" + std::to_string(number)}, at(1));
  planner.putJob(makeJob("urgent", JobKind::Batch, 4), at(1));
  CHECK_EQUAL(4, only<AssignTask>(planner.plan(at(1))).size());
  CHECK_EQUAL(0, planner.waitingTaskCount());
}

TEST(JobLifecycle, KeepsTheCountOfAServiceAndAppliesItsChange) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w"));
  planner.putJob(makeJob("s", JobKind::Service, 3), at(0));
  const auto started = only<AssignTask>(planner.plan(at(0)));
  CHECK_EQUAL(3, started.size());
  report(planner, started[1], TaskEventKind::Lost, 1);
  CHECK_EQUAL(1, only<AssignTask>(planner.plan(at(5))).size());
  planner.putJob(makeJob("s", JobKind::Service, 1), at(6));
  CHECK_EQUAL(2, only<StopTask>(planner.plan(at(6))).size());
  planner.putJob(makeJob("s", JobKind::Service, 5), at(7));
  CHECK_EQUAL(2, only<AssignTask>(planner.plan(at(7))).size());
}

TEST(JobLifecycle, RestartsAJobThatWasPutAgainWhileEnding) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w"));
  planner.putJob(makeJob("j", JobKind::Batch, 1), at(0));
  const auto first = only<AssignTask>(planner.plan(at(0)));
  planner.cancelJob({"j"}, at(1));
  planner.putJob(makeJob("j", JobKind::Batch, 1), at(2));
  CHECK(only<AssignTask>(planner.plan(at(2))).empty());
  report(planner, first[0], TaskEventKind::Stopped, 3);
  std::vector<Action> actions = planner.plan(at(3));
  CHECK_EQUAL(1, only<EndJob>(actions).size());
  const auto again = only<AssignTask>(actions);
  CHECK_EQUAL(1, again.size());
  CHECK_EQUAL(2, again[0].attempt);
}

TEST(JobLifecycle, RestoresTasksWithoutStartingThemTwice) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w"));
  planner.putJob(makeJob("j", JobKind::Batch, 3), at(0));
  planner.restoreTask({{{"j"}, 0}, 4, TaskPhase::Running, {"w"}}, at(0));
  planner.restoreTask({{{"j"}, 1}, 2, TaskPhase::Succeeded, {}}, at(0));
  planner.restoreTask({{{"j"}, 2}, 7, TaskPhase::Pending, {}}, at(0));
  const auto started = only<AssignTask>(planner.plan(at(0)));
  CHECK_EQUAL(1, started.size());
  CHECK_EQUAL(2, started[0].task.index);
  CHECK_EQUAL(8, started[0].attempt);
  report(planner, started[0], TaskEventKind::Succeeded, 1);
  planner.onTaskEvent({{{"j"}, 0}, 3, TaskEventKind::Failed}, at(1));
  planner.onTaskEvent({{{"j"}, 0}, 4, TaskEventKind::Succeeded}, at(2));
  const auto ends = only<EndJob>(planner.plan(at(3)));
  CHECK_EQUAL(1, ends.size());
  CHECK(ends[0].succeeded);
}
