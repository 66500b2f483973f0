// Guards against hashes that differ between builds or processors; two processes may compare them.
#include "banyanrill/base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::base;

TEST_GROUP(Hash){};

TEST(Hash, IsTheSameEverywhere) {
  CHECK_EQUAL(14695981039346656037U, stableHash(""));
  CHECK_EQUAL(0xaf63dc4c8601ec8cU, stableHash("a"));
  // A byte above 127 is negative as a signed char.
  CHECK_EQUAL((14695981039346656037U ^ 0xffU) * 1099511628211U, stableHash("\xff"));
}

TEST(Hash, MixingSpreadsNeighbours) {
  CHECK_EQUAL(0U, mixBits(0));
  CHECK((mixBits(1) ^ mixBits(2)) >> 32U != 0);
}
