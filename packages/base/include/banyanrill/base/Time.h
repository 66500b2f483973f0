// Time points and durations used by all decisions.
#pragma once

#include <chrono>

namespace banyanrill::base {

using Duration = std::chrono::microseconds;

/// Reading of a steady clock. Pure code receives readings and never reads a clock itself.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the steady clock of this machine. Thread-safe.
inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace banyanrill::base
