// Guards against two groups that bootstrap independently, and against treating a daemon that is
// gone as live.
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

void exchangeHeartbeat(PeerDirectory &from, PeerDirectory &to, base::TimePoint now) {
  from.onHeartbeatReply(to.onHeartbeat(from.makeHeartbeat(), now), now);
}

} // namespace

TEST_GROUP(PeerDirectory){};

TEST(PeerDirectory, BootstrapMembersAgreeOnceAllKnowTheSameDaemonsWithDisk) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  PeerDirectory third = directoryOf(3, true);
  exchangeHeartbeat(second, first, after(100));
  exchangeHeartbeat(third, first, after(200));
  exchangeHeartbeat(second, first, after(1300));
  // The first daemon knows all three, but the second has not reported the third yet.
  CHECK(!first.agreedBootstrapMembers(after(1300)));
  exchangeHeartbeat(second, third, after(1400));
  exchangeHeartbeat(third, second, after(1450));
  exchangeHeartbeat(second, first, after(1500));
  exchangeHeartbeat(third, first, after(1500));
  const auto agreed = first.agreedBootstrapMembers(after(1550));
  CHECK(agreed.has_value());
  CHECK_EQUAL(3U, agreed->size());
}

TEST(PeerDirectory, TooFewDaemonsWithDiskDoNotBootstrap) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  exchangeHeartbeat(second, first, after(1300));
  exchangeHeartbeat(first, second, after(1350));
  CHECK(!first.agreedBootstrapMembers(after(1400)));
}

TEST(PeerDirectory, RestartedCellDoesNotBootstrapAgain) {
  PeerDirectory restarted = directoryOf(1, true, false);
  PeerDirectory second = directoryOf(2, true, false);
  exchangeHeartbeat(restarted, second, after(2000));
  CHECK(!restarted.agreedBootstrapMembers(after(2000)));
}

TEST(PeerDirectory, AdoptsTheMembersThatAnotherDaemonAgreedOn) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  first.endBootstrap({1, 2, 3});
  exchangeHeartbeat(second, first, after(100));
  const auto agreed = second.agreedBootstrapMembers(after(100));
  CHECK(agreed.has_value());
  CHECK_EQUAL(3U, agreed->size());
}

/// A machine that lost its disk returns at the same address with a new identifier. The old
/// identifier must not count as live, and a delayed heartbeat from it must not replace the new one.
TEST(PeerDirectory, NewIdentifierAtAnAddressSupersedesTheOldOne) {
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

/// Other daemons report a dead leader for a while. Only the leader itself or a later term may
/// restore it.
TEST(PeerDirectory, SuspectedLeaderIsNotRestoredByOtherDaemons) {
  PeerDirectory diskless = directoryOf(5, false);
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  exchangeHeartbeat(second, first, after(50));
  first.setLeader(2, 4);
  exchangeHeartbeat(diskless, first, after(100));
  CHECK(diskless.leader().has_value());
  CHECK_EQUAL(2U, diskless.leader()->id);
  diskless.suspectLeader(2);
  exchangeHeartbeat(diskless, first, after(200));
  CHECK(!diskless.leader().has_value());
  second.setLeader(2, 4);
  exchangeHeartbeat(diskless, second, after(300));
  CHECK(diskless.leader().has_value());
}

TEST(PeerDirectory, LeaderOfAnOlderTermIsIgnored) {
  PeerDirectory first = directoryOf(1, true);
  PeerDirectory second = directoryOf(2, true);
  exchangeHeartbeat(first, second, after(50));
  first.setLeader(1, 7);
  first.setLeader(2, 6);
  CHECK_EQUAL(1U, first.leader()->id);
}

TEST(PeerDirectory, SendsHeartbeatsToSeedsWhileNoLeaderIsKnown) {
  PeerDirectory diskless = directoryOf(5, false);
  CHECK_EQUAL(1U, diskless.takeDueAddresses(after(0)).size());
  CHECK_EQUAL(0U, diskless.takeDueAddresses(after(50)).size());
  CHECK_EQUAL(1U, diskless.takeDueAddresses(after(300)).size());
}

/// A message of an ended process that came last made the directory ignore the present one for good.
TEST(PeerDirectory, LateHeartbeatOfAFormerIdentifierDoesNotSilenceThePresentOne) {
  PeerDirectory first = directoryOf(1, true);
  PeerHeartbeat fresh;
  fresh.sender = peer(9, true);
  fresh.sender.address = peer(2, true).address;
  first.onHeartbeat(fresh, after(100));
  PeerHeartbeat late;
  late.sender = peer(2, true);
  first.onHeartbeat(late, after(200));
  CHECK(!first.isReplaced(9));
  for (int time = 700; time <= 2700; time += 500)
    first.onHeartbeat(fresh, after(time));
  CHECK(!first.isSuperseded(9));
  CHECK(first.isReplaced(2));
}

/// A daemon whose own address has changed took its former one from the log for another daemon's.
TEST(PeerDirectory, OwnFormerAddressNamesNoPeer) {
  PeerDirectory first = directoryOf(1, true);
  first.learnAddress(1, peer(2, true).address, "r");
  CHECK(first.find(1) == nullptr);
}
