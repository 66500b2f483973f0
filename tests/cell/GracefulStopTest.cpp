// Guards I7: while every daemon in turn stops as planned under load, each request gets an answer
// if it was sent before the stop or within the second in which the balancer notices the stop.
#include "CellSetup.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using test::TestCell;
using namespace std::chrono_literals;

namespace {

/// One request per 60 ms: the stand-ins' slow requests then hold less than half of the 32 slots.
void load(TestCell &cell, base::Duration time, base::DaemonId except, std::uint64_t &number) {
  for (base::Duration spent{}; spent < time; spent += 60ms, cell.run(60ms)) {
    const auto entry = static_cast<base::DaemonId>(1 + cell.random().below(5));
    if (entry == except)
      continue;
    const bool repeatable = cell.random().below(2) == 0;
    cell.request(entry, repeatable ? "trend" : "level-check", repeatable,
                 "k" + std::to_string(++number));
  }
}

std::string scenario(std::uint64_t seed) {
  TestCell cell(seed, 8);
  test::prepare(cell);
  std::uint64_t number = 0;
  for (base::DaemonId id = 1; id <= 5; ++id) {
    load(cell, 1s, base::NoDaemon, number);
    cell.stopGracefully(id);
    load(cell, 900ms, base::NoDaemon, number);
    load(cell, 8s, id, number);
    if (!cell.runUntil([&] { return !cell.isAlive(id); }, 80s))
      return "daemon " + std::to_string(id) + " did not end";
    cell.restart(id);
    cell.run(10s);
  }
  cell.run(70s);
  std::string report;
  std::size_t complete = 0;
  for (const test::CallerRequest &request : cell.requests()) {
    if (!request.answered)
      report += "request " + request.key + " was cut off; ";
    complete += request.answered && request.response.status == 200;
  }
  if (complete * 10 < cell.requests().size() * 8)
    report += "only " + std::to_string(complete) + " of " + std::to_string(cell.requests().size()) +
              " requests ran; ";
  for (const std::string &violation : cell.violations())
    report += violation + "; ";
  return report;
}

} // namespace

TEST_GROUP(GracefulStop){};

TEST(GracefulStop, CutsOffNoRequest) {
  const std::uint64_t first = test::setting("CELL_SEED", 1);
  for (std::uint64_t seed = first; seed < first + test::setting("CELL_RUNS", 5); ++seed) {
    const std::string report = scenario(seed);
    if (!report.empty())
      FAIL(("CELL_SEED=" + std::to_string(seed) + ": " + report).c_str());
  }
}
