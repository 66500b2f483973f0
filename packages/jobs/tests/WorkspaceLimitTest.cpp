// Guards against workspaces that run more than their limit, and against limits that stop or starve
// what may run.
#include "FakeCell.h"
#include "ManualCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::int64_t Limit = 10000;

Workspace workspace(const std::string &name, std::int64_t millicores, double weight = 1) {
  return {name, {name + "-key"}, weight, {millicores, 0, 0}};
}

CellOptions limitedCell(std::uint64_t seed) {
  CellOptions options;
  options.seed = seed;
  options.checkUse = true;
  options.workspaces = {workspace("limited", Limit), workspace("other", 0)};
  return options;
}

void checkNoViolation(const FakeCell &cell) {
  for (const std::string &violation : cell.findViolations())
    FAIL(violation.c_str());
}

JobSpec gangOf(const std::string &id, std::uint32_t members, std::int64_t milliseconds) {
  JobSpec spec = makeJob(id, members, 1000, milliseconds);
  spec.steps[0].gang = true;
  return spec;
}

std::uint32_t placementsOf(const FakeCell &cell, const std::string &job) {
  return cell.jobTable().findJob(job)->occurrences.at(0).steps[0].placements;
}

} // namespace

TEST_GROUP(WorkspaceLimit){};

/// Many starts that are decided at the same time.
TEST(WorkspaceLimit, HoldsInOneBatch) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  for (int number = 0; number < 20; ++number) {
    cell.submitFor("limited", makeJob("limited" + std::to_string(number), 4, 1000, 800));
    cell.submitFor("other", makeJob("other" + std::to_string(number), 1, 1000, 800));
  }
  cell.run(600);
  CHECK_EQUAL(Limit, cell.peakOf("limited").millicores);
  CHECK(cell.runningOf("other").millicores > Limit);
  cell.run(25000);
  CHECK(cell.allEnded());
  CHECK_EQUAL(Limit, cell.peakOf("limited").millicores);
  checkNoViolation(cell);
}

/// Starts that are unanswered, late, or ordered by a former leader may still run.
TEST(WorkspaceLimit, HoldsAcrossLeadersWithLateAndUnansweredStarts) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CellOptions options = limitedCell(seed);
    options.lateShare = 0.2;
    options.lostShare = 0.2;
    FakeCell cell(options);
    cell.run(2500);
    for (int number = 0; number < 12; ++number) {
      cell.submitFor("limited", makeJob("job" + std::to_string(number), 5, 1000, 1500));
      cell.run(200 + static_cast<std::int64_t>(cell.random().below(300)));
      if (number % 3 == 0)
        cell.changeLeader();
      if (number % 4 == 1)
        cell.restart(cell.random().below(options.workers), true);
    }
    cell.heal();
    cell.run(60000);
    CHECK(cell.allEnded());
    CHECK(cell.peakOf("limited").millicores <= Limit);
    checkNoViolation(cell);
  }
}

/// A cancelled run occupies its workspace until its worker says that it has ended.
TEST(WorkspaceLimit, CountsRunsWhoseStopIsNotConfirmed) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  cell.submitFor("limited", makeJob("first", 10, 1000, 60000));
  cell.run(500);
  for (std::size_t worker = 0; worker < 6; ++worker)
    cell.cut(worker, true);
  cell.cancel("first");
  cell.submitFor("limited", makeJob("second", 10, 1000, 1000));
  cell.run(1500);
  for (std::size_t worker = 0; worker < 6; ++worker)
    cell.cut(worker, false);
  cell.run(20000);
  CHECK(cell.phaseOf("second") == JobPhase::Succeeded);
  CHECK(cell.peakOf("limited").millicores <= Limit);
  checkNoViolation(cell);
}

/// Nothing is stopped for a lowered limit, and nothing starts until there is room under it.
TEST(WorkspaceLimit, LoweredLimitStopsNothingAndStartsNothing) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  cell.submitFor("limited", makeJob("running", 10, 1000, 3000));
  cell.run(500);
  CHECK_EQUAL(Limit, cell.runningOf("limited").millicores);
  cell.configure({workspace("limited", Limit / 2), workspace("other", 0)});
  cell.submitFor("limited", makeJob("next", 5, 1000, 500));
  bool isUnderNewLimit = false;
  for (int step = 0; step < 80; ++step) {
    cell.run(100);
    // What runs over the limit is of the first job alone.
    if (cell.runningOf("limited").millicores > Limit / 2)
      LONGS_EQUAL(0, placementsOf(cell, "next"));
    isUnderNewLimit |= placementsOf(cell, "next") > 0;
  }
  CHECK(isUnderNewLimit);
  CHECK(cell.phaseOf("running") == JobPhase::Succeeded);
  CHECK(cell.phaseOf("next") == JobPhase::Succeeded);
  LONGS_EQUAL(0, cell.counters().stops);
  checkNoViolation(cell);
}

/// A run whose order has not left when the limit is lowered must not start.
TEST(WorkspaceLimit, PlacedRunIsWithdrawnWhenTheLimitIsLowered) {
  ManualCell cell;
  Configuration configuration = *cell.table.state().configuration;
  configuration.version = 2;
  configuration.workspaces = {workspace("limited", 4000)};
  cell.apply({PutConfiguration{configuration}});
  JobSpec spec = cell.table.findJob("job")->spec;
  spec.id = "limited-job";
  spec.steps[0].count = 3;
  cell.apply({CancelJob{"job"}, AcceptJob{spec, configuration.queues[0], "limited"}});
  cell.answerRenewals();
  // The planner proposes the runs; they commit with the configuration that lowers the limit.
  std::vector<Command> proposed;
  for (int step = 0; step < 20 && proposed.empty(); ++step)
    proposed = cell.proposals(10);
  configuration.version = 3;
  configuration.workspaces = {workspace("limited", 2000)};
  proposed.emplace_back(PutConfiguration{configuration});
  cell.apply(std::move(proposed));
  LONGS_EQUAL(3, cell.table.findWorker("w")->placements.size());
  CHECK(cell.dispatcher->isUseConsistent());
  bool isStarted = false;
  for (int step = 0; step < 20 && !cell.table.findWorker("w")->placements.empty(); ++step)
    isStarted |= cell.find<StartOrder>(cell.step(10)) != nullptr;
  CHECK_FALSE(isStarted);
  LONGS_EQUAL(0, cell.table.findWorker("w")->placements.size());
  CHECK(cell.dispatcher->isUseConsistent());
  // Two of the tasks fit under the new limit.
  std::size_t starts = 0;
  for (int step = 0; step < 30; ++step) {
    for (const Action &order : cell.step(10))
      starts += std::holds_alternative<StartOrder>(order) ? 1 : 0;
  }
  LONGS_EQUAL(2, starts);
}

/// A gang starts within the tolerance or not at all.
TEST(WorkspaceLimit, GangMayUseTheTolerance) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  cell.submitFor("limited", gangOf("fits", 11, 1000));
  cell.run(5000);
  CHECK(cell.phaseOf("fits") == JobPhase::Succeeded);
  CHECK_EQUAL(11000, cell.peakOf("limited").millicores);
  cell.submitFor("limited", gangOf("wide", 12, 1000));
  cell.submitFor("limited", makeJob("beside", 10, 1000, 1000));
  cell.run(10000);
  LONGS_EQUAL(0, placementsOf(cell, "wide"));
  CHECK(cell.phaseOf("beside") == JobPhase::Succeeded);
  bool isExplained = false;
  for (const GangDecision &decision : cell.takeGangDecisions())
    isExplained |= decision.step.job == "wide" && decision.outcome == GangOutcome::OverLimit;
  CHECK(isExplained);
  checkNoViolation(cell);
}

/// A gang over its limit held room that others could use.
TEST(WorkspaceLimit, GangThatMayNotStartReservesNothing) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  cell.submitFor("limited", makeJob("long", 10, 1000, 30000));
  cell.run(500);
  cell.submitFor("limited", gangOf("gang", 8, 1000));
  cell.run(500);
  LONGS_EQUAL(0, cell.load().reserved);
}

/// Advice was spent on steps that could not start.
TEST(WorkspaceLimit, NoAdviceForStepsOverTheLimit) {
  CellOptions options = limitedCell(1);
  options.advice = true;
  FakeCell cell(options);
  cell.run(2000);
  cell.submitFor("limited", makeJob("long", 10, 1000, 30000));
  cell.run(2000);
  CHECK_EQUAL(Limit, cell.runningOf("limited").millicores);
  const std::uint64_t callsBefore = cell.counters().adviceCalls;
  cell.submitFor("limited", makeJob("waits", 10, 1000, 1000));
  cell.submitFor("limited", gangOf("gang", 5, 1000));
  cell.run(2000);
  LONGS_EQUAL(callsBefore, cell.counters().adviceCalls);
}

TEST(WorkspaceLimit, ReachedAndLeftAreReported) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  for (int number = 0; number < 10; ++number)
    cell.submitFor("limited", makeJob("job" + std::to_string(number), 4, 1000, 800));
  cell.run(1000);
  const std::vector<LimitDecision> reached = cell.takeLimitDecisions();
  LONGS_EQUAL(1, reached.size());
  CHECK(reached[0].change == LimitChange::Reached);
  STRCMP_EQUAL("limited", reached[0].workspace.c_str());
  CHECK(reached[0].held > 0);
  cell.run(20000);
  const std::vector<LimitDecision> left = cell.takeLimitDecisions();
  LONGS_EQUAL(1, left.size());
  CHECK(left[0].change == LimitChange::Left);
}

TEST(WorkspaceLimit, LimitBelowUseIsReported) {
  FakeCell cell(limitedCell(1));
  cell.run(2000);
  cell.submitFor("limited", makeJob("running", 10, 1000, 3000));
  cell.run(500);
  cell.configure({workspace("limited", Limit / 2), workspace("other", 0)});
  cell.run(500);
  const std::vector<LimitDecision> decisions = cell.takeLimitDecisions();
  LONGS_EQUAL(1, decisions.size());
  CHECK(decisions[0].change == LimitChange::BelowUse);
  CHECK_EQUAL(Limit, decisions[0].use.millicores);
}

TEST(WorkspaceLimit, StepThatCanNeverStartIsNamed) {
  const Workspace limited = {"limited", {"key"}, 1, {10000, 0, 2}};
  Step gang = gangOf("gang", 11, 1000).steps[0];
  CHECK(mayEverStart(limited, gang, 0.1));
  gang.count = 12;
  CHECK(limitThatBars(limited, gang, 0.1) == std::optional<std::string_view>("processors"));
  gang.bestEffortCpu = true;
  CHECK(mayEverStart(limited, gang, 0.1));
  gang.demand.accelerators = 1;
  CHECK(limitThatBars(limited, gang, 0.1) == std::optional<std::string_view>("accelerators"));
  gang.gang = false;
  CHECK(mayEverStart(limited, gang, 0.1));
}
