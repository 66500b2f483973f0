// How fast workers are, learned from how long their tasks took against the estimates of their
// queue.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace banyanrill::jobs {

/// Not thread-safe. Bounded by the workers and queues that exist.
class SpeedTable {
public:
  /// A task that ran from its beginning to its success. Ignored without an estimate.
  void note(const std::string &worker, const std::string &queue, std::int64_t estimatedMs,
            base::Duration took);

  /// Natural logarithm of the worker's duration against the usual one: 0 is usual, 0.7 is twice as
  /// slow. Close to 0 while little is known.
  double slowness(const std::string &worker) const;

  /// How long a task of this queue should take on a worker of this slowness.
  base::Duration expected(double slowness, const std::string &queue,
                          std::int64_t estimatedMs) const;

  void forgetWorker(const std::string &worker) { this->workers.erase(worker); }

private:
  struct Mean {
    double value = 0;
    double weight = 0;

    void add(double sample, double maxWeight);
  };

  std::map<std::string, Mean> queues; ///< Of the logarithm of duration against estimate.
  std::map<std::string, Mean> workers;
};

} // namespace banyanrill::jobs
