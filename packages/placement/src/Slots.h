// How many tasks of one demand fit into an amount of resources.
#pragma once

#include "banyanrill/base/Resources.h"

#include <cstdint>

namespace banyanrill::placement {

/// Zero if any amount of `free` is negative. Without a demand, the largest number of tasks of a
/// job. Precondition: `demand.isValid()`. Pure and thread-safe.
std::int64_t slotsIn(const base::Resources &free, const base::Resources &demand);

} // namespace banyanrill::placement
