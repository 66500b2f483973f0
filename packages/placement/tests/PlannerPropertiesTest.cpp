// Guards the invariants of the planner under random faults: lost and returning workers, refusals,
// failures, late and duplicate events, changes of leader and mass cancellations.
#include <rapidcheck.h>

#include "FaultyCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

namespace {

CellOptions drawOptions() {
  CellOptions options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.workers = *rc::gen::inRange(1, 9);
  options.jobs = *rc::gen::inRange(1, 20);
  options.steps = *rc::gen::inRange(1, 120);
  options.faultsPerMille = *rc::gen::element(0, 10, 30, 80);
  options.leaderChanges = *rc::gen::arbitrary<bool>();
  return options;
}

void expectNone(const std::vector<std::string> &violations) {
  if (!violations.empty())
    RC_FAIL(violations.front());
}

} // namespace

TEST_GROUP(PlannerProperties){};

TEST(PlannerProperties, NeverOvercommitsAWorker) {
  CHECK(rc::check("starts in flight and unconfirmed stops fit in every worker",
                  [] { expectNone(FaultyCell(drawOptions()).run().capacity); }));
}

TEST(PlannerProperties, NeverRunsATaskTwiceAtOnce) {
  CHECK(rc::check("a task is assigned only after its last attempt has certainly ended",
                  [] { expectNone(FaultyCell(drawOptions()).run().placements); }));
}

TEST(PlannerProperties, StartsGangsWholeOrNotAtAll) {
  CHECK(rc::check("a gang is assigned in one call, while none of it runs",
                  [] { expectNone(FaultyCell(drawOptions()).run().gangs); }));
}

TEST(PlannerProperties, EndsJobsOnceWithTheCorrectReason) {
  CHECK(rc::check("each job ends once, with the correct reason, and none of its tasks runs",
                  [] { expectNone(FaultyCell(drawOptions()).run().ends); }));
}

TEST(PlannerProperties, EnforcesQuotasExceptForBorrowing) {
  CHECK(rc::check("only preemptible tasks borrow; only lower priority or borrowers are preempted",
                  [] { expectNone(FaultyCell(drawOptions()).run().quotas); }));
}

TEST(PlannerProperties, EveryJobEndsInBoundedTime) {
  CHECK(rc::check("without further faults every job ends within the bound",
                  [] { expectNone(FaultyCell(drawOptions()).run().progress); }));
}
