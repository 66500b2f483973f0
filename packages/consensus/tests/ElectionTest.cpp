// Guards against two leaders in a term and against disturbance by replicas that lost contact.
#include "Driver.h"
#include "Network.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;

TEST_GROUP(Election){};

// A vote that is sent before it is durable can be given again after a crash.
TEST(Election, holdsVoteUntilItIsStored) {
  Driver driver;
  driver.receive(MessageKind::VoteRequest, 2, 1);
  const Output output = driver.take();
  CHECK(output.messages.empty());
  CHECK(output.hardState == (HardState{1, 2}));
  driver.stored(output);
  CHECK_EQUAL(1, countOf(driver.take().messages, MessageKind::VoteResponse));
}

TEST(Election, refusesSecondCandidateOfATerm) {
  Driver driver;
  driver.receive(MessageKind::VoteRequest, 2, 1);
  driver.settle();
  driver.receive(MessageKind::VoteRequest, 3, 1);
  CHECK(driver.settle().at(0).reject);
}

TEST(Election, refusesCandidateWithShorterLog) {
  Driver driver(storedLog(2));
  driver.receive(MessageKind::VoteRequest, 2, 2, 1, 1);
  CHECK(driver.settle().at(0).reject);
}

// Its vote could be lost in a crash and given to another candidate of the same term.
TEST(Election, candidateCountsItselfAndAsksOnlyOnceItsVoteIsStored) {
  Driver driver;
  driver.wait(std::chrono::milliseconds(2000));
  driver.receive(MessageKind::PreVoteResponse, 2, 1);
  const Output output = driver.take();
  CHECK_EQUAL(0, countOf(output.messages, MessageKind::VoteRequest));
  driver.receive(MessageKind::VoteResponse, 2, 1);
  CHECK(driver.replica.role() == Role::Candidate);
  driver.stored(output);
  CHECK(driver.replica.role() == Role::Leader);
}

TEST(Election, preVoteLeavesTheTerm) {
  Driver driver;
  driver.wait(std::chrono::milliseconds(2000));
  CHECK_EQUAL(2, countOf(driver.settle(), MessageKind::PreVoteRequest));
  CHECK(driver.replica.role() == Role::PreCandidate);
  CHECK_EQUAL(0, driver.replica.term());
}

// Without the pre-vote, a replica that returns from a partition forces a needless election.
TEST(Election, returningReplicaDoesNotReplaceTheLeader) {
  Network network(1, 3);
  const ReplicaId leader = network.awaitLeader();
  const ReplicaId other = leader % 3 + 1;
  network.isolate(other);
  network.run(std::chrono::seconds(10));
  network.unblockAll();
  network.run(std::chrono::seconds(5));
  CHECK_EQUAL(leader, network.leader());
  CHECK_EQUAL(1, network.at(leader).term());
}

TEST(Election, newLeaderFollowsACrashWithinFiveSeconds) {
  Network network(2, 5);
  const ReplicaId leader = network.awaitLeader();
  network.crash(leader);
  network.run(std::chrono::seconds(5));
  CHECK(network.leader() != banyanrill::base::NoDaemon);
}

// After a loss of power of all replicas there is no leader to wait for. Single seeds may need a
// second election after a split vote.
TEST(Election, restartedGroupElectsSoonerThanAGroupThatLosesItsLeader) {
  constexpr std::int64_t Seeds = 20;
  ReplicaOptions options = smallOptions();
  options.firstElectionTimeoutMin = std::chrono::milliseconds(150);
  options.firstElectionTimeoutMax = std::chrono::milliseconds(500);
  banyanrill::base::Duration sum{};
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
    Network network(seed, 5, {}, options);
    network.awaitLeader();
    for (ReplicaId id = 1; id <= 5; ++id)
      network.crash(id);
    for (ReplicaId id = 1; id <= 5; ++id)
      network.restart(id);
    const auto begin = network.now;
    network.awaitLeader();
    CHECK(network.now - begin < options.electionTimeoutMax);
    sum += network.now - begin;
  }
  CHECK(sum / Seeds < options.electionTimeoutMin * 3 / 4);
}

// A short first timeout must not make a restarted replica replace a leader that the others follow.
TEST(Election, restartedReplicaDoesNotReplaceTheLeader) {
  ReplicaOptions options = smallOptions();
  options.firstElectionTimeoutMin = std::chrono::milliseconds(5);
  options.firstElectionTimeoutMax = std::chrono::milliseconds(10);
  Network network(1, 3, {}, options);
  const ReplicaId leader = network.awaitLeader();
  network.run(std::chrono::seconds(1));
  const Term term = network.at(leader).term();
  const ReplicaId other = leader % 3 + 1;
  network.crash(other);
  network.run(std::chrono::seconds(1));
  network.restart(other);
  network.run(std::chrono::seconds(5));
  CHECK_EQUAL(leader, network.leader());
  CHECK_EQUAL(term, network.at(leader).term());
}

// With first timeouts below the time of a round trip no vote was ever complete.
TEST(Election, slowNetworkElectsALeaderInSpiteOfShortFirstTimeouts) {
  ReplicaOptions options = smallOptions();
  options.firstElectionTimeoutMin = std::chrono::milliseconds(2);
  options.firstElectionTimeoutMax = std::chrono::milliseconds(4);
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Network network(seed, 5, {}, options);
    CHECK(network.awaitLeader() != banyanrill::base::NoDaemon);
  }
}

// Two replicas whose votes are both needed asked at the same time, each voted for itself, and the
// group stayed without a leader for another election timeout, again and again.
TEST(Election, rivalsWithEqualLogsDoNotSplitTheVote) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Network network(seed, 3, {.maxDelay = 150});
    const ReplicaId former = network.awaitLeader();
    const Term before = network.at(former).term();
    network.crash(former);
    const ReplicaId next = network.awaitLeader();
    CHECK_EQUAL(before + 1, network.at(next).term());
  }
}

TEST(Election, preCandidateStepsBackForARivalWithAHigherId) {
  Driver driver;
  driver.wait(std::chrono::milliseconds(2000));
  driver.settle();
  driver.receive(MessageKind::PreVoteRequest, 2, 1);
  CHECK(!driver.settle().at(0).reject);
  CHECK(driver.replica.role() == Role::Follower);
}

// Of three replicas whose votes are all needed, only the one that reaches both others can win; a
// rival that cannot win must not refuse it for good.
TEST(Election, rivalThatCannotWinDoesNotBlockOneThatCan) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Network network(seed, 5);
    const ReplicaId former = network.awaitLeader();
    network.run(std::chrono::seconds(1));
    network.crash(former);
    network.crash(former == 1 ? 2 : 1);
    // The remaining ones with the highest ids.
    const ReplicaId highest = former == 5 ? 4 : 5;
    const ReplicaId second = former >= 4 ? 3 : 4;
    network.block(highest, second);
    network.run(std::chrono::seconds(30));
    CHECK(network.leader() != banyanrill::base::NoDaemon);
  }
}
