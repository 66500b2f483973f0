// Guards against a damaged snapshot that is loaded in part, or taken for a good one.
#include "Steps.h"

#include "banyanrill/routing/ClaimTable.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;

namespace {

ClaimTable filled() {
  ClaimTable table;
  table.claim("a", "d", {1, "r1"}, 5);
  table.claim("b", "d", {2, "r2"}, 6);
  table.complete("b", {2, "r2"}, {banyanrill::base::Verdict::Ran, 200, "t", "body", true}, 7);
  return table;
}

} // namespace

TEST_GROUP(ClaimDamage){};

TEST(ClaimDamage, ChangesNothing) {
  CHECK(rc::check("damaged bytes are refused", [] {
    const std::string good = filled().save();
    std::string bad = good;
    const auto place = *rc::gen::inRange<std::size_t>(0, good.size());
    if (*rc::gen::arbitrary<bool>())
      bad[place] = static_cast<char>(bad[place] ^ *rc::gen::inRange(1, 256));
    else
      bad.resize(place);
    ClaimTable table;
    table.claim("kept", "d", {3, "r3"}, 1);
    const std::string before = table.save();
    const auto status = table.load(bad);
    RC_ASSERT(!status.ok());
    RC_ASSERT(status.error().code == banyanrill::base::Errc::DataCorrupted);
    RC_ASSERT(table.save() == before);
  }));
}

TEST(ClaimDamage, MoreClaimsThanTheLimitAreRefused) {
  ClaimTable small(ClaimLimits{1, 4096, 1000});
  CHECK(!small.load(filled().save()).ok());
}
