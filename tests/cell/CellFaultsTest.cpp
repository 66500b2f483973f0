// Guards the invariants of the whole system while daemons crash, pause, restart, stop gracefully
// and lose contact to each other and to workers. Every run is replayed from its seed.
#include "CellSetup.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using test::prepare;
using test::setting;
using test::TestCell;
using namespace std::chrono_literals;

namespace {

void injectFault(TestCell &cell) {
  base::RandomSource &random = cell.random();
  const auto any = [&random] { return static_cast<base::DaemonId>(1 + random.below(5)); };
  const base::DaemonId one = any();
  switch (random.below(8)) {
  case 0:
    cell.crash(one);
    return;
  case 1:
    cell.restart(one);
    return;
  case 2:
    cell.pause(one, base::Duration(static_cast<std::int64_t>(random.below(20'000'000))));
    return;
  case 3:
    cell.setCut(one, any(), true);
    return;
  case 4:
    for (base::DaemonId other = 1; other <= 5; ++other) {
      cell.setCut(one, other, true);
      cell.setCut(other, one, true);
    }
    return;
  case 5:
    cell.setWorkerCut(random.below(8), random.below(2) == 0);
    return;
  case 6:
    if (cell.isAlive(one))
      cell.stopGracefully(one);
    return;
  default:
    cell.healAll();
    return;
  }
}

void sendRequests(TestCell &cell, std::uint64_t &number) {
  base::RandomSource &random = cell.random();
  for (int i = 0; i < 12; ++i) {
    const auto entry = static_cast<base::DaemonId>(1 + random.below(5));
    const bool repeatable = random.below(2) == 0;
    // A third of the non-repeatable requests are resends of a recent key.
    const bool resend = !repeatable && number > 4 && random.below(3) == 0;
    const std::uint64_t key = resend ? number - random.below(4) : ++number;
    if (resend)
      cell.request(entry, "level-check", false, "n" + std::to_string(key));
    else
      cell.request(entry, repeatable ? "trend" : "level-check", repeatable,
                   (repeatable ? "r" : "n") + std::to_string(key));
    cell.run(base::Duration(static_cast<std::int64_t>(random.below(200'000))));
  }
}

std::string scenario(std::uint64_t seed) {
  TestCell cell(seed, 8);
  prepare(cell);
  CHECK(cell.set(
      "/teams/riga/batches/b1",
      R"({"count":12,"millicores":900,"memory_mib":256,"run_ms":4000,"max_attempts":50})"));
  CHECK(cell.set("/teams/riga/services/s1", R"({"count":3,"millicores":300,"memory_mib":128})"));
  cell.setLoss(cell.random().unit() * 0.05);
  std::uint64_t number = 0;
  for (int step = 0; step < 12; ++step) {
    sendRequests(cell, number);
    injectFault(cell);
    cell.run(base::Duration(static_cast<std::int64_t>(cell.random().below(6'000'000))));
  }
  cell.healAll();
  const auto batchDone = [&] {
    const base::DaemonId leader = cell.leader();
    if (leader == base::NoDaemon)
      return false;
    const auto &jobs = cell.core(leader)->replication()->state().jobs();
    return jobs.at({"/teams/riga/batches/b1"}).ended;
  };
  const bool done = cell.runUntil(batchDone, 180s);
  std::string report;
  if (!done)
    report += "the batch run did not end; ";
  for (const std::string &violation : cell.violations())
    report += violation + "; ";
  return report;
}

} // namespace

TEST_GROUP(CellFaults){};

TEST(CellFaults, InvariantsHoldThroughRandomFaults) {
  const std::uint64_t first = setting("CELL_SEED", 1);
  const std::uint64_t runs = setting("CELL_RUNS", 20);
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const std::string report = scenario(seed);
    if (!report.empty())
      FAIL(("CELL_SEED=" + std::to_string(seed) + ": " + report).c_str());
  }
}
