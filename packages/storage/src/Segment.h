// Format of a log segment: a header, then framed records with checksums.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanrill::storage {

inline constexpr std::uint32_t SegmentVersion = 1;
inline constexpr std::size_t SegmentHeaderBytes = 36;

/// A frame is magic, length of the body, checksum, body.
inline constexpr std::size_t FrameHeaderBytes = 16;

struct SegmentHeader {
  std::uint32_t version = SegmentVersion;
  std::uint64_t sequence = 0;
  /// Random, part of every checksum: bytes of another segment, or of a payload that holds a copy of
  /// a frame, are never taken for a record.
  std::uint64_t salt = 0;
};

std::string encodeSegmentHeader(const SegmentHeader &header);

/// Empty optional if magic or checksum are wrong.
std::optional<SegmentHeader> decodeSegmentHeader(std::string_view file);

/// \param offset place of the frame in the file. Precondition: `body` is below 4 GiB.
std::string encodeFrame(std::uint64_t salt, std::uint64_t offset, std::string_view body);

struct FoundFrame {
  std::size_t offset = 0;
  std::string_view body;
};

struct SegmentScan {
  std::vector<FoundFrame> frames; ///< Contiguous from the header on.
  std::size_t validBytes = 0;     ///< End of the last of them.
  /// Place of a valid frame after the first damage: the damage is not an interrupted write.
  std::optional<std::size_t> validAfterDamage;
};

/// Precondition: `file` begins with a header whose salt is given.
SegmentScan scanSegment(std::string_view file, std::uint64_t salt);

} // namespace banyanrill::storage
