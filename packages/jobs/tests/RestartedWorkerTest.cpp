// Guards against what holds for one life of a worker and is used in its next one under the same
// identifier: leases, counts of ends, orders and placements.
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

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
