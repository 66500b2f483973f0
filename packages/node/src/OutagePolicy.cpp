#include "OutagePolicy.h"

#include <algorithm>

namespace banyanrill::node {

bool OutagePolicy::isOutage(base::Duration withoutLeader) {
  return withoutLeader >= OrdinaryOutage;
}

OutageDecision OutagePolicy::decide(base::Duration withoutLeader, base::Duration timeLeft,
                                    base::RandomSource &random) {
  if (!isOutage(withoutLeader) || timeLeft >= withoutLeader)
    return {};
  return {false, retryAfterMs(withoutLeader, random)};
}

std::int64_t OutagePolicy::retryAfterMs(base::Duration withoutLeader, base::RandomSource &random) {
  const base::Duration spread = std::clamp(withoutLeader, MinRetryTime, MaxRetryTime);
  const auto spreadMs = std::chrono::duration_cast<std::chrono::milliseconds>(spread).count();
  return 1 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(spreadMs)));
}

} // namespace banyanrill::node
