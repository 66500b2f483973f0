// Guards I6: an instance that leaves through any daemon gets no request later than 3 s after that,
// also when messages between daemons are lost.
#include "CellSetup.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using test::TestCell;
using namespace std::chrono_literals;

namespace {

std::string scenario(std::uint64_t seed, double loss) {
  TestCell cell(seed, 8);
  test::prepare(cell);
  cell.setLoss(loss);
  std::uint64_t number = 0;
  for (std::size_t upstream = 0; upstream < 6; ++upstream) {
    cell.leave(upstream, static_cast<base::DaemonId>(1 + cell.random().below(5)));
    for (int i = 0; i < 100; ++i) {
      cell.request(static_cast<base::DaemonId>(1 + cell.random().below(5)), "trend", true,
                   "r" + std::to_string(++number));
      cell.run(50ms);
    }
    if (!cell.hasLeft(upstream))
      return "the leave was not confirmed";
  }
  std::string report;
  for (const std::string &violation : cell.violations())
    report += violation + "; ";
  return report;
}

void search(double loss) {
  const std::uint64_t first = test::setting("CELL_SEED", 1);
  for (std::uint64_t seed = first; seed < first + test::setting("CELL_RUNS", 10); ++seed) {
    const std::string report = scenario(seed, loss);
    if (!report.empty())
      FAIL(("CELL_SEED=" + std::to_string(seed) + ": " + report).c_str());
  }
}

} // namespace

TEST_GROUP(UpstreamLeaving){};

TEST(UpstreamLeaving, GetsNoRequestAfterThreeSeconds) { search(0); }

TEST(UpstreamLeaving, GetsNoRequestAfterThreeSecondsDespiteLoss) { search(0.1); }
