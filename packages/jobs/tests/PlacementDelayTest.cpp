// Guards against waits for a place that make jobs late or last too long, and against starts far
// from the data that a short wait would have saved.
#include "RackLoad.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Now{std::chrono::seconds(100)};

/// A run of 2 s that takes 1 s longer elsewhere; the place is expected to be free in 400 ms.
DelayInput usualInput() {
  DelayInput input;
  input.now = Now;
  input.estimate = milliseconds(2000);
  input.remotePenalty = 1.5;
  input.otherIsFree = true;
  input.preferredIn = milliseconds(400);
  input.slack = milliseconds(8000);
  input.trust = 1;
  return input;
}

DelayReason reasonOf(const DelayInput &input) { return PlacementDelay::decide(input).reason; }

DelayInput anyInput() {
  const auto duration = [](std::int64_t least, std::int64_t end) {
    return base::Duration(*rc::gen::inRange<std::int64_t>(least, end));
  };
  DelayInput input;
  input.now = Now;
  input.estimate = duration(0, 6000000);
  input.remotePenalty = 1 + *rc::gen::inRange(0, 200) / 100.0;
  input.preferredIsFree = *rc::gen::inRange(0, 8) == 0;
  input.otherIsFree = *rc::gen::inRange(0, 8) != 0;
  if (*rc::gen::inRange(0, 8) != 0)
    input.preferredIn = duration(0, 2000000);
  input.slack = duration(-3000000, 9000000);
  input.waited = duration(0, 1700000);
  if (*rc::gen::arbitrary<bool>())
    input.firstForecast = Now + duration(-500000, 2000000);
  input.utilization = *rc::gen::inRange(0, 101) / 100.0;
  input.trust = *rc::gen::inRange(50, 101) / 100.0;
  return input;
}

void checkBothExtremesLose(const RackLoadOptions &options) {
  const RackLoadResult decision = runRackLoad(options, decideByForecast());
  const RackLoadResult never = runRackLoad(options, neverWait());
  const RackLoadResult always = runRackLoad(options, waitAtMost(MaxPlacementWait));
  CHECK(decision.jobs > 500);
  CHECK(decision.meanMs < never.meanMs);
  CHECK(decision.meanMs < always.meanMs);
  CHECK(decision.late < never.late);
  CHECK(decision.late < always.late);
  CHECK(decision.longestWaitMs <= 1500);
}

} // namespace

TEST_GROUP(PlacementDelay){};

TEST(PlacementDelay, WaitsIfThePlaceSavesMoreThanTheWait) {
  DelayInput input = usualInput();
  CHECK(DelayReason::Pays == reasonOf(input));
  input.preferredIn = milliseconds(1100);
  CHECK(DelayReason::DoesNotPay == reasonOf(input));
  // With little room left a start elsewhere takes it away from others.
  input.utilization = 0.9;
  CHECK(DelayReason::Pays == reasonOf(input));
  input.trust = 0.5;
  CHECK(DelayReason::WaitUsedUp == reasonOf(input));
}

TEST(PlacementDelay, HoldsNothingBackWithoutNeed) {
  DelayInput input = usualInput();
  input.preferredIsFree = true;
  CHECK(DelayReason::PreferredFree == reasonOf(input));
  input = usualInput();
  input.otherIsFree = false;
  CHECK(DelayReason::NoOtherPlace == reasonOf(input));
  input = usualInput();
  input.preferredIn.reset();
  CHECK(DelayReason::NoForecast == reasonOf(input));
  input = usualInput();
  input.isOverShare = true;
  CHECK(DelayReason::OverShare == reasonOf(input));
  input = usualInput();
  input.remotePenalty = 1;
  CHECK(DelayReason::DoesNotPay == reasonOf(input));
}

TEST(PlacementDelay, WaitsOnlyWhileAStartElsewhereStaysInTime) {
  DelayInput input = usualInput();
  input.slack = milliseconds(1200);
  CHECK(DelayReason::WouldBeLate == reasonOf(input));
  input.slack = milliseconds(1600);
  const DelayDecision decision = PlacementDelay::decide(input);
  CHECK(decision.until && *decision.until <= Now + milliseconds(600));
}

TEST(PlacementDelay, WaitsForThePlaceThatMeetsTheTarget) {
  DelayInput input = usualInput();
  input.slack = milliseconds(980); // Elsewhere it would be late by 20 ms.
  input.preferredIn = milliseconds(970);
  CHECK(DelayReason::MeetsTarget == reasonOf(input));
  input.slack = milliseconds(500); // Late either way, and the place saves too little.
  CHECK(DelayReason::DoesNotPay == reasonOf(input));
}

TEST(PlacementDelay, GivesUpWhenTheForecastTurns) {
  DelayInput input = usualInput();
  input.waited = milliseconds(300);
  input.firstForecast = Now + milliseconds(100);
  CHECK(DelayReason::Pays == reasonOf(input)); // Shifted by as much as was waited, but by little.
  input.preferredIn = milliseconds(700);
  CHECK(DelayReason::ForecastTurned == reasonOf(input));
  input.preferredIn.reset();
  CHECK(DelayReason::ForecastTurned == reasonOf(input));
}

TEST(PlacementDelay, WaitIsBounded) {
  DelayInput input = usualInput();
  input.estimate = milliseconds(60000);
  input.slack = milliseconds(600000);
  input.preferredIn = milliseconds(1);
  for (base::Duration step = milliseconds(50); input.waited < milliseconds(10000);
       input.waited += step, input.now += step) {
    const DelayDecision decision = PlacementDelay::decide(input);
    if (decision.waits())
      CHECK(*decision.until - input.now + input.waited < MaxPlacementWait);
    CHECK(decision.waits() == (input.waited < MaxPlacementWait - DelayRecheckInterval));
  }
}

TEST(PlacementDelay, NoInputMakesAnInTimeJobLateOrWaitsTooLong) {
  const bool holds = rc::check("waits", [] {
    const DelayInput input = anyInput();
    const DelayDecision decision = PlacementDelay::decide(input);
    if (!decision.waits())
      return;
    RC_ASSERT(input.otherIsFree && !input.preferredIsFree && input.preferredIn.has_value());
    RC_ASSERT(*decision.until > input.now);
    RC_ASSERT(input.waited + (*decision.until - input.now) < MaxPlacementWait);
    const auto extra = base::Duration(static_cast<base::Duration::rep>(
        static_cast<double>(input.estimate.count()) * (input.remotePenalty - 1)));
    if (input.slack >= extra)
      RC_ASSERT(*decision.until + extra <= input.now + input.slack);
    else if (*input.preferredIn <= input.slack)
      RC_ASSERT(decision.reason == DelayReason::MeetsTarget ||
                decision.reason == DelayReason::Pays);
  });
  CHECK(holds);
}

TEST(PlacementDelay, MeetsTheTargetThatAStartElsewhereMisses) {
  const bool holds = rc::check("meets", [] {
    DelayInput input = anyInput();
    input.preferredIsFree = false;
    input.otherIsFree = true;
    input.firstForecast.reset();
    input.waited = base::Duration::zero();
    input.trust = 1;
    const auto extra = base::Duration(static_cast<base::Duration::rep>(
        static_cast<double>(input.estimate.count()) * (input.remotePenalty - 1)));
    const base::Duration least = MaxPlacementWait - DelayRecheckInterval;
    if (input.preferredIn && *input.preferredIn <= std::min(input.slack, least) &&
        input.slack < extra)
      RC_ASSERT(PlacementDelay::decide(input).waits());
  });
  CHECK(holds);
}

/// Racks whose data is asked for more than they can serve, beside less busy ones.
TEST_GROUP(RackLoad){};

TEST(RackLoad, NoWaitAndAlwaysWaitingLoseNearFullCapacity) {
  checkBothExtremesLose({.seed = 1, .utilization = 0.85, .busyRacks = 6, .busyFactor = 4});
}

TEST(RackLoad, NoWaitAndAlwaysWaitingLoseWithHotRacks) {
  checkBothExtremesLose({.seed = 1, .utilization = 0.6, .busyRacks = 4, .busyFactor = 5});
}

TEST(RackLoad, NoWaitAndAlwaysWaitingLoseWithALargePenalty) {
  checkBothExtremesLose(
      {.seed = 1, .remotePenalty = 2, .utilization = 0.5, .busyRacks = 2, .busyFactor = 8});
}
