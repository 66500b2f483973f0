// Guards against a faulty worker that keeps receiving and failing tasks, and against quarantining
// healthy workers because of a faulty job.
#include "Builders.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(WorkerHealth){};

namespace {

/// Plans every second. Tasks on the bad worker or of the bad job fail after a second; the others
/// succeed. `running` holds the running tasks between calls. Returns the starts by worker.
std::map<std::string, int> runFor(Planner &planner, std::vector<AssignTask> &running, int from,
                                  int seconds, const std::string &bad, const std::string &badJob) {
  std::map<std::string, int> starts;
  for (int second = from; second < from + seconds; ++second) {
    for (const AssignTask &task : running) {
      const bool fails = task.worker.value == bad || task.task.job.value == badJob;
      report(planner, task, fails ? TaskEventKind::Failed : TaskEventKind::Succeeded, second);
    }
    running = only<AssignTask>(planner.plan(at(second)));
    for (const AssignTask &task : running)
      ++starts[task.worker.value];
  }
  return starts;
}

} // namespace

TEST(WorkerHealth, QuarantinesAWorkerThatFailsDifferentJobsAndProbesItRarely) {
  std::vector<AssignTask> running;
  Planner planner = makePlanner();
  // The smallest worker is the best fit, so the bad one attracts tasks.
  planner.updateWorker(makeWorker("bad", {1000, 16384, 0}));
  for (int number = 0; number < 10; ++number)
    planner.updateWorker(makeWorker("w" + std::to_string(number)));
  for (int number = 0; number < 60; ++number) {
    JobSpec job = makeJob("j" + std::to_string(number), JobKind::Batch, 200);
    job.maxAttempts = 1000;
    planner.putJob(job, at(0));
  }
  CHECK(runFor(planner, running, 0, 55, "bad", "")["bad"] <= 5);
  CHECK(runFor(planner, running, 55, 1, "bad", "")["w1"] > 0);
}

TEST(WorkerHealth, ReleasesARepairedWorkerAfterAProbe) {
  std::vector<AssignTask> running;
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("bad", {1000, 16384, 0}));
  planner.updateWorker(makeWorker("w", {1000, 16384, 0}));
  for (int number = 0; number < 20; ++number) {
    JobSpec job = makeJob("j" + std::to_string(number), JobKind::Batch, 400);
    job.maxAttempts = 1000;
    planner.putJob(job, at(0));
  }
  runFor(planner, running, 0, 30, "bad", "");
  CHECK(runFor(planner, running, 30, 10, "", "")["bad"] == 0);
  runFor(planner, running, 40, 60, "", "");
  CHECK(runFor(planner, running, 100, 20, "", "")["bad"] >= 15);
}

TEST(WorkerHealth, BacksOffAJobThatFailsEverywhereWithoutQuarantiningWorkers) {
  std::vector<AssignTask> running;
  Planner planner = makePlanner();
  for (int number = 0; number < 10; ++number)
    planner.updateWorker(makeWorker("w" + std::to_string(number), {1000, 16384, 0}));
  JobSpec bad = makeJob("bad", JobKind::Service, 10);
  planner.putJob(bad, at(0));
  runFor(planner, running, 0, 60, "", "bad");
  int starts = 0;
  for (const auto &[worker, count] : runFor(planner, running, 60, 300, "", "bad"))
    starts += count;
  CHECK(starts <= 5);
  planner.putJob(makeJob("good", JobKind::Batch, 10), at(400));
  std::set<std::string> used;
  for (const AssignTask &task : only<AssignTask>(planner.plan(at(400)))) {
    if (task.task.job.value == "good")
      used.insert(task.worker.value);
  }
  CHECK(used.size() >= 9);
}

TEST(WorkerHealth, QuarantinesAtMostATenthOfTheWorkers) {
  Planner planner = makePlanner();
  for (int number = 0; number < 20; ++number)
    planner.updateWorker(makeWorker("w" + std::to_string(number), {1000, 16384, 0}));
  for (int second = 0; second < 20; ++second) {
    for (int number = 0; number < 20; ++number)
      planner.putJob(makeJob("j" + std::to_string(20 * second + number), JobKind::Batch, 1),
                     at(second));
    for (const AssignTask &task : only<AssignTask>(planner.plan(at(second))))
      report(planner, task, TaskEventKind::Failed, second);
  }
  planner.putJob(makeJob("last", JobKind::Batch, 40), at(21));
  std::set<std::string> used;
  for (int second = 21; second < 24; ++second) {
    for (const AssignTask &task : only<AssignTask>(planner.plan(at(second))))
      used.insert(task.worker.value);
  }
  CHECK(used.size() >= 18);
}
