// How long a link takes to carry something.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>

namespace banyanrill::base {

/// Precondition: `bytesPerSecond` is not 0. Pure and thread-safe.
constexpr Duration transferTime(std::uint64_t bytes, std::uint64_t bytesPerSecond) {
  return Duration(bytes * 1000000 / bytesPerSecond);
}

} // namespace banyanrill::base
