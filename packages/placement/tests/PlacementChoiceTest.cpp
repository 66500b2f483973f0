// Guards against stranded accelerators, fragmented capacity, and services in one rack.
#include "Builders.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

TEST_GROUP(PlacementChoice){};

TEST(PlacementChoice, KeepsAcceleratorsForTasksThatNeedThem) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("accelerated", {8000, 16384, 4}));
  planner.updateWorker(makeWorker("plain", {4000, 16384, 0}));
  planner.putJob(makeJob("cpu", JobKind::Batch, 12), at(0));
  std::map<std::string, int> starts;
  for (const AssignTask &task : only<AssignTask>(planner.plan(at(0))))
    ++starts[task.worker.value];
  CHECK_EQUAL(4, starts["plain"]);
  CHECK_EQUAL(4, starts["accelerated"]);
  planner.putJob(makeJob("acc", JobKind::Batch, 4, {1000, 1024, 1}), at(1));
  CHECK_EQUAL(4, only<AssignTask>(planner.plan(at(1))).size());
}

TEST(PlacementChoice, ReleasesTheAcceleratorReserveToATaskThatWaitsLong) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("accelerated", {8000, 16384, 4}));
  planner.putJob(makeJob("cpu", JobKind::Batch, 8), at(0));
  CHECK_EQUAL(4, only<AssignTask>(planner.plan(at(0))).size());
  CHECK_EQUAL(4, only<AssignTask>(planner.plan(at(601))).size());
}

TEST(PlacementChoice, LeavesTheLargestFreeWorkerForLargeTasks) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("large", {8000, 16384, 0}));
  planner.updateWorker(makeWorker("small", {2000, 4096, 0}));
  planner.putJob(makeJob("a", JobKind::Batch, 2), at(0));
  for (const AssignTask &task : only<AssignTask>(planner.plan(at(0))))
    STRCMP_EQUAL("small", task.worker.value.c_str());
}

TEST(PlacementChoice, FindsAWorkerBehindManyThatLackMemory) {
  Planner planner = makePlanner();
  for (int number = 0; number < 300; ++number)
    planner.updateWorker(makeWorker("w" + std::to_string(number), {2000, 512, 0}));
  planner.updateWorker(makeWorker("wanted", {4000, 4096, 0}));
  planner.putJob(makeJob("a", JobKind::Batch, 1), at(0));
  CHECK_EQUAL(1, only<AssignTask>(planner.plan(at(0))).size());
}

TEST(PlacementChoice, SpreadsAServiceOverDataCentresAndRacks) {
  Planner planner = makePlanner();
  std::map<std::string, std::string> rackOf;
  for (int number = 0; number < 16; ++number) {
    const std::string rack = "r" + std::to_string(number % 4);
    const std::string zone = number % 2 == 0 ? "a" : "b";
    const std::string id = "w" + std::to_string(number);
    rackOf[id] = zone + rack;
    planner.updateWorker(makeWorker(id, {8000, 16384, 0}, zone, rack));
  }
  planner.putJob(makeJob("s", JobKind::Service, 4), at(0));
  std::set<std::string> racks;
  for (const AssignTask &task : only<AssignTask>(planner.plan(at(0))))
    racks.insert(rackOf[task.worker.value]);
  CHECK_EQUAL(4, racks.size());
}
