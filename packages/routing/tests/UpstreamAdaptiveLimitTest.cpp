// Guards against full load on an instance that has become slow, and against a limit that stays low.
#include "UpstreamFixture.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

namespace {

/// Serves rounds of requests that all take `latency`, each with every free slot in use.
void serve(UpstreamFixture &cell, int rounds, std::chrono::milliseconds latency) {
  for (int i = 0; i < rounds; ++i) {
    std::vector<UpstreamLease> leases;
    while (const auto lease = cell.acquire())
      leases.push_back(*lease);
    for (const UpstreamLease &lease : leases)
      cell.release(lease, UpstreamOutcome::Success, latency);
  }
}

} // namespace

TEST_GROUP(UpstreamAdaptiveLimit){};

TEST(UpstreamAdaptiveLimit, FollowsTheLatencyBelowTheAnnouncedSlots) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  cell.announce("a", 8);
  serve(cell, 50, 10ms);
  LONGS_EQUAL(8, cell.freeSlots());
  serve(cell, 4, 200ms);
  CHECK(cell.freeSlots() < 6);
  CHECK(cell.freeSlots() >= 1);
  serve(cell, 100, 10ms);
  LONGS_EQUAL(8, cell.freeSlots());
}

TEST(UpstreamAdaptiveLimit, UsesNewlyAnnouncedSlotsAtOnce) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  cell.announce("a", 0);
  LONGS_EQUAL(0, cell.freeSlots());
  cell.announce("a", 8);
  LONGS_EQUAL(8, cell.freeSlots());
  cell.announce("a", 3);
  LONGS_EQUAL(3, cell.freeSlots());
}
