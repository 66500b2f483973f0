// Guards against quotas that leave capacity idle, or that the lender cannot reclaim.
#include "Builders.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(Quota){};

namespace {

JobSpec ofTeam(JobSpec spec, const std::string &team, bool preemptible = true) {
  spec.team = team;
  spec.preemptible = preemptible;
  return spec;
}

} // namespace

TEST(Quota, IsBorrowedWhenIdleAndReclaimedByTheLender) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {8000, 16384, 0}));
  planner.setQuota("lender", {4000, 8192, 0});
  planner.setQuota("borrower", {4000, 8192, 0});
  JobSpec borrowing = ofTeam(makeJob("b", JobKind::Batch, 8), "borrower");
  borrowing.priority = 9;
  planner.putJob(borrowing, at(0));
  CHECK_EQUAL(8, only<AssignTask>(planner.plan(at(0))).size());
  planner.putJob(ofTeam(makeJob("l", JobKind::Batch, 6), "lender"), at(1));
  std::size_t stopped = 0;
  std::size_t started = 0;
  for (int second = 1; second < 20; ++second) {
    for (const Action &action : planner.plan(at(second))) {
      if (const auto *stop = std::get_if<StopTask>(&action)) {
        ++stopped;
        planner.onTaskEvent({stop->task, stop->attempt, TaskEventKind::Stopped}, at(second));
      }
      if (const auto *start = std::get_if<AssignTask>(&action))
        started += start->task.job.value == "l" ? 1 : 0;
    }
  }
  CHECK_EQUAL(4, stopped);
  CHECK_EQUAL(4, started);
}

TEST(Quota, IsNotBorrowedByNonPreemptibleTasks) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {8000, 16384, 0}));
  planner.setQuota("borrower", {3000, 8192, 0});
  planner.putJob(ofTeam(makeJob("b", JobKind::Batch, 8), "borrower", false), at(0));
  CHECK_EQUAL(3, only<AssignTask>(planner.plan(at(0))).size());
}

TEST(Quota, IsReservedForALargeJobThatSmallerOnesOfTheTeamWouldOvertake) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w1", {8000, 16384, 0}));
  planner.setQuota("team", {4000, 8192, 0});
  std::vector<AssignTask> running;
  planner.putJob(ofTeam(makeJob("s", JobKind::Batch, 4), "team", false), at(0));
  running = only<AssignTask>(planner.plan(at(0)));
  planner.putJob(ofTeam(makeJob("large", JobKind::Batch, 1, {4000, 1024, 0}), "team", false),
                 at(1));
  bool started = false;
  for (int step = 1; step < 40 && !started; ++step) {
    const double now = 30 * step;
    planner.putJob(ofTeam(makeJob("s" + std::to_string(step), JobKind::Batch, 1), "team", false),
                   at(now));
    if (!running.empty()) {
      report(planner, running.front(), TaskEventKind::Succeeded, now);
      running.erase(running.begin());
    }
    for (const AssignTask &task : only<AssignTask>(planner.plan(at(now)))) {
      started = started || task.task.job.value == "large";
      running.push_back(task);
    }
  }
  CHECK(started);
}
