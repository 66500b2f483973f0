#include "Segment.h"

#include "Bytes.h"

#include <cassert>
#include <xxhash.h>

namespace banyanrill::storage {

namespace {

constexpr std::string_view FileMagic = "BRILLWAL";
constexpr std::string_view FrameMagic = "\xB5\x1C\xE9\x7A";

std::uint64_t frameChecksum(std::uint64_t salt, std::uint64_t offset, std::string_view body) {
  // Includes the length through the size of the hashed bytes, which XXH3 mixes into the result.
  return XXH3_64bits_withSeed(body.data(), body.size(), salt ^ offset);
}

/// Body of the valid frame at `offset`, or an empty optional.
std::optional<std::string_view> frameAt(std::string_view file, std::uint64_t salt,
                                        std::size_t offset) {
  ByteReader reader(file.substr(offset));
  if (reader.take(FrameMagic.size()) != FrameMagic)
    return std::nullopt;
  const auto size = reader.number<std::uint32_t>();
  const auto checksum = reader.number<std::uint64_t>();
  const std::string_view body = reader.take(size);
  if (!reader.ok() || frameChecksum(salt, offset, body) != checksum)
    return std::nullopt;
  return body;
}

} // namespace

std::string encodeSegmentHeader(const SegmentHeader &header) {
  std::string bytes(FileMagic);
  appendNumber(bytes, header.version);
  appendNumber(bytes, header.sequence);
  appendNumber(bytes, header.salt);
  appendNumber(bytes, std::uint64_t{XXH3_64bits(bytes.data(), bytes.size())});
  assert(bytes.size() == SegmentHeaderBytes);
  return bytes;
}

std::optional<SegmentHeader> decodeSegmentHeader(std::string_view file) {
  ByteReader reader(file);
  const std::string_view magic = reader.take(FileMagic.size());
  SegmentHeader header;
  header.version = reader.number<std::uint32_t>();
  header.sequence = reader.number<std::uint64_t>();
  header.salt = reader.number<std::uint64_t>();
  const auto checksum = reader.number<std::uint64_t>();
  if (!reader.ok() || magic != FileMagic ||
      XXH3_64bits(file.data(), SegmentHeaderBytes - sizeof checksum) != checksum)
    return std::nullopt;
  return header;
}

std::string encodeFrame(std::uint64_t salt, std::uint64_t offset, std::string_view body) {
  assert(body.size() <= UINT32_MAX);
  std::string frame;
  frame.reserve(FrameHeaderBytes + body.size());
  frame += FrameMagic;
  appendNumber(frame, static_cast<std::uint32_t>(body.size()));
  appendNumber(frame, frameChecksum(salt, offset, body));
  frame += body;
  return frame;
}

SegmentScan scanSegment(std::string_view file, std::uint64_t salt) {
  SegmentScan scan;
  scan.validBytes = SegmentHeaderBytes;
  while (const auto body = frameAt(file, salt, scan.validBytes)) {
    scan.frames.push_back({scan.validBytes, *body});
    scan.validBytes += FrameHeaderBytes + body->size();
  }
  std::size_t candidate = file.find(FrameMagic, scan.validBytes + 1);
  while (candidate != std::string_view::npos && !frameAt(file, salt, candidate))
    candidate = file.find(FrameMagic, candidate + 1);
  if (candidate != std::string_view::npos)
    scan.validAfterDamage = candidate;
  return scan;
}

} // namespace banyanrill::storage
