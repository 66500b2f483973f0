// Guards against a leader that keeps accepting work it can never commit.
#include "Driver.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus;
using namespace banyanrill::consensus::testing;
using std::chrono::milliseconds;

TEST_GROUP(CheckQuorum){};

TEST(CheckQuorum, leaderWithoutContactStepsDown) {
  Driver driver;
  driver.lead();
  driver.settle();
  driver.wait(milliseconds(900));
  CHECK(driver.replica.role() == Role::Leader);
  driver.wait(milliseconds(100));
  CHECK(driver.replica.role() == Role::Follower);
  CHECK(driver.propose() == ProposeResult::NotLeader);
}

TEST(CheckQuorum, contactToAMajorityKeepsTheLeader) {
  Driver driver;
  driver.lead();
  driver.settle();
  for (int i = 0; i < 10; ++i) {
    driver.wait(milliseconds(500));
    driver.receive(MessageKind::AppendResponse, 2, 1, 1);
  }
  CHECK(driver.replica.role() == Role::Leader);
}

TEST(CheckQuorum, leaderWhoseDiskHangsStepsDown) {
  Driver driver;
  driver.lead();
  CHECK(driver.take().mustStore());
  for (int i = 0; i < 5; ++i) {
    driver.receive(MessageKind::AppendResponse, 2, 1, 1);
    driver.wait(milliseconds(500));
  }
  CHECK(driver.replica.role() != Role::Leader);
}
