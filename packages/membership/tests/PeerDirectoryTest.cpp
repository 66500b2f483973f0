// Guards against two groups that found themselves apart, and against trusting a daemon that is
// gone.
#include "banyanrill/membership/PeerDirectory.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::membership;

namespace {

const base::TimePoint Start = base::TimePoint(std::chrono::seconds(100));

base::TimePoint after(int milliseconds) { return Start + std::chrono::milliseconds(milliseconds); }

PeerRecord peer(base::DaemonId id, bool hasDisk) {
  return {id,   "10.0.0." + std::to_string(id) + ":7", "c" + std::to_string(id), "dc", "r", hasDisk,
          false};
}

PeerDirectory directoryOf(base::DaemonId id, bool hasDisk, bool canBootstrap = true) {
  PeerDirectoryOptions options;
  options.self = peer(id, hasDisk);
  options.seeds = {"10.0.0.1:7"};
  options.canBootstrap = canBootstrap && hasDisk;
  options.minimumBootstrapMembers = 3;
  return {options, Start};
}

void greet(PeerDirectory &from, PeerDirectory &to, base::TimePoint now) {
  from.onHeartbeatReply(to.onHeartbeat(from.makeHeartbeat(), now), now);
}

} // namespace

TEST_GROUP(PeerDirectory){};

TEST(PeerDirectory, FoundersAgreeOnceAllKnowTheSameDisks) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  PeerDirectory third = directoryOf(3, true);
  greet(second, first, after(100));
  greet(third, first, after(200));
  greet(second, first, after(1300));
  // The first knows three, but the second has not said that it knows the third.
  CHECK(!first.agreedBootstrapMembers(after(1300)));
  greet(second, third, after(1400));
  greet(third, second, after(1450));
  greet(second, first, after(1500));
  greet(third, first, after(1500));
  const auto agreed = first.agreedBootstrapMembers(after(1550));
  CHECK(agreed.has_value());
  CHECK_EQUAL(3U, agreed->size());
}

TEST(PeerDirectory, TooFewDisksFoundNothing) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  greet(second, first, after(1300));
  greet(first, second, after(1350));
  CHECK(!first.agreedBootstrapMembers(after(1400)));
}

TEST(PeerDirectory, RestartedCellDoesNotFoundAgain) {
  PeerDirectory restarted = directoryOf(1, true, false);
  PeerDirectory second = directoryOf(2, true, false);
  greet(restarted, second, after(2000));
  CHECK(!restarted.agreedBootstrapMembers(after(2000)));
}

TEST(PeerDirectory, FollowsTheAgreementOfAnotherFounder) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  first.endBootstrap({1, 2, 3});
  greet(second, first, after(100));
  const auto agreed = second.agreedBootstrapMembers(after(100));
  CHECK(agreed.has_value());
  CHECK_EQUAL(3U, agreed->size());
}

/// A machine that lost its disk comes back at its address under a new number; the old one must not
/// count as live, nor a late greeting of it displace the new one.
TEST(PeerDirectory, NewNumberAtAnAddressSupersedesTheOldOne) {
  PeerDirectory first = directoryOf(1, true);
  PeerHeartbeat old;
  old.sender = peer(2, true);
  first.onHeartbeat(old, after(100));
  PeerHeartbeat fresh;
  fresh.sender = peer(9, true);
  fresh.sender.address = old.sender.address;
  first.onHeartbeat(fresh, after(200));
  first.onHeartbeat(old, after(250));
  CHECK(first.isSuperseded(2));
  CHECK(!first.isLive(2, after(260), std::chrono::seconds(1)));
  CHECK(first.isLive(9, after(260), std::chrono::seconds(1)));
}

/// Others keep naming a dead leader for a while; only itself or a later term may bring it back.
TEST(PeerDirectory, DoubtedLeaderIsNotTakenFromHearsay) {
  PeerDirectory entry = directoryOf(5, false);
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  greet(second, first, after(50));
  first.setLeader(2, 4);
  greet(entry, first, after(100));
  CHECK(entry.leader().has_value());
  CHECK_EQUAL(2U, entry.leader()->id);
  entry.suspectLeader(2);
  greet(entry, first, after(200));
  CHECK(!entry.leader().has_value());
  second.setLeader(2, 4);
  greet(entry, second, after(300));
  CHECK(entry.leader().has_value());
}

TEST(PeerDirectory, OlderTermNamesNoLeader) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  greet(first, second, after(50));
  first.setLeader(1, 7);
  first.setLeader(2, 6);
  CHECK_EQUAL(1U, first.leader()->id);
}

TEST(PeerDirectory, GreetsSeedsUntilALeaderIsKnown) {
  PeerDirectory entry = directoryOf(5, false);
  CHECK_EQUAL(1U, entry.takeDueAddresses(after(0)).size());
  CHECK_EQUAL(0U, entry.takeDueAddresses(after(50)).size());
  CHECK_EQUAL(1U, entry.takeDueAddresses(after(300)).size());
}
