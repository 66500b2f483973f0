// Brings a test cell into the state from which its scenarios start.
#pragma once

#include "TestCell.h"

namespace banyanrill::test {

/// Runs can be raised for a long search, for example CELL_RUNS=1000; CELL_SEED is the first seed.
std::uint64_t setting(const char *name, std::uint64_t fallback);

/// Waits for a leader, sets the operations `trend` and `level-check`, and waits until all 8 workers
/// have settled with their owners.
void prepare(TestCell &cell);

} // namespace banyanrill::test
