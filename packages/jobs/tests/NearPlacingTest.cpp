// Guards against waits for a rack that the dispatcher does not begin, does not end, or begins for
// steps that prefer no rack.
#include "FleetLoad.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

/// Two racks of two workers; runs take as long as estimated.
CellOptions twoRacks() {
  CellOptions options;
  options.workers = 4;
  options.workersPerRack = 2;
  options.runFactor = 1;
  return options;
}

JobSpec nearJob(const std::string &id, std::uint32_t tasks, std::int64_t millicores,
                std::int64_t milliseconds, const std::string &rack = "rack0") {
  JobSpec spec = makeJob(id, tasks, millicores, milliseconds);
  spec.steps[0].dataRack = rack;
  return spec;
}

/// Racks on which the tasks of a job were started last.
std::set<std::string> racksOf(const FakeCell &cell, const std::string &job) {
  std::set<std::string> racks;
  for (const Task &task : cell.jobTable().findJob(job)->occurrences.at(0).steps[0].tasks) {
    const Worker *worker = cell.jobTable().findWorker(task.worker);
    racks.insert(worker == nullptr ? "none" : worker->profile.rack);
  }
  return racks;
}

const std::set<std::string> First = {"rack0"};
const std::set<std::string> Second = {"rack1"};

/// Fills the first rack for this time, and submits a step with its data there.
void submitBehindFiller(FakeCell &cell, std::int64_t fillerMs) {
  cell.run(2000);
  cell.submit(nearJob("filler", 16, 1000, fillerMs));
  cell.run(100);
  CHECK(racksOf(cell, "filler") == First);
  cell.submit(nearJob("near", 2, 1000, 4000));
}

void checkWaitsAreBounded(FakeCell &cell) {
  for (const PlacementWait &wait : cell.takePlacementWaits())
    CHECK(wait.waited <= std::chrono::milliseconds(1500));
}

} // namespace

TEST_GROUP(NearPlacing){};

TEST(NearPlacing, StepWaitsForTheRackOfItsData) {
  FakeCell cell(twoRacks());
  submitBehindFiller(cell, 800);
  cell.run(500);
  CHECK_EQUAL(1U, cell.counters().waits.begun);
  CHECK(cell.jobTable().findJob("near")->occurrences.at(0).steps[0].placements == 0);
  cell.run(600);
  CHECK(racksOf(cell, "near") == First);
  CHECK_EQUAL(1U, cell.counters().waits.reached);
  checkWaitsAreBounded(cell);
  cell.run(6000);
  CHECK(cell.allEnded());
  CHECK(cell.findViolations().empty());
}

TEST(NearPlacing, StepDoesNotWaitForLong) {
  FakeCell cell(twoRacks());
  submitBehindFiller(cell, 8000);
  cell.run(200);
  CHECK(racksOf(cell, "near") == Second);
  CHECK_EQUAL(0U, cell.counters().waits.begun);
}

/// Advice names workers that have room; those of the data's rack would never be asked about.
TEST(NearPlacing, StepWithAdviceWaitsForTheRackOfItsData) {
  CellOptions options = twoRacks();
  options.advice = true;
  options.permittedShares = {{"queue", 0.9999}};
  FakeCell cell(options);
  submitBehindFiller(cell, 800);
  cell.run(1500);
  CHECK(racksOf(cell, "near") == First);
  CHECK_EQUAL(1U, cell.counters().waits.reached);
}

TEST(NearPlacing, AdviceNamesTheRackOfTheDataFirst) {
  CellOptions options = twoRacks();
  options.workers = 200;
  options.workersPerRack = 8;
  options.advice = true;
  FakeCell cell(options);
  cell.run(2000);
  cell.submit(nearJob("near", 5, 8000, 2000, "rack20"));
  cell.run(300);
  CHECK(racksOf(cell, "near") == std::set<std::string>{"rack20"});
}

/// Runs last ten times as long as estimated, so the room never comes.
TEST(NearPlacing, WaitIsGivenUpWhenTheRoomDoesNotCome) {
  CellOptions options = twoRacks();
  options.runFactor = 10;
  FakeCell cell(options);
  submitBehindFiller(cell, 800);
  cell.run(1700);
  CHECK(racksOf(cell, "near") == Second);
  CHECK_EQUAL(1U, cell.counters().waits.givenUp);
  checkWaitsAreBounded(cell);
}

TEST(NearPlacing, WaitBeginsAnewAfterAChangeOfLeaderAndStaysBounded) {
  CellOptions options = twoRacks();
  options.runFactor = 10;
  FakeCell cell(options);
  submitBehindFiller(cell, 800);
  cell.run(400);
  CHECK_EQUAL(1U, cell.counters().waits.begun);
  cell.changeLeader();
  cell.run(300);
  CHECK_EQUAL(1U, cell.counters().waits.begun);
  CHECK(cell.jobTable().findJob("near")->occurrences.at(0).steps[0].placements == 0);
  cell.run(1300);
  CHECK(racksOf(cell, "near") == Second);
  CHECK_EQUAL(1U, cell.counters().waits.givenUp);
  checkWaitsAreBounded(cell);
}

TEST(NearPlacing, EndOfTheJobEndsItsWait) {
  FakeCell cell(twoRacks());
  submitBehindFiller(cell, 800);
  cell.run(300);
  CHECK_EQUAL(1U, cell.counters().waits.begun);
  cell.cancel("near");
  cell.run(100);
  CHECK_EQUAL(1U, cell.counters().waits.givenUp);
  CHECK_EQUAL(std::string("job_ended"), cell.takePlacementWaits().at(0).reason);
}

TEST_GROUP(GangOnOneRack){static JobSpec gang(std::int64_t milliseconds){
    JobSpec spec = makeJob("gang", 4, 4000, milliseconds);
spec.steps[0].gang = true;
spec.steps[0].sameRack = true;
return spec;
}
}
;

/// The fullest workers come first, and are on several racks.
TEST(GangOnOneRack, TakesTheRackThatHoldsAllMembers) {
  FakeCell cell(twoRacks());
  cell.run(2000);
  cell.submit(nearJob("filler", 1, 4000, 9000));
  cell.run(100);
  cell.submit(gang(2000));
  cell.run(200);
  CHECK(racksOf(cell, "gang") == Second);
  CHECK_EQUAL(0U, cell.counters().waits.begun);
}

TEST(GangOnOneRack, WaitsUntilARackHoldsAllMembers) {
  FakeCell cell(twoRacks());
  cell.run(2000);
  cell.submit(nearJob("filler0", 1, 4000, 9000, "rack0"));
  cell.submit(nearJob("filler1", 1, 4000, 800, "rack1"));
  cell.run(100);
  cell.submit(gang(4000));
  cell.run(400);
  CHECK_EQUAL(1U, cell.counters().waits.begun);
  cell.run(900);
  CHECK(racksOf(cell, "gang") == Second);
  CHECK_EQUAL(1U, cell.counters().waits.reached);
}

TEST(GangOnOneRack, StartsSpreadIfTheWaitIsTooLong) {
  FakeCell cell(twoRacks());
  cell.run(2000);
  cell.submit(nearJob("filler0", 1, 4000, 9000, "rack0"));
  cell.submit(nearJob("filler1", 1, 4000, 9000, "rack1"));
  cell.run(100);
  cell.submit(gang(4000));
  cell.run(300);
  CHECK_EQUAL(2U, racksOf(cell, "gang").size());
}

/// The same random load of tasks and gangs that prefer no rack, with and without a reason to wait.
TEST(NearPlacing, StepsWithoutARackArePlacedAsWithoutTheDecision) {
  const auto startsWith = [](double penalty, std::size_t perRack) {
    CellOptions options = fleetOptions(7, 60);
    options.remotePenalty = penalty;
    options.workersPerRack = perRack;
    FakeCell cell(options);
    cell.run(3000);
    FleetLoad load(cell, 17);
    load.setFactor(60.0 / ReferenceWorkers);
    load.run(8000);
    CHECK_EQUAL(0U, cell.counters().waits.begun);
    return cell.startNames();
  };
  const std::vector<std::string> without = startsWith(1, 0);
  CHECK(without.size() > 300);
  CHECK(without == startsWith(3, 8));
}
