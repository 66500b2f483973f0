// Guards against a group that keeps a lost voter, or gives up the one it has without a successor.
#include "../src/Steward.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::node;

namespace {

const base::TimePoint Now = base::TimePoint(std::chrono::seconds(100));

membership::PeerRecord peer(base::DaemonId id) {
  return {id, "10.0.0." + std::to_string(id) + ":7", "", "dc", "r", true, false};
}

membership::PeerDirectory rosterWith(const std::vector<base::DaemonId> &live) {
  membership::PeerDirectoryOptions options;
  options.self = peer(1);
  membership::PeerDirectory roster(options, Now);
  for (const base::DaemonId id : live) {
    membership::PeerHeartbeat heartbeat;
    heartbeat.sender = peer(id);
    roster.onHeartbeat(heartbeat, Now);
  }
  return roster;
}

std::optional<consensus::Membership> nextFor(const consensus::Membership &current,
                                             const std::vector<base::DaemonId> &live) {
  return Steward().next(current, rosterWith(live), 1, 3, Now);
}

} // namespace

TEST_GROUP(Steward){};

TEST(Steward, CompleteGroupStaysAsItIs) { CHECK(!nextFor({{1, 2, 3}, {}}, {2, 3})); }

TEST(Steward, NodeWithADiskBecomesALearnerFirst) {
  const auto next = nextFor({{1, 2, 3}, {}}, {2, 4});
  CHECK(next.has_value());
  CHECK_EQUAL(3U, next->voters.size());
  CHECK(next->learners == std::vector<consensus::ReplicaId>{4});
}

TEST(Steward, LearnerReplacesALostVoter) {
  const auto promoted = nextFor({{1, 2, 3}, {4}}, {2, 4});
  CHECK(promoted.has_value());
  CHECK_EQUAL(4U, promoted->voters.size());
  const auto removed = nextFor(*promoted, {2, 4});
  CHECK(removed.has_value());
  CHECK((removed->voters == std::vector<consensus::ReplicaId>{1, 2, 4}));
}

TEST(Steward, LostVoterWithoutASuccessorStays) { CHECK(!nextFor({{1, 2, 3}, {}}, {2})); }

TEST(Steward, LearnerWaitsWhileAllVotersLive) { CHECK(!nextFor({{1, 2, 3}, {4}}, {2, 3, 4})); }

/// Six machines with a disk were added at once; copying the log to all of them took the leader's
/// time.
TEST(Steward, SpareDisksBeyondTheToleranceStayOutside) {
  CHECK(!nextFor({{1, 2, 3}, {4}}, {2, 3, 4, 5, 6}));
  // A learner that does not live is no standby.
  const auto next = nextFor({{1, 2, 3}, {4}}, {2, 3, 5});
  CHECK(next.has_value());
  CHECK((next->learners == std::vector<consensus::ReplicaId>{4, 5}));
}
