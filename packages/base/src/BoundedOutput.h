// Lines for a file descriptor whose reader may be slow: buffered, limited in bytes a second, and
// dropped and counted beyond that. Writing never waits.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace banyanrill::base {

enum class LineKind : std::uint8_t {
  Rare,
  Frequent, ///< Dropped first: rare lines have a reserve of their own.
};

/// Thread-safe.
class BoundedOutput {
public:
  explicit BoundedOutput(int descriptor) : file(descriptor) {}

  /// Adds a line that ends with a line break.
  void add(std::string_view line, LineKind kind = LineKind::Rare);

  /// Whether a line of this kind would be added now. If not, the line counts as dropped, so that
  /// the caller need not format it.
  bool accepts(LineKind kind);

  /// Writes what the reader takes now.
  void flush();

  std::uint64_t dropped() const;

private:
  void refill(TimePoint now);
  bool hasSpace(std::size_t size, LineKind kind) const;
  void flushLocked();
  void reportDropped(TimePoint now);

  const int file;
  mutable std::mutex mutex;
  std::string buffer;
  std::size_t unwritten = 0; ///< Bytes added since the last attempt to write.
  double allowance = 0;      ///< Bytes that may be added now.
  TimePoint refilled = TimePoint::min();
  std::uint64_t droppedLines = 0;
  std::uint64_t reportedLines = 0;
  TimePoint nextReport = TimePoint::min();
};

} // namespace banyanrill::base
