// Limits retries to a share of the requests, so that a failing upstream is not flooded by them.
#pragma once

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"

#include <cstdint>
#include <optional>

namespace banyanrill::routing {

struct RetryBudgetOptions {
  std::int32_t percentOfRequests = 10;
  std::int32_t minimumPerSecond = 1;
  std::int32_t maxTokens = 100; ///< Retries that a quiet time can save up.
  base::Duration firstBackoff = std::chrono::milliseconds(20);
  base::Duration maxBackoff = std::chrono::seconds(1);
  std::int32_t maxAttempts = 3;
};

/// Each second earns the share of its requests or the minimum, whichever is more; the minimum is
/// credited at the end of the second. Pure; not thread-safe: owned by the core task.
class RetryBudget {
public:
  RetryBudget(RetryBudgetOptions options, base::TimePoint now);

  /// Counts one first attempt.
  void onRequest(base::TimePoint now);

  /// Delay before the next attempt, with full jitter, or nothing if the budget is empty, the
  /// attempts are used up or the deadline would pass.
  /// \param attemptsMade attempts made so far, at least 1.
  std::optional<base::Duration> tryRetry(std::int32_t attemptsMade, base::TimePoint deadline,
                                         base::TimePoint now, base::RandomSource &random);

private:
  void refill(base::TimePoint now);

  RetryBudgetOptions options;
  double tokens;
  base::TimePoint lastRefill;
  double earnedInWindow = 0; ///< Tokens earned by requests since `lastRefill`.
};

} // namespace banyanrill::routing
