// Guards against uneven load: the least loaded instance is chosen, ties at random.
#include "UpstreamFixture.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamChoice){};

TEST(UpstreamChoice, LeastLoadedWithRandomTies) {
  std::set<std::string> first;
  for (std::uint64_t seed = 1; seed <= 32; ++seed) {
    UpstreamFixture cell(UpstreamFixture::immediate(), seed);
    std::set<std::string> chosen;
    for (const char *id : {"a", "b", "c"})
      cell.announce(id, 2);
    first.insert(cell.acquire()->id.value);
    for (int i = 0; i < 2; ++i)
      chosen.insert(cell.acquire()->id.value);
    LONGS_EQUAL(2, chosen.size());
    LONGS_EQUAL(3, cell.freeSlots());
  }
  LONGS_EQUAL(3, first.size());
}

TEST(UpstreamChoice, SkipsWorkersThatDoNotAdmitAndAvoidedInstances) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  cell.announce("a", 2);
  const auto none = [](const auto &) { return false; };
  const auto all = [](const auto &) { return true; };
  CHECK(!cell.table.acquire("t", "s", {}, at(cell.now), none).has_value());
  CHECK(!cell.table.acquire("t", "s", {{"a"}}, at(cell.now), all).has_value());
  LONGS_EQUAL(2, cell.freeSlots());
}

TEST(UpstreamChoice, SlowStartRaisesTheLimit) {
  UpstreamFixture cell({});
  cell.announce("a", 10);
  LONGS_EQUAL(1, cell.freeSlots());
  cell.now += 2500ms;
  LONGS_EQUAL(5, cell.freeSlots());
  cell.now += 2500ms;
  LONGS_EQUAL(10, cell.freeSlots());
}
