// Faults of the soak's workers: they restart under their identifiers, and their links are cut soon
// after.
#pragma once

#include "FakePlatform.h"
#include "Proxy.h"
#include "banyanrill/base/RandomSource.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace banyanrill::soak {

/// Not thread-safe. Its draws are its own, so that the other faults of a seed stay the same.
class WorkerFaults {
public:
  /// Sets the workers' clocks to random times. Preconditions: `links[i]` leads to worker `i` of the
  /// platform; both outlive this object.
  WorkerFaults(std::uint64_t seed, platform::test::FakePlatform &platform,
               const std::vector<std::unique_ptr<Proxy>> &links);

  /// Restarts a worker if a fault is due, and begins to delay orders at the first call.
  void harm();

  /// Begins and ends the cuts that are due. Cuts outlast the last `harm`.
  void advance();

  /// No order is delayed any more; cuts still end in their own time.
  void stopHarm();

  /// Restarts so far.
  std::size_t count() const { return this->restarts; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Cut {
    TimePoint from;
    TimePoint until;
    LinkFault fault = LinkFault::None;
  };

  void restart(std::size_t worker);
  void restartAndCut(std::size_t worker);

  const std::uint64_t lateOrderSeed;
  base::RandomSource random;
  platform::test::FakePlatform &users;
  const std::vector<std::unique_ptr<Proxy>> &workerLinks;
  std::vector<std::optional<Cut>> cuts; ///< One of each worker at a time.
  std::optional<TimePoint> nextRestart;
  std::size_t restarts = 0;
};

} // namespace banyanrill::soak
