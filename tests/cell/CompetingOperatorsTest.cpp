// Guards against lost updates: of two operators who name the same version exactly one may win, and
// a change that is sent again after a change of leader must be applied once.
#include "CellSetup.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using test::TestCell;
using namespace std::chrono_literals;

namespace {

constexpr const char *Path = "/teams/riga/services/contested";

std::string change(const std::string &id, settings::Revision version, int count) {
  return nlohmann::json{{"change_id", id},
                        {"edits",
                         {{{"path", Path},
                           {"value", {{"count", count}, {"millicores", 100}, {"memory_mib", 64}}},
                           {"if_version", version}}}}}
      .dump();
}

/// Sends one change through changing daemons until it is accepted or refused for its version.
int submitUntilDecided(TestCell &cell, const std::string &body, base::DaemonId first) {
  base::DaemonId daemon = first;
  for (int attempt = 0; attempt < 60; ++attempt, daemon = daemon % 5 + 1) {
    if (!cell.isAlive(daemon))
      continue;
    const auto result = cell.submit(daemon, body);
    cell.runUntil([&] { return result->done; }, 5s);
    if (result->done && (result->status == 200 || result->status == 409))
      return result->status;
    cell.run(300ms);
  }
  return 0;
}

std::string scenario(std::uint64_t seed) {
  TestCell cell(seed, 8);
  test::prepare(cell);
  CHECK(cell.set(Path, R"({"count":1,"millicores":100,"memory_mib":64})"));
  for (int round = 0; round < 4; ++round) {
    const base::DaemonId leader = cell.leader();
    CHECK(leader != base::NoDaemon);
    const settings::Tree &before = cell.core(leader)->settings();
    const settings::Revision version = before.get(Path)->version;
    const std::string suffix = std::to_string(round);
    const std::string one = change("one" + suffix, version, 1);
    const std::string two = change("two" + suffix, version, 2);
    cell.setLoss(0.1);
    const auto lostOne = cell.submit(4, one);
    const auto lostTwo = cell.submit(5, two);
    cell.run(base::Duration(static_cast<std::int64_t>(cell.random().below(60'000))));
    cell.crash(leader);
    cell.run(base::Duration(static_cast<std::int64_t>(cell.random().below(4'000'000))));
    const int statusOne = submitUntilDecided(cell, one, 5);
    const int statusTwo = submitUntilDecided(cell, two, 4);
    if ((statusOne == 200) + (statusTwo == 200) != 1 || statusOne + statusTwo != 609)
      return "statuses " + std::to_string(statusOne) + " and " + std::to_string(statusTwo);
    if ((lostOne->status == 200 && statusOne != 200) ||
        (lostTwo->status == 200 && statusTwo != 200))
      return "a resend got another outcome than the first answer";
    cell.healAll();
    if (!cell.runUntil([&] { return cell.leader() != base::NoDaemon; }, 10s))
      return "no leader";
    cell.run(5s);
    const settings::Tree &after = cell.core(cell.leader())->settings();
    std::size_t applied = 0;
    for (const settings::AuditRecord &record : after.audit(Path, 1000))
      applied +=
          record.requestId == "admin/one" + suffix || record.requestId == "admin/two" + suffix;
    if (applied != 1)
      return "applied " + std::to_string(applied) + " times";
  }
  return "";
}

} // namespace

TEST_GROUP(CompetingOperators){};

TEST(CompetingOperators, OneWinsAndAResendIsAppliedOnce) {
  const std::uint64_t first = test::setting("CELL_SEED", 1);
  for (std::uint64_t seed = first; seed < first + test::setting("CELL_RUNS", 10); ++seed) {
    const std::string report = scenario(seed);
    if (!report.empty())
      FAIL(("CELL_SEED=" + std::to_string(seed) + ": " + report).c_str());
  }
}
