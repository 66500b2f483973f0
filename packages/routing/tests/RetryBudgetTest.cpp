// Guards against a retry storm: retries beyond their share of the requests.
#include "Steps.h"

#include "banyanrill/routing/RetryBudget.h"

#include <cmath>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;
using namespace std::chrono_literals;

namespace {

void staysWithinShare() {
  RetryBudget budget({}, at(0ms));
  banyanrill::base::RandomSource random(1);
  std::chrono::milliseconds now(0);
  std::map<std::int64_t, int> requests; // By second.
  int retries = 0;
  for (const auto &[kind, a, b, c] : anySteps(3)) {
    if (kind == 0) {
      now += std::chrono::milliseconds(a * a / 500);
    } else if (kind == 1) {
      requests[now / 1s] += b % 50;
      for (int i = 0; i < b % 50; ++i)
        budget.onRequest(at(now));
    } else {
      const int attempts = 1 + a % 4;
      const auto deadline = at(now + std::chrono::milliseconds(b % 40));
      while (const auto delay = budget.tryRetry(attempts, deadline, at(now), random)) {
        ++retries;
        RC_ASSERT(attempts < 3 && at(now) + *delay < deadline);
        RC_ASSERT(*delay <= 20ms * (1 << (attempts - 1)));
      }
    }
    double share = 1;
    for (std::int64_t second = 0; second < now / 1s; ++second)
      share += std::max(0.1 * requests[second], 1.0);
    RC_ASSERT(retries <= share + 0.1 * requests[now / 1s] + 1e-6);
  }
}

} // namespace

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, StaysWithinItsShare) {
  CHECK(rc::check("retries stay within their share", staysWithinShare));
}

TEST(RetryBudget, AllowsTheWholeShare) {
  RetryBudget budget({}, at(0ms));
  banyanrill::base::RandomSource random(1);
  for (int i = 0; i < 100; ++i)
    budget.onRequest(at(0ms));
  int retries = 0;
  while (budget.tryRetry(1, at(1h), at(0ms), random))
    ++retries;
  LONGS_EQUAL(11, retries); // 10 % and the one that the first second starts with.
}
