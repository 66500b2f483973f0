// Token bucket that earns a share of the requests, and a minimum in every second.
#include "banyanrill/routing/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::routing {

namespace {

constexpr base::Duration Window = std::chrono::seconds(1);

} // namespace

RetryBudget::RetryBudget(RetryBudgetOptions limits, base::TimePoint now)
    : options(limits), tokens(std::min(limits.minimumPerSecond, limits.maxTokens)),
      lastRefill(now) {}

void RetryBudget::onRequest(base::TimePoint now) {
  this->refill(now);
  const double share = this->options.percentOfRequests / 100.0;
  this->earnedInWindow += share;
  this->tokens = std::min<double>(this->tokens + share, this->options.maxTokens);
}

std::optional<base::Duration> RetryBudget::tryRetry(std::int32_t attemptsMade,
                                                    base::TimePoint deadline, base::TimePoint now,
                                                    base::RandomSource &random) {
  assert(attemptsMade >= 1);
  this->refill(now);
  // Shares such as 10 % are not exact in binary: ten of them must still make one token.
  constexpr double OneToken = 1.0 - 1e-9;
  if (attemptsMade >= this->options.maxAttempts || this->tokens < OneToken)
    return std::nullopt;
  base::Duration highest = this->options.firstBackoff;
  for (std::int32_t i = 1; i < attemptsMade && highest < this->options.maxBackoff; ++i)
    highest *= 2;
  highest = std::min(highest, this->options.maxBackoff);
  const base::Duration delay(
      static_cast<base::Duration::rep>(random.unit() * static_cast<double>(highest.count())));
  if (now + delay >= deadline)
    return std::nullopt;
  this->tokens = std::max(this->tokens - 1.0, 0.0);
  return delay;
}

void RetryBudget::refill(base::TimePoint now) {
  if (now < this->lastRefill + Window)
    return;
  // The first window is topped up to the minimum; the others that passed had no request.
  const auto windows = (now - this->lastRefill) / Window;
  const double minimum = this->options.minimumPerSecond;
  const double topUp =
      std::max(minimum - this->earnedInWindow, 0.0) + minimum * static_cast<double>(windows - 1);
  this->tokens = std::min<double>(this->tokens + topUp, this->options.maxTokens);
  this->lastRefill += windows * Window;
  this->earnedInWindow = 0;
}

} // namespace banyanrill::routing
