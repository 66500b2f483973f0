// Guards against accepting jobs that can never run, and refusals that do not say why.
#include "Builders.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::placement;

namespace {

std::string refusal(const Planner &planner, const JobSpec &spec) {
  const auto status = planner.checkFeasible(spec);
  return status.ok() ? "" : status.error().message;
}

bool names(const std::string &text, const std::string &word) {
  return text.find(word) != std::string::npos;
}

} // namespace

TEST_GROUP(Feasibility){};

TEST(Feasibility, NamesTheResourceOrConstraint) {
  Planner planner = makePlanner();
  planner.updateWorker(makeWorker("w", {8000, 16384, 0}));
  planner.updateWorker(makeWorker("x", {2000, 16384, 2}));
  planner.setQuota("team", {6000, 99999, 2});
  CHECK(refusal(planner, makeJob("j", JobKind::Batch, 100)).empty());
  CHECK(names(refusal(planner, makeJob("j", JobKind::Batch, 1, {9000, 1, 0})), "millicores"));
  CHECK(names(refusal(planner, makeJob("j", JobKind::Batch, 1, {1, 99999, 0})), "memory_mib"));
  CHECK(names(refusal(planner, makeJob("j", JobKind::Batch, 1, {1, 1, 3})), "accelerators"));
  CHECK(names(refusal(planner, makeJob("j", JobKind::Batch, 1, {4000, 1, 1})), "together"));
  CHECK(names(refusal(planner, makeJob("j", JobKind::Gang, 7)), "quota"));
  planner.clearQuota("team");
  CHECK(names(refusal(planner, makeJob("j", JobKind::Gang, 11)), "holds 10"));
  JobSpec elsewhere = makeJob("j", JobKind::Batch, 1);
  elsewhere.dataCentres = {"z"};
  CHECK(names(refusal(planner, elsewhere), "data_centres"));
}
