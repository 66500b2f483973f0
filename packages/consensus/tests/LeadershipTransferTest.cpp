// Guards against an election timeout at every planned stop of a leader.
#include "Driver.h"
#include "Network.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;

TEST_GROUP(LeadershipTransfer){};

TEST(LeadershipTransfer, movesLeadershipWithoutAnElectionTimeout) {
  Network network(8, 3);
  const ReplicaId leader = network.awaitLeader();
  network.transfer(leader);
  network.run(std::chrono::milliseconds(500));
  CHECK(network.leader() != banyanrill::base::NoDaemon && network.leader() != leader);
}

TEST(LeadershipTransfer, waitsUntilTheTargetHoldsTheLog) {
  Driver driver;
  driver.lead();
  driver.settle();
  driver.replica.transferLeadership(driver.now);
  CHECK_EQUAL(0, countOf(driver.settle(), MessageKind::TimeoutNow));
  CHECK(driver.propose() == ProposeResult::Busy);
  driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  CHECK_EQUAL(1, countOf(driver.settle(), MessageKind::TimeoutNow));
}

TEST(LeadershipTransfer, endsIfTheTargetDoesNotAnswer) {
  Driver driver;
  driver.lead();
  driver.settle();
  driver.replica.transferLeadership(driver.now);
  for (int i = 0; i < 5; ++i) {
    driver.wait(std::chrono::milliseconds(500));
    driver.receive(MessageKind::AppendResponse, 3, 1, 1);
  }
  CHECK(driver.propose() == ProposeResult::Accepted);
}
