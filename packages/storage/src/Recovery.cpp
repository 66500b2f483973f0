#include "Recovery.h"

#include "Files.h"
#include "FolderFiles.h"

#include <algorithm>
#include <utility>

namespace banyanrill::storage {

using base::Errc;
using base::Error;

namespace {

/// A full segment is extended by one batch at most; twice the bound covers the framing.
constexpr std::size_t MaxSegmentFileBytes = 2 * MaxBatchBytes;

Error damagedAt(const std::string &path, std::size_t offset, const std::string &message) {
  return corrupted(path, "damage at offset " + std::to_string(offset) + ": " + message);
}

/// Applies one segment to the contents.
base::Status readSegment(const std::string &path, std::uint64_t sequence, bool isNewest,
                         FolderContents &contents) {
  const base::Result<std::string> file = readFile(path, MaxSegmentFileBytes);
  if (!file && file.error().code != Errc::StorageFailure)
    return corrupted(path, file.error().message);
  if (!file)
    return file.error();
  const std::optional<SegmentHeader> header = decodeSegmentHeader(file.value());
  if (!header)
    return damagedAt(path, 0, "the file has no valid header");
  if (header->version != SegmentVersion)
    return corrupted(path, "the file has version " + std::to_string(header->version) +
                               ", this program reads version " + std::to_string(SegmentVersion));
  if (header->sequence != sequence)
    return corrupted(path, "the header names segment " + std::to_string(header->sequence));

  const SegmentScan scan = scanSegment(file.value(), header->salt);
  if (scan.validAfterDamage)
    return damagedAt(path, scan.validBytes,
                     "a valid record follows at offset " + std::to_string(*scan.validAfterDamage));
  if (scan.validBytes < file.value().size() && !isNewest)
    return damagedAt(path, scan.validBytes, "the segment is not the newest one");
  if (scan.frames.empty())
    return damagedAt(path, scan.validBytes, "the first record, which is synced, is missing");

  SegmentInfo info{sequence, 0};
  for (const FoundFrame &frame : scan.frames) {
    std::optional<Record> record = decodeRecord(frame.body);
    if (!record)
      return damagedAt(path, frame.offset, "the record has unknown contents");
    if (frame.offset == SegmentHeaderBytes && !(record->hardState && record->snapshot))
      return damagedAt(path, frame.offset, "the first record does not state vote and snapshot");
    for (const StoredEntry &entry : record->entries)
      info.maxIndex = std::max(info.maxIndex, entry.index);
    if (const auto rule = contents.replay.apply(std::move(*record)))
      return damagedAt(path, frame.offset, *rule);
  }
  contents.segments.push_back(info);
  contents.newest = *header;
  contents.newestValidBytes = scan.validBytes;
  const std::size_t tail = scan.frames.size() > 1 ? scan.frames.back().offset : 0;
  contents.newestTail = {tail, file.value().substr(tail, scan.validBytes - tail)};
  contents.newestFileBytes = file.value().size();
  return std::monostate{};
}

} // namespace

base::Result<FolderContents> readFolder(const std::string &folder) {
  const base::Result<std::vector<std::string>> names = listFolder(folder);
  if (!names)
    return names.error();
  std::vector<std::uint64_t> sequences;
  std::uint64_t newestSnapshot = 0;
  for (const std::string &name : names.value()) {
    if (const auto sequence = segmentSequence(name))
      sequences.push_back(*sequence);
    if (const auto index = snapshotIndex(name))
      newestSnapshot = std::max(newestSnapshot, *index);
  }
  if (sequences.empty())
    return corrupted(folder, "the folder has an identity but no log");

  FolderContents contents;
  for (const std::uint64_t sequence : sequences) {
    const std::string path = pathIn(folder, segmentName(sequence));
    if (sequence != sequences.front() + contents.segments.size())
      return corrupted(path, "the segment before this one is missing");
    const bool isNewest = sequence == sequences.back();
    if (const base::Status status = readSegment(path, sequence, isNewest, contents); !status)
      return status.error();
  }
  if (newestSnapshot > 0) {
    base::Result<StoredSnapshot> snapshot = readSnapshot(folder, newestSnapshot);
    if (!snapshot)
      return snapshot.error();
    contents.snapshot = std::move(snapshot.value());
  }
  contents.snapshotIsUnmarked = newestSnapshot > contents.replay.snapshot.index;
  const std::uint64_t term = contents.snapshot ? contents.snapshot->term : 0;
  if (const auto rule = contents.replay.finish(newestSnapshot, term))
    return corrupted(folder, *rule);
  return contents;
}

} // namespace banyanrill::storage
