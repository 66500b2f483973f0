// Guards against reads that miss a commit acknowledged before them.
#include "Driver.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;

namespace {

void confirmRead(Driver &driver, ReplicaId from, Index match, std::uint64_t round) {
  Message message;
  message.kind = MessageKind::AppendResponse;
  message.from = from;
  message.term = driver.replica.term();
  message.logIndex = match;
  message.readContext = round;
  driver.receive(message);
}

} // namespace

TEST_GROUP(ReadIndex){};

TEST(ReadIndex, waitsForAMajorityAfterTheRequest) {
  Driver driver;
  driver.lead();
  driver.settle();
  confirmRead(driver, 2, 1, 0);
  CHECK(driver.replica.requestRead(7, driver.now));
  driver.settle();
  CHECK(driver.reads.empty());
  confirmRead(driver, 3, 0, 1);
  driver.settle();
  CHECK(driver.reads == (std::vector<ReadReady>{{7, 1}}));
}

// The previous leader may have acknowledged commits that a new leader does not know yet.
TEST(ReadIndex, waitsForACommitOfTheOwnTerm) {
  Driver driver(storedLog(2));
  driver.lead();
  driver.settle();
  CHECK(driver.replica.requestRead(7, driver.now));
  confirmRead(driver, 2, 2, 1);
  driver.settle();
  CHECK(driver.reads.empty());
  confirmRead(driver, 2, 3, 1);
  driver.settle();
  CHECK(driver.reads == (std::vector<ReadReady>{{7, 3}}));
}

TEST(ReadIndex, isRefusedByFollowers) {
  Driver driver;
  CHECK_FALSE(driver.replica.requestRead(7, driver.now));
}
