// Guards against gangs that wait without a trace: the log did not say why, nor how wide they were.
#include "../src/GangDecisions.h"
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

JobSpec gangOf(const std::string &id, std::uint32_t members, std::int64_t millicores) {
  JobSpec spec = makeJob(id, members, millicores, 2000);
  spec.steps[0].gang = true;
  return spec;
}

CellOptions twoWorkers() {
  CellOptions options;
  options.workers = 2;
  return options;
}

/// The gang "later" needs both workers, and one is busy for some seconds.
void submitGangBehindATask(FakeCell &cell) {
  cell.run(2500);
  cell.submit(makeJob("before", 1, 6000, 4000), 2);
  cell.run(100);
  cell.submit(gangOf("later", 2, 8000), 1);
}

/// Returns the outcomes reported for a job, in order.
std::vector<GangOutcome> outcomesOf(FakeCell &cell, const std::string &job) {
  std::vector<GangOutcome> outcomes;
  for (const GangDecision &decision : cell.takeGangDecisions()) {
    if (decision.step.job == job)
      outcomes.push_back(decision.outcome);
  }
  return outcomes;
}

bool contains(const std::vector<GangOutcome> &outcomes, GangOutcome outcome) {
  return std::find(outcomes.begin(), outcomes.end(), outcome) != outcomes.end();
}

} // namespace

TEST_GROUP(GangDecisions){};

TEST(GangDecisions, ShowsWhatAGangWaitsFor) {
  FakeCell cell(twoWorkers());
  submitGangBehindATask(cell);
  cell.submit(gangOf("never", 3, 8000), 1);
  cell.run(1000);
  std::vector<GangDecision> decisions = cell.takeGangDecisions();
  const auto later =
      std::find_if(decisions.begin(), decisions.end(),
                   [](const GangDecision &decision) { return decision.step.job == "later"; });
  CHECK(later != decisions.end());
  CHECK(later->outcome == GangOutcome::RoomInUse);
  LONGS_EQUAL(2, later->members);
  LONGS_EQUAL(2, later->places);
  CHECK(later->startsIn > base::Duration::zero());
  const auto never =
      std::find_if(decisions.begin(), decisions.end(),
                   [](const GangDecision &decision) { return decision.step.job == "never"; });
  CHECK(never != decisions.end());
  CHECK(never->outcome == GangOutcome::TooFewPlaces);
  cell.run(9000);
  CHECK(contains(outcomesOf(cell, "later"), GangOutcome::Placed));
}

/// However many gangs wait, the log stays readable and the counters hold them all.
TEST(GangDecisions, BoundsReportsAndCountsAll) {
  constexpr std::size_t Gangs = 500;
  constexpr std::size_t MaxReportsInOneSecond = 80;
  FakeCell cell(twoWorkers());
  cell.run(2500);
  for (std::size_t number = 0; number < Gangs; ++number)
    cell.submit(gangOf("gang-" + std::to_string(number), 9, 8000), 1);
  cell.run(900);
  CHECK(cell.takeGangDecisions().size() <= MaxReportsInOneSecond);
  std::uint64_t waiting = 0;
  for (const std::uint64_t count : cell.counters().gangs)
    waiting += count;
  LONGS_EQUAL(Gangs, waiting);
}

TEST(GangDecisions, LoadShowsReservedRoom) {
  FakeCell cell(twoWorkers());
  submitGangBehindATask(cell);
  cell.run(500);
  const CellLoad load = cell.load();
  LONGS_EQUAL(2, load.workers);
  LONGS_EQUAL(16000, load.capacity);
  LONGS_EQUAL(6000, load.used);
  LONGS_EQUAL(16000, load.reserved);
  LONGS_EQUAL(2, load.waitingMembers);
  LONGS_EQUAL(0, load.waitingTasks);
}
