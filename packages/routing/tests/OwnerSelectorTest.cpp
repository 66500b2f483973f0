// Guards against needless traffic between regions and against the use of outdated load reports.
#include "Steps.h"

#include "banyanrill/routing/OwnerSelector.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::routing;
using namespace std::chrono_literals;

namespace {

const Location Here{"north", "n1"};
const Location Near{"north", "n2"};
const Location Far{"south", "s1"};

} // namespace

TEST_GROUP(OwnerSelector) {
  OwnerSelector selector{{}, 1, Here, base::RandomSource(7)};

  void digest(base::DaemonId owner, const Location &where, int freeSlots, int totalSlots,
              std::uint64_t sequence, std::uint64_t incarnation = 5) {
    selector.updateDigest(owner, where, incarnation, sequence, {{"t", "s", freeSlots, totalSlots}},
                          at(0s));
  }
  base::DaemonId select(bool crossRegion, std::vector<base::DaemonId> avoid = {}) {
    return selector.select("t", "s", crossRegion, avoid, at(1s));
  }
};

TEST(OwnerSelector, UsesTheNearestFreeSlots) {
  digest(4, Far, 1, 8, 1);
  digest(3, Near, 1, 8, 1);
  digest(2, Here, 1, 8, 1);
  digest(1, Here, 1, 8, 1);
  LONGS_EQUAL(1, select(true));
  LONGS_EQUAL(2, select(true));
  LONGS_EQUAL(3, select(true));
  LONGS_EQUAL(4, select(true));
  digest(3, Near, 0, 16, 2);
  LONGS_EQUAL(3, select(true)); // All are full: most slots of this region.
  LONGS_EQUAL(1, select(true, {3}));
}

TEST(OwnerSelector, LeavesTheRegionOnlyIfAllowed) {
  digest(4, Far, 5, 8, 1);
  LONGS_EQUAL(base::NoDaemon, select(false));
  LONGS_EQUAL(4, select(true));
}

TEST(OwnerSelector, IgnoresOldReports) {
  digest(2, Here, 0, 8, 9);
  digest(2, Here, 4, 8, 8);
  digest(2, Here, 4, 8, 99, 4);
  digest(3, Near, 1, 8, 1);
  LONGS_EQUAL(3, select(false));
  CHECK(selector.knows("t", "s", at(6s)));
  CHECK(!selector.knows("t", "s", at(7s)));
  LONGS_EQUAL(base::NoDaemon, selector.select("t", "s", true, {}, at(7s)));
  selector.forget(3);
  LONGS_EQUAL(2, select(false));
}
