// Guards against requests that wait for a slot that they cannot use in time.
#include "Steps.h"

#include "banyanrill/routing/AdmissionQueue.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

TEST_GROUP(AdmissionDeadline){};

TEST(AdmissionDeadline, RefusesEarlyAndReportsExpiredOnce) {
  AdmissionQueue queue({});
  const auto push = [&](const char *id, std::chrono::milliseconds deadline, std::int32_t slots) {
    return queue.push({id, "t", "s", 0, at(deadline)}, 100ms, slots, at(0ms));
  };
  CHECK(push("a", 99ms, 1) == Admission::DeadlineTooShort);
  CHECK(push("b", 100ms, 1) == Admission::Queued);
  CHECK(push("b", 100ms, 1) == Admission::Queued); // A duplicated message.
  CHECK(push("c", 199ms, 1) == Admission::DeadlineTooShort);
  CHECK(push("c", 199ms, 2) == Admission::Queued);
  CHECK(push("d", 500ms, 1) == Admission::Queued);
  LONGS_EQUAL(3, queue.size());
  CHECK(queue.remove("d"));
  CHECK(!queue.remove("d"));
  STRCMP_EQUAL("c", queue.pop("s", at(150ms))->requestId.c_str());
  CHECK(!queue.pop("s", at(150ms)).has_value());
  LONGS_EQUAL(1, queue.expire(at(150ms)).size());
  LONGS_EQUAL(0, queue.expire(at(150ms)).size());
  LONGS_EQUAL(0, queue.size());
}
