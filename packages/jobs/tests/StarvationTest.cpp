// Guards against wide jobs that starve under overload: fresh work comes first once they are late.
#include "FleetLoad.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::size_t Reconcile = 0;
constexpr std::size_t Trend = 1;
constexpr double WidestTenth = 0.9;

/// A size must not be served less than half as often as its whole class.
constexpr double LeastShare = 0.5;

} // namespace

/// The wider a gang, the longer it took to collect tickets for all its members.
TEST_GROUP(GangStarvation){};

/// One call names fewer workers than this gang needs, and its tickets ended before the next calls
/// had found the others.
TEST(GangStarvation, GangWiderThanOneCallStarts) {
  constexpr std::uint32_t Members = 120;
  CellOptions options = fleetOptions(1, 500);
  options.advisers = 20;
  options.capacity = {5000, 32000, 0}; // One member on each worker.
  FakeCell cell(options);
  cell.run(3000);
  const LoadClass kind = fleetClasses().at(Reconcile);
  JobSpec spec = makeJob("wide", Members, kind.millicores, kind.milliseconds);
  spec.steps[0].gang = true;
  cell.submit(std::move(spec), queueOf(kind));
  cell.run(3000);
  LONGS_EQUAL(Members, cell.jobTable().findJob("wide")->occurrences.at(0).steps[0].placements);
  CHECK(cell.findViolations().empty());
}

TEST(GangStarvation, WidestTenthIsServedHalfAsOftenAsAll) {
  constexpr double Overload = 1.7;
  FakeCell cell(fleetOptions(1));
  cell.run(3000);
  FleetLoad load(cell, 101);
  load.setFactor(Overload);
  load.run(16000);
  cell.run(14000);
  const Served all = load.served(Reconcile);
  const Served widest = load.served(Reconcile, WidestTenth);
  CHECK(widest.jobs >= 20);
  CHECK(widest.share() >= LeastShare * all.share());
  CHECK(widest.inTargetShare() >= LeastShare * all.inTargetShare());
  CHECK(cell.findViolations().empty());
}

/// The last tasks of a wide step turn late, and wait behind fresh work from then on.
TEST_GROUP(StepStarvation){};

TEST(StepStarvation, WidestTenthIsServedHalfAsOftenAsAll) {
  constexpr double Overload = 1.5;
  CellOptions options = fleetOptions(14);
  options.capacity.millicores = FleetCapacity.millicores * 3 / 5;
  FakeCell cell(options);
  cell.run(3000);
  FleetLoad load(cell, 114);
  load.setFactor(Overload);
  load.run(34000);
  cell.run(25000);
  const Served all = load.served(Trend);
  const Served widest = load.served(Trend, WidestTenth);
  CHECK(widest.jobs >= 20);
  CHECK(widest.share() >= LeastShare * all.share());
  CHECK(cell.findViolations().empty());
}
