// Reads a data folder without changing it.
#pragma once

#include "Replay.h"
#include "Segment.h"
#include "banyanrill/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::storage {

struct SegmentInfo {
  std::uint64_t sequence = 0;
  std::uint64_t maxIndex = 0; ///< Of all entries that it holds; 0 if none.
};

/// The bytes of a segment from `offset` to the end of its valid records.
struct SegmentTail {
  std::size_t offset = 0;
  std::string bytes;
};

struct FolderContents {
  std::optional<StoredSnapshot> snapshot;
  Replay replay; ///< Finished.
  std::vector<SegmentInfo> segments;
  SegmentHeader newest;
  /// The last record of the newest segment; the whole file if it holds only its first one.
  SegmentTail newestTail;
  std::size_t newestValidBytes = 0;
  std::size_t newestFileBytes = 0; ///< Larger if an incomplete record follows the valid ones.
  /// The snapshot file is newer than the last record, which does not mention it.
  bool snapshotIsUnmarked = false;
};

/// Errors: DataCorrupted, StorageFailure.
base::Result<FolderContents> readFolder(const std::string &folder);

} // namespace banyanrill::storage
