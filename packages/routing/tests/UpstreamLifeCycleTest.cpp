// Guards against work for instances that left or restarted, and against lost slots of new owners.
#include "UpstreamFixture.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamLifeCycle){};

TEST(UpstreamLifeCycle, LateAnnouncementDoesNotReviveAnInstanceThatLeft) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  cell.announce("a", 4);
  const auto lease = cell.acquire();
  cell.table.leave({"a"});
  cell.announce("a", 4);
  CHECK(!cell.acquire().has_value());
  LONGS_EQUAL(1, cell.table.instances());
  cell.release(*lease, UpstreamOutcome::Success);
  LONGS_EQUAL(0, cell.table.instances());
  cell.announce("a", 4);
  CHECK(!cell.acquire().has_value());
  cell.now += 5s;
  cell.announce("a", 4);
  CHECK(cell.acquire().has_value());
}

TEST(UpstreamLifeCycle, RestartOnAnotherPortKeepsCountingOldRequests) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  cell.announce("a", 2, 0, 1);
  const auto old = cell.acquire();
  cell.announce("a", 2, 0, 2);
  LONGS_EQUAL(2, cell.acquire()->port);
  CHECK(!cell.acquire().has_value());
  cell.release(*old, UpstreamOutcome::Failure);
  CHECK(cell.acquire().has_value());
}

TEST(UpstreamLifeCycle, RequestsOfOtherOwnersTakeSlotsAsAnnounced) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  cell.announce("a", 4, 0);
  CHECK(cell.acquire().has_value());
  cell.announce("a", 4, 3);
  CHECK(!cell.acquire().has_value());
  cell.announce("a", 4, 1);
  LONGS_EQUAL(2, cell.freeSlots());
}

TEST(UpstreamLifeCycle, InstancesOfOneWorkerAreBounded) {
  UpstreamFixture cell({});
  for (int i = 0; i < 16; ++i)
    CHECK(cell.announce("u" + std::to_string(i), 1));
  CHECK(!cell.announce("one-more", 1));
}
