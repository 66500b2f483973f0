// Guards against a ledger that reserves more than the worker has, or loses a reservation.
#include "banyanrill/placement/Ledger.h"

#include <CppUTest/TestHarness.h>

using banyanrill::base::Resources;
using banyanrill::placement::Ledger;

TEST_GROUP(Ledger){};

TEST(Ledger, RefusesWhatDoesNotFitAndChangesNothing) {
  Ledger ledger(Resources{4000, 8192, 1});
  CHECK(ledger.reserve("a", {3000, 1024, 1}));
  CHECK(!ledger.reserve("b", {2000, 1024, 0}));
  CHECK(!ledger.reserve("c", {100, 1024, 1}));
  CHECK(ledger.free() == (Resources{1000, 7168, 0}));
  CHECK_EQUAL(1, ledger.holders());
}

TEST(Ledger, RefusesASecondReservationOfOneHolder) {
  Ledger ledger(Resources{4000, 8192, 0});
  CHECK(ledger.reserve("a", {1000, 1024, 0}));
  CHECK(!ledger.reserve("a", {1000, 1024, 0}));
  CHECK(ledger.used() == (Resources{1000, 1024, 0}));
}

TEST(Ledger, AdoptsBeyondTheCapacityAndThenRefusesReservations) {
  Ledger ledger(Resources{4000, 8192, 0});
  ledger.adopt("a", {5000, 1024, 0});
  ledger.adopt("a", {6000, 1024, 0});
  CHECK(ledger.used() == (Resources{6000, 1024, 0}));
  CHECK(ledger.free() == (Resources{-2000, 7168, 0}));
  CHECK(!ledger.reserve("b", {0, 1, 0}));
  CHECK(ledger.release("a"));
  CHECK(!ledger.release("a"));
  CHECK(ledger.free() == ledger.capacity());
}

TEST(Ledger, ReportsNegativeFreeCapacityAfterAReductionOfCapacity) {
  Ledger ledger(Resources{4000, 8192, 0});
  CHECK(ledger.reserve("a", {4000, 1024, 0}));
  ledger.setCapacity({2000, 8192, 0});
  CHECK_EQUAL(-2000, ledger.free().millicores);
  CHECK(ledger.reservation("a") == (Resources{4000, 1024, 0}));
  CHECK(!ledger.reservation("b").has_value());
}
