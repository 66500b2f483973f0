// Body of a log record: one batch.
#pragma once

#include "banyanrill/storage/LogStore.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanrill::storage {

/// States that a snapshot file of this index is durable.
struct SnapshotMark {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  bool resetLog = false; ///< The entries before this record are void, also those after `index`.

  bool operator==(const SnapshotMark &) const = default;
};

struct Record {
  std::optional<StoredHardState> hardState;
  std::optional<SnapshotMark> snapshot;
  std::vector<StoredEntry> entries;

  bool operator==(const Record &) const = default;
};

std::string encodeRecord(const std::optional<StoredHardState> &hardState,
                         const std::optional<SnapshotMark> &snapshot,
                         std::span<const StoredEntry> entries);

/// Empty optional if the bytes are no record of this version.
std::optional<Record> decodeRecord(std::string_view body);

} // namespace banyanrill::storage
