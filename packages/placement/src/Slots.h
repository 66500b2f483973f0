// Number of tasks of one demand that fit into an amount of resources.
#pragma once

#include "banyanrill/base/Resources.h"

#include <cstdint>

namespace banyanrill::placement {

/// Returns zero if any amount of `free` is negative, and the largest number of tasks of a job if
/// `demand` is zero. Precondition: `demand.isValid()`. Thread-safe.
std::int64_t slotsIn(const base::Resources &free, const base::Resources &demand);

} // namespace banyanrill::placement
