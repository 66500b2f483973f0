// Guards against a flood of one team that delays another, and against a queue without bound.
#include "Steps.h"

#include "banyanrill/routing/AdmissionQueue.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t PerTeam = 5;

void serveInTurn() {
  AdmissionQueue queue(AdmissionOptions{PerTeam});
  std::map<std::string, std::map<int, int>> waiting; // Team, priority: requests.
  /// Requests of another team served while this team waited, by team, priority and other team.
  std::map<std::tuple<std::string, int, std::string>, int> passed;
  int next = 0;
  for (const auto &[kind, a, b, c] : anySteps(3)) {
    if (kind < 2) {
      // Team 0 sends three of four requests.
      const std::string team = std::to_string(a % 4 < 3 ? 0 : 1 + b % 2);
      const int priority = c % 2;
      std::size_t length = 0;
      for (const auto &[level, count] : waiting[team])
        length += static_cast<std::size_t>(count);
      const Admission result =
          queue.push({std::to_string(next++), team, "s", priority, at(1h)}, {}, 1, at(0s));
      RC_ASSERT(result == (length < PerTeam ? Admission::Queued : Admission::QueueFull));
      if (result == Admission::Queued)
        ++waiting[team][priority];
      continue;
    }
    const std::size_t before = queue.size();
    const auto taken = queue.pop("s", at(0s));
    RC_ASSERT(taken.has_value() == (before > 0));
    if (!taken)
      continue;
    --waiting[taken->team][taken->priority];
    for (auto &[team, levels] : waiting) {
      RC_ASSERT(taken->priority == 1 || levels[1] == 0);
      const auto key = std::tuple(team, taken->priority, taken->team);
      if (team == taken->team) {
        std::erase_if(passed, [&](const auto &entry) {
          return std::get<0>(entry.first) == team && std::get<1>(entry.first) == taken->priority;
        });
      } else if (levels[taken->priority] > 0) {
        RC_ASSERT(++passed[key] <= 1);
      }
    }
  }
}

} // namespace

TEST_GROUP(AdmissionFairness){};

TEST(AdmissionFairness, AFloodDelaysAnotherTeamByOneTurn) {
  CHECK(rc::check("teams are served in turn", serveInTurn));
}
