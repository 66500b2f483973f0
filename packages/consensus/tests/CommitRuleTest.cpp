// Guards against commits that a later leader can undo.
#include "Driver.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;

TEST_GROUP(CommitRule){};

// A majority may hold an entry of an earlier term that a later leader still replaces.
TEST(CommitRule, doesNotCountEntriesOfEarlierTerms) {
  Driver driver(storedLog(2));
  driver.lead();
  driver.settle();
  driver.receive(MessageKind::AppendResponse, 2, 2, 2);
  CHECK_EQUAL(0, driver.replica.commitIndex());
  driver.receive(MessageKind::AppendResponse, 2, 2, 3);
  CHECK_EQUAL(3, driver.replica.commitIndex());
}

// A leader that counts itself too early loses the entry in a crash although it was acknowledged.
TEST(CommitRule, countsTheLeaderOnlyOnceItsWriteIsDurable) {
  Driver driver;
  driver.lead();
  const Output output = driver.take();
  driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  CHECK_EQUAL(0, driver.replica.commitIndex());
  driver.stored(output);
  CHECK_EQUAL(1, driver.replica.commitIndex());
}

TEST(CommitRule, ignoresRepeatedAcknowledgements) {
  Driver driver;
  driver.lead();
  driver.settle();
  driver.propose();
  driver.settle();
  driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  CHECK_EQUAL(1, driver.replica.commitIndex());
}
