// A random run of a group with faults, replayable from its seed.
#pragma once

#include <cstdint>

namespace banyanrill::consensus::testing {

/// Throws std::runtime_error if an invariant is violated, or if the group does not recover within a
/// simulated minute after the faults end.
void runScenario(std::uint64_t seed);

} // namespace banyanrill::consensus::testing
