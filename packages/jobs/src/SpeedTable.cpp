#include "SpeedTable.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::jobs {

namespace {

/// Samples after which older ones fade, for a queue and for a worker, whose speed can change.
constexpr double MaxQueueSamples = 400;
constexpr double MaxWorkerSamples = 12;

/// Samples of usual speed that a worker is credited with at first.
constexpr double AssumedSamples = 3;

/// One sample counts as this much at most: estimates are rough.
constexpr double MaxDeviation = 2;

} // namespace

void SpeedTable::Mean::add(double sample, double maxWeight) {
  this->weight = std::min(this->weight + 1, maxWeight);
  this->value += (sample - this->value) / this->weight;
}

void SpeedTable::note(const std::string &worker, const std::string &queue, std::int64_t estimatedMs,
                      base::Duration took) {
  const auto tookMs = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
  if (estimatedMs <= 0 || tookMs <= 0)
    return;
  const double sample = std::log(static_cast<double>(tookMs) / static_cast<double>(estimatedMs));
  Mean &usual = this->queues[queue];
  const double deviation = usual.weight > 0 ? sample - usual.value : 0;
  usual.add(sample, MaxQueueSamples);
  this->workers[worker].add(std::clamp(deviation, -MaxDeviation, MaxDeviation), MaxWorkerSamples);
}

double SpeedTable::slowness(const std::string &worker) const {
  const auto found = this->workers.find(worker);
  if (found == this->workers.end())
    return 0;
  const Mean &mean = found->second;
  return mean.value * mean.weight / (mean.weight + AssumedSamples);
}

base::Duration SpeedTable::expected(double slowness, const std::string &queue,
                                    std::int64_t estimatedMs) const {
  const auto usual = this->queues.find(queue);
  const double factor =
      std::exp((usual == this->queues.end() ? 0 : usual->second.value) + slowness);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(static_cast<double>(estimatedMs) * factor));
}

} // namespace banyanrill::jobs
