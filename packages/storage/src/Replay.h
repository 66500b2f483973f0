// Rebuilds the log from its records.
#pragma once

#include "Record.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace banyanrill::storage {

struct Replay {
  StoredHardState hardState;
  SnapshotMark snapshot;           ///< The latest one; index 0 if none.
  std::deque<StoredEntry> entries; ///< May begin before the snapshot's end.

  /// Applies the next record. Returns the broken rule, if any; the replay is then useless.
  std::optional<std::string> apply(Record record);

  /// Applies what a snapshot file says, which may be newer than the last record, and drops the
  /// entries that it covers. Returns the broken rule, if any.
  std::optional<std::string> finish(std::uint64_t index, std::uint64_t term);
};

} // namespace banyanrill::storage
