// Guards against a verdict that is shown under a name that clients cannot read back.
#include "banyanrill/base/Verdict.h"

#include <CppUTest/TestHarness.h>

using banyanrill::base::parseVerdict;
using banyanrill::base::toString;
using banyanrill::base::Verdict;

TEST_GROUP(Verdict){};

TEST(Verdict, NamesRoundTrip) {
  for (const Verdict verdict : {Verdict::DidNotRun, Verdict::MayHaveRun, Verdict::Ran})
    CHECK(parseVerdict(toString(verdict)) == verdict);
  CHECK(!parseVerdict("perhaps").has_value());
}
