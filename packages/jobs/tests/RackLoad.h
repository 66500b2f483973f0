// Jobs whose data lies on busy racks, in a loop over the decision alone: shows what a policy of
// waiting for a place near the data costs and saves. Deterministic for a given seed.
#pragma once

#include "../src/PlacementDelay.h"
#include "banyanrill/base/RandomSource.h"

#include <functional>

namespace banyanrill::jobs::test {

struct RackLoadOptions {
  std::uint64_t seed = 1;
  double remotePenalty = 1.5;
  double utilization = 0.7; ///< Of all places, if every task ran near its data.
  /// Jobs with data on one of these racks come this many times as often as the others.
  std::size_t busyRacks = 6;
  double busyFactor = 2;
  std::int64_t milliseconds = 25000;
};

struct RackLoadResult {
  std::size_t jobs = 0;
  std::size_t late = 0;
  double meanMs = 0; ///< From submission to the end of the last task.
  double nearShare = 0;
  std::int64_t longestWaitMs = 0; ///< Of a step, while another place was free.

  double lateShare() const {
    return static_cast<double>(this->late) / static_cast<double>(this->jobs);
  }
};

/// Whether to hold a task back that could start elsewhere.
using HoldPolicy = std::function<bool(const DelayInput &input)>;

HoldPolicy neverWait();
HoldPolicy waitAtMost(base::Duration limit);
HoldPolicy decideByForecast();

RackLoadResult runRackLoad(const RackLoadOptions &options, const HoldPolicy &holds);

} // namespace banyanrill::jobs::test
