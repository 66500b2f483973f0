// Guards against what holds for one life of a worker and is used in its next one under the same
// identifier: leases, counts of ends, orders and placements.
#include "FakeCell.h"
#include "ManualCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::int64_t FormerStartMs = 7;
constexpr std::int64_t NextStartMs = 9000;
const TaskKey OnlyTask{"job", 0, 0, 0};

/// The next order of a type within 200 ms.
template <typename Order> std::optional<Order> next(ManualCell &cell) {
  for (int round = 0; round < 20; ++round) {
    const std::vector<Action> orders = cell.step(10);
    if (const Order *order = cell.find<Order>(orders))
      return *order;
  }
  return std::nullopt;
}

WorkerProfile nextLife(const ManualCell &cell) {
  WorkerProfile profile = cell.table.findWorker("w")->profile;
  profile.incarnation.startTimeMs = NextStartMs;
  return profile;
}

} // namespace

TEST_GROUP(RestartedWorker){};

/// A lease that was meant for the former life lasts longer on the next one's clock.
TEST(RestartedWorker, CutSoonAfterItsReturnRunsNoTaskTwice) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CellOptions options;
    options.seed = seed;
    FakeCell cell(options);
    cell.run(6000);
    cell.restart(0, true);
    cell.run(300);
    cell.submit(makeJob("job", 40, 1000, 16000));
    cell.run(700);
    cell.cut(0, true);
    cell.run(20000);
    cell.cut(0, false);
    cell.run(40000);
    CHECK(cell.allEnded());
    for (const std::string &violation : cell.findViolations())
      FAIL(violation.c_str());
  }
}

/// An order of the former life that is late was carried out after the next one had been listed.
TEST(RestartedWorker, RefusesLateOrdersOfItsFormerLife) {
  ManualCell cell;
  const auto tokenNow = [&cell] {
    const std::optional<RenewLeaseOrder> order = next<RenewLeaseOrder>(cell);
    CHECK(order.has_value());
    return order->target.fencingToken;
  };
  std::uint64_t highest = tokenNow();
  const auto checkRise = [&](const char *text) {
    const std::uint64_t token = tokenNow();
    CHECK_TEXT(token > highest, text);
    highest = token;
  };
  const WorkerProfile former = cell.table.findWorker("w")->profile;
  cell.apply({RestartWorker{former.incarnation, nextLife(cell)}});
  checkRise("restart");
  cell.apply({RemoveWorker{{"w", NextStartMs}, {}}});
  cell.apply({RegisterWorker{former}});
  checkRise("removal and registration");
  cell.lead(6);
  checkRise("new leader");
  cell.apply({RemoveWorker{former.incarnation, {}}});
  cell.apply({RegisterWorker{former}});
  checkRise("removal and registration at a new leader");
}
