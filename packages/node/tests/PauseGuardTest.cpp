// Guards against orders of a former leader that was paused while a successor took over.
#include "../src/PauseGuard.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using node::PauseGuard;

namespace {

base::TimePoint at(std::int64_t ms) { return base::TimePoint(std::chrono::milliseconds(ms)); }

} // namespace

TEST_GROUP(PauseGuard){};

TEST(PauseGuard, RegularChecksAllowOrders) {
  PauseGuard guard;
  for (std::int64_t ms = 1000; ms < 2000; ms += 40)
    CHECK(guard.mayGiveOrders(at(ms), 7));
}

TEST(PauseGuard, PausedProcessWaitsForAConfirmation) {
  PauseGuard guard;
  CHECK(guard.mayGiveOrders(at(1000), 0));
  CHECK(!guard.mayGiveOrders(at(6000), 0));
  CHECK(!guard.mayGiveOrders(at(6040), 0));
  guard.onLeadershipConfirmed(guard.pauseCount());
  CHECK(guard.mayGiveOrders(at(6080), 0));
}

/// The steady clock does not count a suspension.
TEST(PauseGuard, SuspendedMachineWaitsForAConfirmation) {
  PauseGuard guard;
  CHECK(guard.mayGiveOrders(at(1000), 0));
  CHECK(!guard.mayGiveOrders(at(1040), 5000));
  guard.onLeadershipConfirmed(guard.pauseCount());
  CHECK(guard.mayGiveOrders(at(1080), 5000));
}

TEST(PauseGuard, ConfirmationOfAnEarlierPauseIsNotEnough) {
  PauseGuard guard;
  CHECK(guard.mayGiveOrders(at(1000), 0));
  CHECK(!guard.mayGiveOrders(at(3000), 0));
  const std::uint64_t first = guard.pauseCount();
  CHECK(!guard.mayGiveOrders(at(9000), 0));
  guard.onLeadershipConfirmed(first);
  CHECK(!guard.mayGiveOrders(at(9040), 0));
}
