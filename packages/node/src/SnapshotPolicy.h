// When a replica replaces its log by a snapshot.
#pragma once

#include <cstdint>

namespace banyanrill::node {

/// What was applied since the last snapshot, and the size of that snapshot.
struct LogSinceSnapshot {
  std::uint64_t entries = 0;
  std::uint64_t bytes = 0;
  std::uint64_t snapshotBytes = 0;

  bool operator==(const LogSinceSnapshot &) const = default;
};

/// Entries after which a snapshot is taken. Bounds the log's replay at a restart.
constexpr std::uint64_t MaxLogEntries = 8192;

/// No snapshot is taken for the size of a smaller log. A link between regions carries this much in
/// about a second.
constexpr std::uint64_t MinLogBytes = std::uint64_t{4} * 1024 * 1024;

/// The log may grow to so many times the size of the snapshot. A new member copies both, and each
/// byte of the log costs at most half a byte of a later snapshot.
constexpr std::uint64_t LogBytesPerSnapshotByte = 2;

/// Returns whether a snapshot is due. Pure and thread-safe.
constexpr bool isSnapshotDue(const LogSinceSnapshot &log) {
  return log.entries >= MaxLogEntries ||
         (log.bytes >= MinLogBytes && log.bytes >= LogBytesPerSnapshotByte * log.snapshotBytes);
}

} // namespace banyanrill::node
