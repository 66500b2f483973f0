// Guards against membership changes whose majorities do not overlap.
#include "Driver.h"
#include "Network.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;

TEST_GROUP(MembershipChange){};

TEST(MembershipChange, isRefusedBeforeTheLeaderCommittedInItsTerm) {
  StoredState stored;
  stored.snapshot = Snapshot{2, 1, {{1, 2, 3}, {}}, "state"};
  Driver driver(stored);
  driver.lead();
  driver.settle();
  CHECK(driver.replica.proposeMembership({{1, 2, 3}, {4}}, driver.now) == ProposeResult::Busy);
}

TEST(MembershipChange, isRefusedWhileOneIsPending) {
  Driver driver;
  driver.lead();
  driver.settle();
  CHECK(driver.replica.proposeMembership({{1, 2, 3}, {4}}, driver.now) ==
        ProposeResult::MembershipChangePending);
  driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  CHECK(driver.replica.proposeMembership({{1, 2, 3}, {4}}, driver.now) == ProposeResult::Accepted);
  CHECK(driver.replica.proposeMembership({{1, 2}, {4}}, driver.now) ==
        ProposeResult::MembershipChangePending);
}

TEST(MembershipChange, isRefusedIfItIsNotASingleSafeChange) {
  Driver driver;
  driver.lead();
  driver.settle();
  driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  for (const Membership &invalid :
       {Membership{{1}, {}}, Membership{{1, 2, 3, 4}, {}}, Membership{{1, 2}, {4}},
        Membership{{1, 2, 3}, {}}, Membership{{1, 2, 2}, {}}, Membership{{}, {1, 2, 3}}}) {
    CHECK(driver.replica.proposeMembership(invalid, driver.now) == ProposeResult::Invalid);
  }
}

// The lost replica must not vote again, so its replacement has a new identity.
TEST(MembershipChange, replacesALostReplica) {
  Network network(4, 3);
  const ReplicaId leader = network.awaitLeader();
  const ReplicaId lost = leader % 3 + 1;
  const ReplicaId third = lost % 3 + 1;
  network.crash(lost);
  const ReplicaId added = network.addEmpty();
  for (const Membership &next :
       {Membership{{leader, lost, third}, {added}}, Membership{{leader, lost, third, added}, {}},
        Membership{{leader, third, added}, {}}}) {
    CHECK(network.changeMembership(leader, next) == ProposeResult::Accepted);
    network.run(std::chrono::seconds(2));
  }
  CHECK(network.at(added).role() == Role::Follower);
  network.crash(third);
  CHECK(network.propose(leader) == ProposeResult::Accepted);
  network.run(std::chrono::seconds(2));
  CHECK_EQUAL(5, network.nodes.at(added).applied);
}

/// A node whose disk took nothing yet became a voter in place of a lost one: neither could vote,
/// and two of four voters are no majority.
TEST(MembershipChange, learnerThatStoredNothingInThisTermIsNotPromoted) {
  Driver driver;
  driver.lead();
  driver.receive(MessageKind::AppendResponse, 2, driver.replica.term(), driver.replica.lastIndex());
  driver.settle();
  CHECK(driver.replica.proposeMembership({{1, 2, 3}, {4}}, driver.now) == ProposeResult::Accepted);
  driver.settle();
  driver.receive(MessageKind::AppendResponse, 2, driver.replica.term(), driver.replica.lastIndex());
  driver.settle();
  const Membership promoted = {{1, 2, 3, 4}, {}};
  CHECK(driver.replica.proposeMembership(promoted, driver.now) == ProposeResult::Busy);
  driver.receive(MessageKind::AppendResponse, 4, driver.replica.term(), driver.replica.lastIndex());
  driver.settle();
  CHECK(driver.replica.proposeMembership(promoted, driver.now) == ProposeResult::Accepted);
}

TEST(MembershipChange, learnersNeitherVoteInElectionsNorCountForCommit) {
  Network network(5, 3);
  const ReplicaId leader = network.awaitLeader();
  const ReplicaId added = network.addEmpty();
  network.changeMembership(leader, {{1, 2, 3}, {added}});
  network.run(std::chrono::seconds(2));
  CHECK(network.at(added).role() == Role::Learner);
  network.crash(leader % 3 + 1);
  network.crash((leader + 1) % 3 + 1);
  const Index before = network.at(leader).commitIndex();
  network.propose(leader);
  network.run(std::chrono::seconds(5));
  CHECK_EQUAL(before, network.at(leader).commitIndex());
  CHECK_EQUAL(banyanrill::base::NoDaemon, network.leader());
}

TEST(MembershipChange, leaderThatRemovedItselfStepsDown) {
  Network network(6, 3);
  const ReplicaId leader = network.awaitLeader();
  Membership next{{1, 2, 3}, {}};
  std::erase(next.voters, leader);
  CHECK(network.changeMembership(leader, next) == ProposeResult::Accepted);
  network.run(std::chrono::seconds(5));
  CHECK(network.leader() != banyanrill::base::NoDaemon && network.leader() != leader);
}
