// Guards against accepting jobs that can never run, and against refusals without the reason.
#include "Builders.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

namespace {

std::string refusal(const Planner &planner, const JobSpec &spec) {
  const auto status = planner.checkFeasible(spec);
  return status.ok() ? "" : status.error().message;
}

bool contains(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(Feasibility){};

TEST(Feasibility, NamesTheResourceOrConstraint) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w", {8000, 16384, 0}));
  planner.updateWorker(makeWorker("x", {2000, 16384, 2}));
  planner.setQuota("team", {6000, 99999, 2});
  CHECK(refusal(planner, makeJob("j", JobKind::Batch, 100)).empty());
  CHECK(contains(refusal(planner, makeJob("j", JobKind::Batch, 1, {9000, 1, 0})), "millicores"));
  CHECK(contains(refusal(planner, makeJob("j", JobKind::Batch, 1, {1, 99999, 0})), "memory_mib"));
  CHECK(contains(refusal(planner, makeJob("j", JobKind::Batch, 1, {1, 1, 3})), "accelerators"));
  CHECK(contains(refusal(planner, makeJob("j", JobKind::Batch, 1, {4000, 1, 1})), "together"));
  CHECK(contains(refusal(planner, makeJob("j", JobKind::Gang, 7)), "quota"));
  planner.clearQuota("team");
  CHECK(contains(refusal(planner, makeJob("j", JobKind::Gang, 11)), "holds 10"));
  JobSpec elsewhere = makeJob("j", JobKind::Batch, 1);
  elsewhere.dataCentres = {"z"};
  CHECK(contains(refusal(planner, elsewhere), "data_centres"));
}
