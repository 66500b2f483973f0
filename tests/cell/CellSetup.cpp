#include "CellSetup.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace banyanrill::test {

using namespace std::chrono_literals;

namespace {

constexpr const char *LevelCheck =
    R"({"repeatable":false,"millicores":700,"memory_mib":256,"deadline_ms":5000})";
constexpr const char *Trend =
    R"({"repeatable":true,"millicores":500,"memory_mib":256,"deadline_ms":5000})";

} // namespace

std::uint64_t setting(const char *name, std::uint64_t fallback) {
  const char *value = std::getenv(name);
  return value ? std::strtoull(value, nullptr, 10) : fallback;
}

void prepare(TestCell &cell) {
  CHECK(cell.runUntil([&] { return cell.leader() != base::NoDaemon; }, 10s));
  CHECK(cell.set("/teams/riga/operations/gauge.level-check", LevelCheck));
  CHECK(cell.set("/teams/riga/operations/gauge.trend", Trend));
  const auto owned = [&] {
    std::size_t total = 0;
    for (base::DaemonId id = 1; id <= 5; ++id)
      total += cell.core(id)->workers().ownedWorkers();
    return total == 8;
  };
  CHECK(cell.runUntil(owned, 30s));
  cell.run(7s);
}

} // namespace banyanrill::test
