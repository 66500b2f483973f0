// Guards against traffic to failing instances, and against ejecting too many of them.
#include "UpstreamFixture.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

namespace {

/// Requests that instance `bad` gets of `count`; all of its requests fail.
int requestsTo(UpstreamFixture &cell, const std::string &bad, int count) {
  int seen = 0;
  for (int i = 0; i < count; ++i) {
    const auto lease = cell.acquire();
    const bool fails = lease->id.value == bad;
    seen += fails ? 1 : 0;
    cell.release(*lease, fails ? UpstreamOutcome::Failure : UpstreamOutcome::Success);
  }
  return seen;
}

} // namespace

TEST_GROUP(UpstreamEjection){};

TEST(UpstreamEjection, LastsLongerEachTime) {
  UpstreamTableOptions options = UpstreamFixture::immediate();
  options.announcementTimeout = 1h;
  UpstreamFixture cell(options);
  cell.announce("a", 4);
  cell.announce("b", 4);
  LONGS_EQUAL(5, requestsTo(cell, "a", 200));
  cell.now += 9999ms;
  LONGS_EQUAL(0, requestsTo(cell, "a", 100));
  cell.now += 1ms; // Returns after 10 s; its next failure ejects it for 20 s.
  LONGS_EQUAL(1, requestsTo(cell, "a", 100));
  cell.now += 19999ms;
  LONGS_EQUAL(0, requestsTo(cell, "a", 100));
  cell.now += 1ms;
  LONGS_EQUAL(1, requestsTo(cell, "a", 100));
}

TEST(UpstreamEjection, KeepsTheHealthyFloor) {
  UpstreamFixture cell(UpstreamFixture::immediate());
  for (const char *id : {"a", "b", "c", "d"})
    cell.announce(id, 4);
  for (int i = 0; i < 200; ++i)
    cell.release(*cell.acquire(), UpstreamOutcome::Failure);
  LONGS_EQUAL(8, cell.table.loads(at(cell.now)).front().totalSlots);
  for (const char *id : {"a", "b", "c", "d"})
    cell.table.leave({id});
  cell.announce("e", 4);
  CHECK(cell.acquire().has_value());
}
