// Callers that come while no leader answers: within an election all wait, beyond it none waits in
// vain, and they do not return together.
#include "../src/OutagePolicy.h"
#include "../src/ReplicaTiming.h"
#include "SimulatedCell.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using node::OutageDecision;
using node::OutagePolicy;
using std::chrono::milliseconds;

namespace {

/// What the adapter leaves a caller of the time that a daemon holds its request.
constexpr milliseconds CallerTime(1540);

} // namespace

TEST_GROUP(OutagePolicy){};

/// Requests that an election would have served were refused if the silence alone decided.
TEST(OutagePolicy, NothingIsRefusedWithinAnElection) {
  base::RandomSource random(1);
  const base::Duration longest = node::replicaOptions(1).electionTimeoutMax;
  CHECK(OutagePolicy::OrdinaryOutage > longest + milliseconds(600));
  for (milliseconds silence(0); silence < OutagePolicy::OrdinaryOutage; silence += milliseconds(10))
    for (const milliseconds left : {milliseconds(1), milliseconds(300), CallerTime})
      CHECK(OutagePolicy::decide(silence, left, random).hold);
}

/// A node without a leader held every request to its end and refused it then.
TEST(OutagePolicy, NobodyWaitsInVainBeyondAnElection) {
  base::RandomSource random(1);
  for (milliseconds silence =
           std::chrono::duration_cast<milliseconds>(OutagePolicy::OrdinaryOutage);
       silence < milliseconds(60000); silence += milliseconds(100)) {
    const OutageDecision decision = OutagePolicy::decide(silence, CallerTime, random);
    CHECK(!decision.hold);
    CHECK(decision.retryAfterMs >= 1);
    CHECK(decision.retryAfterMs <= OutagePolicy::MaxRetryTime / milliseconds(1));
  }
}

/// A caller with much time would be served after an outage of the usual length.
TEST(OutagePolicy, CallerWhoseTimeOutlastsTheOutageWaits) {
  base::RandomSource random(1);
  CHECK(OutagePolicy::decide(milliseconds(3000), milliseconds(10000), random).hold);
  CHECK(!OutagePolicy::decide(milliseconds(11000), milliseconds(10000), random).hold);
}

/// Callers that were refused together must not return in the same second of the wire.
TEST(OutagePolicy, ReturnsAreSpreadOverTheTimeThatTheOutageMayLast) {
  base::RandomSource random(1);
  constexpr int Callers = 4000;
  for (const milliseconds silence : {milliseconds(2000), milliseconds(5400)}) {
    std::map<std::int64_t, int> bySecond;
    for (int caller = 0; caller < Callers; ++caller)
      ++bySecond[(OutagePolicy::retryAfterMs(silence, random) + 999) / 1000];
    const auto spread =
        static_cast<int>(std::clamp<base::Duration>(silence, OutagePolicy::MinRetryTime,
                                                    OutagePolicy::MaxRetryTime) /
                         std::chrono::seconds(1));
    LONGS_EQUAL(spread, bySecond.size());
    for (const auto &[second, callers] : bySecond)
      CHECK(callers < 2 * Callers / spread);
  }
}

/// A leader is lost while requests are held: in a cell with its real timers and a loaded network,
/// every node hears of the successor before it would call the election an outage.
TEST(OutagePolicy, LossOfALeaderIsNotAnOutage) {
  std::set<std::uint64_t> late;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    node::testing::SimulatedCell cell(seed, {});
    cell.run(std::chrono::seconds(6));
    const std::optional<std::size_t> lost = cell.leader();
    CHECK(lost.has_value());
    const base::TimePoint lostAt = cell.now;
    cell.stop(*lost, std::chrono::seconds(30));
    while (cell.now - lostAt < std::chrono::seconds(10) && !cell.leader())
      cell.run(milliseconds(5));
    CHECK(cell.leader().has_value());
    // Up to a heartbeat and a tick older, and a discovery, a tick and two answers to hear of it.
    const base::Duration silence = cell.now - lostAt + milliseconds(600) + milliseconds(300);
    if (OutagePolicy::isOutage(silence))
      late.insert(seed);
  }
  // Candidates that split the votes need a second round; that is an outage of its own.
  CHECK(late.size() <= 2);
}
