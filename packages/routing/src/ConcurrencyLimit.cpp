#include "ConcurrencyLimit.h"

#include <algorithm>

namespace banyanrill::routing {

namespace {

constexpr double RecentWeight = 0.1;
constexpr double UsualWeight = 0.01;
// Operations of one instance differ in service time; below this ratio their mix explains the
// change.
constexpr double Tolerance = 2.0;
// One step never gives up more than half, so that a single outlier cannot idle the instance.
constexpr double LowestGradient = 0.5;
constexpr double Smoothing = 0.2;
constexpr double FailureFactor = 0.9;

void average(double &value, double sample, double weight) {
  value = value == 0 ? sample : value + weight * (sample - value);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::int32_t initialCeiling)
    : ceiling(initialCeiling), limit(initialCeiling) {}

void ConcurrencyLimit::setCeiling(std::int32_t value) {
  if (value > this->ceiling)
    this->limit += value - this->ceiling;
  this->ceiling = value;
  this->limit = std::clamp(this->limit, std::min(1.0, double(value)), double(value));
}

void ConcurrencyLimit::onSuccess(base::Duration latency, std::int32_t inProgress) {
  const double sample = std::max<double>(static_cast<double>(latency.count()), 1);
  average(this->recent, sample, RecentWeight);
  average(this->usual, sample, UsualWeight);
  const double gradient = std::clamp(Tolerance * this->usual / this->recent, LowestGradient, 1.0);
  // An instance that is far from its limit says nothing about a higher one.
  if (gradient >= 1 && inProgress * 2 < this->value())
    return;
  const double target = this->limit * gradient + 1;
  this->limit += Smoothing * (target - this->limit);
  this->limit =
      std::clamp(this->limit, std::min(1.0, double(this->ceiling)), double(this->ceiling));
}

void ConcurrencyLimit::onFailure() {
  this->limit = std::max(this->limit * FailureFactor, std::min(1.0, double(this->ceiling)));
}

std::int32_t ConcurrencyLimit::value() const { return static_cast<std::int32_t>(this->limit); }

} // namespace banyanrill::routing
