// Guards against gangs that never start on a busy cell: small tasks filled every gap, so a wide
// gang never had room for all members at the same time.
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::size_t Workers = 6;
constexpr std::uint32_t GangPriority = 1;
constexpr std::uint32_t FillerPriority = 2;

JobSpec wideGang() {
  JobSpec spec = makeJob("gang", 2 * Workers, 3500, 2000);
  spec.steps[0].gang = true;
  return spec;
}

/// Submits more short tasks than the cell has room for.
void runUnderLoad(FakeCell &cell, int rounds, int &number) {
  for (int round = 0; round < rounds; ++round) {
    for (int job = 0; job < 8; ++job)
      cell.submit(makeJob("small" + std::to_string(number++), 3, 1500, 900), FillerPriority);
    cell.run(300);
  }
}

void checkGangEnds(bool advice) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CellOptions options;
    options.seed = seed;
    options.advice = advice;
    options.workers = Workers;
    FakeCell cell(options);
    cell.run(2500);
    int number = 0;
    runUnderLoad(cell, 10, number);
    JobSpec gang = wideGang();
    // The advisory service refuses one worker, so fewer members fit.
    gang.steps[0].count = advice ? 2 * (Workers - 1) : 2 * Workers;
    cell.submit(gang, GangPriority);
    // The job's target is three times its work plus 1 s. Meeting it means the gang started in time.
    runUnderLoad(cell, 23, number);
    CHECK(cell.phaseOf("gang") == JobPhase::Succeeded);
    for (const std::string &violation : cell.findViolations())
      FAIL(violation.c_str());
  }
}

/// Expects two workers. Keeps one busy for several seconds and submits a gang that needs both.
void beginReserving(FakeCell &cell) {
  cell.run(2500);
  cell.submit(makeJob("long", 1, 6000, 6000), FillerPriority);
  cell.run(100);
  JobSpec gang = makeJob("gang", 2, 8000, 1000);
  gang.steps[0].gang = true;
  cell.submit(gang, GangPriority);
  cell.run(100);
}

/// Returns the worker of the job's first task, or an empty string if it is not placed yet.
std::string workerOf(const FakeCell &cell, const std::string &job) {
  const Job *found = cell.jobTable().findJob(job);
  return found == nullptr ? std::string() : found->occurrences.at(0).steps[0].tasks[0].worker;
}

} // namespace

TEST_GROUP(GangReservations){};

TEST(GangReservations, WideGangStartsInTimeBesideSmallTasks) { checkGangEnds(false); }

TEST(GangReservations, WideGangStartsInTimeWithTickets) { checkGangEnds(true); }

/// Room reserved for a waiting gang stays available to tasks of higher priority.
TEST(GangReservations, UrgentTaskUsesReservedRoom) {
  CellOptions options;
  options.workers = 2;
  FakeCell cell(options);
  beginReserving(cell);
  cell.submit(makeJob("urgent", 1, 8000, 1000), 0);
  cell.run(2000);
  CHECK(cell.phaseOf("urgent") == JobPhase::Succeeded);
  CHECK(cell.phaseOf("gang") == JobPhase::Active);
  cell.run(15000);
  CHECK(cell.phaseOf("gang") == JobPhase::Succeeded);
}

/// A task that ends before the gang can start does not delay it, so it may run in the reserved
/// room.
TEST(GangReservations, ShortTaskRunsInRoomReservedForAGang) {
  CellOptions options;
  options.workers = 2;
  FakeCell cell(options);
  beginReserving(cell);
  cell.submit(makeJob("short", 1, 8000, 500), FillerPriority);
  cell.run(1200);
  CHECK(cell.phaseOf("short") == JobPhase::Succeeded);
}

/// Urgent tasks were placed on the workers that a gang was about to use, which delayed the gang
/// each time.
TEST(GangReservations, UrgentTaskPrefersUnreservedRoom) {
  CellOptions options;
  options.workers = 3;
  FakeCell cell(options);
  cell.run(2500);
  cell.submit(makeJob("beside", 1, 3000, 9000), FillerPriority);
  cell.run(100);
  cell.submit(makeJob("before", 1, 6000, 4000), FillerPriority);
  cell.run(100);
  // The gang waits for the idle worker and the worker whose task ends sooner.
  JobSpec gang = makeJob("gang", 2, 8000, 1000);
  gang.steps[0].gang = true;
  cell.submit(gang, GangPriority);
  cell.run(100);
  cell.submit(makeJob("urgent", 1, 1000, 9000), 0);
  cell.run(100);
  CHECK(!workerOf(cell, "urgent").empty());
  CHECK_EQUAL(workerOf(cell, "beside"), workerOf(cell, "urgent"));
}
