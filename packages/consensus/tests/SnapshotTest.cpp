// Guards against damaged, unbounded or endless snapshot transfers.
#include "Driver.h"
#include "Network.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;

TEST_GROUP(SnapshotTransfer){};

namespace {

Message chunk(std::string data, std::uint64_t offset, bool last) {
  Message message;
  message.kind = MessageKind::SnapshotChunk;
  message.from = 2;
  message.term = 2;
  message.snapshot = Snapshot{5, 2, {{1, 2, 3}, {}}, std::move(data)};
  message.chunkOffset = offset;
  message.lastChunk = last;
  return message;
}

StoredState storedSnapshot() {
  StoredState stored;
  stored.hardState.term = 1;
  stored.snapshot = Snapshot{2, 1, {{1, 2, 3}, {}}, "state"};
  return stored;
}

} // namespace

TEST(SnapshotTransfer, acknowledgesOnlyOnceStored) {
  Driver driver(storedLog(2));
  driver.receive(chunk("ab", 0, false));
  driver.settle();
  driver.receive(chunk("ab", 0, false));
  CHECK_EQUAL(2, driver.settle().at(0).chunkOffset);
  driver.receive(chunk("cd", 2, true));
  const Output output = driver.take();
  CHECK(output.messages.empty());
  STRCMP_EQUAL("abcd", output.snapshot->data.c_str());
  driver.stored(output);
  CHECK_EQUAL(5, driver.take().messages.at(0).logIndex);
  CHECK_EQUAL(6, driver.replica.firstIndex());
}

TEST(SnapshotTransfer, refusesMoreThanTheBoundAndChunksOutOfOrder) {
  Driver driver;
  driver.receive(chunk("cd", 2, true));
  CHECK(driver.settle().at(0).reject);
  driver.receive(chunk("123456789", 0, true));
  CHECK(driver.settle().at(0).reject);
  CHECK_EQUAL(0, driver.replica.commitIndex());
}

// The leader once probed at its base forever.
TEST(SnapshotTransfer, followsAConflictAtTheLeadersBase) {
  StoredState stored = storedSnapshot();
  stored.snapshot->term = 2;
  stored.hardState.term = 2;
  Driver driver(stored);
  driver.lead();
  driver.settle();
  Message reject;
  reject.kind = MessageKind::AppendResponse;
  reject.from = 2;
  reject.term = 3;
  reject.reject = true;
  reject.logIndex = 2;
  reject.logTerm = 1;
  driver.receive(reject);
  CHECK_EQUAL(1, countOf(driver.settle(), MessageKind::SnapshotChunk));
}

// The leader once kept sending a snapshot that the peer held already.
TEST(SnapshotTransfer, endsWhenThePeerHoldsASnapshotThatIsOutdatedMeanwhile) {
  Driver driver(storedSnapshot());
  driver.lead();
  driver.settle();
  driver.receive(MessageKind::AppendResponse, 3, 2, 3);
  Message reject;
  reject.kind = MessageKind::AppendResponse;
  reject.from = 2;
  reject.term = 2;
  reject.reject = true;
  driver.receive(reject);
  driver.settle();
  driver.replica.compact({3, 2, {{1, 2, 3}, {}}, "newer"});
  driver.receive(MessageKind::AppendResponse, 2, 2, 2);
  const std::vector<Message> messages = driver.settle();
  CHECK_EQUAL(1, countOf(messages, MessageKind::SnapshotChunk));
  CHECK_EQUAL(3, messages.back().snapshot->index);
}

TEST(SnapshotTransfer, dropsStoredEntriesThatAnInstalledSnapshotReplaced) {
  StoredState stored = storedSnapshot();
  stored.hardState.term = 2;
  stored.snapshot->term = 2;
  stored.entries = {{3, 1, EntryKind::Command, "stale"}};
  Driver driver(stored);
  CHECK_EQUAL(2, driver.replica.lastIndex());
}

TEST(SnapshotTransfer, bringsAReplicaUpToDateInChunks) {
  Network network(7, 3);
  const ReplicaId leader = network.awaitLeader();
  const ReplicaId other = leader % 3 + 1;
  network.crash(other);
  for (int i = 0; i < 20; ++i) {
    network.propose(leader);
    network.run(std::chrono::milliseconds(100));
  }
  network.run(std::chrono::seconds(1));
  network.compact(leader);
  CHECK_EQUAL(22, network.at(leader).firstIndex());
  network.restart(other);
  network.run(std::chrono::seconds(3));
  CHECK_EQUAL(22, network.at(other).firstIndex());
}
