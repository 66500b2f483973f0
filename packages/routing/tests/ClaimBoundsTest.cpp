// Guards against a claim table that grows without bound, in claims or in kept bodies.
#include "banyanrill/routing/ClaimTable.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;

TEST_GROUP(ClaimBounds){};

TEST(ClaimBounds, RefusesNewKeysWhenFullAndDropsLargeBodies) {
  ClaimTable table(ClaimLimits{1, 4, 1000});
  const ClaimHolder holder{1, "r"};
  CHECK(table.claim("a", "d", holder, 0).state == ClaimState::Granted);
  CHECK(table.claim("b", "d", holder, 0).state == ClaimState::TableFull);
  table.complete("a", holder, {banyanrill::base::Verdict::Ran, 201, "t", "12345", true}, 10);
  const ClaimResult again = table.claim("a", "d", {2, "s"}, 1009);
  CHECK(again.state == ClaimState::Done);
  CHECK(again.outcome->status == 201 && !again.outcome->bodyKept && again.outcome->body.empty());
  CHECK(table.claim("b", "d", holder, 1010).state == ClaimState::Granted);
}
