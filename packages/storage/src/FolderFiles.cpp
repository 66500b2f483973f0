#include "FolderFiles.h"

#include "Bytes.h"
#include "Files.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <xxhash.h>

namespace banyanrill::storage {

using base::Errc;
using base::Error;

namespace {

constexpr std::string_view SegmentPrefix = "log-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view IdentityMagic = "BRILLID1";
constexpr std::string_view SnapshotMagic = "BRILLSN1";
constexpr std::size_t TokenBytes = 32;
constexpr std::size_t NameDigits = 20;
constexpr std::size_t SnapshotOverheadBytes = 32;

/// Fixed width, so that names sort by number.
std::string numberedName(std::string_view prefix, std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(prefix) + std::string(NameDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> numberIn(std::string_view prefix, const std::string &name) {
  if (name.size() != prefix.size() + NameDigits || name.compare(0, prefix.size(), prefix) != 0)
    return std::nullopt;
  std::uint64_t number = 0;
  const char *end = name.data() + name.size();
  const auto [stop, code] = std::from_chars(name.data() + prefix.size(), end, number);
  if (code != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

void appendChecksum(std::string &bytes) {
  appendNumber(bytes, std::uint64_t{XXH3_64bits(bytes.data(), bytes.size())});
}

/// The bytes before the checksum at the end, or an empty optional if it is wrong.
std::optional<std::string_view> withoutChecksum(std::string_view bytes) {
  if (bytes.size() < sizeof(std::uint64_t))
    return std::nullopt;
  const std::string_view content = bytes.substr(0, bytes.size() - sizeof(std::uint64_t));
  ByteReader reader(bytes.substr(content.size()));
  if (reader.number<std::uint64_t>() != XXH3_64bits(content.data(), content.size()))
    return std::nullopt;
  return content;
}

bool isHexDigit(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

} // namespace

std::string segmentName(std::uint64_t sequence) { return numberedName(SegmentPrefix, sequence); }

std::string snapshotName(std::uint64_t index) { return numberedName(SnapshotPrefix, index); }

std::optional<std::uint64_t> segmentSequence(const std::string &name) {
  return numberIn(SegmentPrefix, name);
}

std::optional<std::uint64_t> snapshotIndex(const std::string &name) {
  return numberIn(SnapshotPrefix, name);
}

Error corrupted(const std::string &path, const std::string &message) {
  return Error{Errc::DataCorrupted, path, message + DamageAdvice};
}

base::Status writeIdentity(const FileOperations &files, const std::string &folder,
                           const FolderIdentity &identity) {
  std::string bytes(IdentityMagic);
  appendNumber(bytes, identity.replica);
  bytes += identity.token;
  appendChecksum(bytes);
  return replaceFile(files, folder, IdentityName, bytes);
}

base::Result<FolderIdentity> readIdentity(const std::string &folder) {
  const std::string path = pathIn(folder, IdentityName);
  constexpr std::size_t MaxBytes = 1024;
  const base::Result<std::string> file = readFile(path, MaxBytes);
  if (!file && file.error().code == Errc::TooLarge)
    return corrupted(path, file.error().message);
  if (!file)
    return file.error();
  const std::optional<std::string_view> content = withoutChecksum(file.value());
  ByteReader reader(content.value_or(""));
  const std::string_view magic = reader.take(IdentityMagic.size());
  FolderIdentity identity;
  identity.replica = reader.number<std::uint32_t>();
  identity.token = reader.take(TokenBytes);
  if (!reader.ok() || !reader.atEnd() || magic != IdentityMagic ||
      !std::all_of(identity.token.begin(), identity.token.end(), isHexDigit))
    return corrupted(path, "the identity is damaged or of another version");
  return identity;
}

base::Status writeSnapshot(const FileOperations &files, const std::string &folder,
                           const StoredSnapshot &snapshot) {
  const std::string name = snapshotName(snapshot.index);
  if (snapshot.data.size() > MaxSnapshotBytes)
    return Error{Errc::TooLarge, pathIn(folder, name),
                 "a snapshot has at most " + std::to_string(MaxSnapshotBytes) + " bytes"};
  std::string bytes;
  bytes.reserve(snapshot.data.size() + SnapshotOverheadBytes);
  bytes += SnapshotMagic;
  appendNumber(bytes, snapshot.index);
  appendNumber(bytes, snapshot.term);
  bytes += snapshot.data;
  appendChecksum(bytes);
  return replaceFile(files, folder, name, bytes);
}

base::Result<StoredSnapshot> readSnapshot(const std::string &folder, std::uint64_t index) {
  const std::string path = pathIn(folder, snapshotName(index));
  base::Result<std::string> file = readFile(path, MaxSnapshotBytes + SnapshotOverheadBytes);
  if (!file && file.error().code != Errc::StorageFailure)
    return corrupted(path, file.error().message);
  if (!file)
    return file.error();
  const std::optional<std::string_view> content = withoutChecksum(file.value());
  ByteReader reader(content.value_or(""));
  const std::string_view magic = reader.take(SnapshotMagic.size());
  StoredSnapshot snapshot;
  snapshot.index = reader.number<std::uint64_t>();
  snapshot.term = reader.number<std::uint64_t>();
  if (!reader.ok() || magic != SnapshotMagic || snapshot.index != index)
    return corrupted(path, "the snapshot is damaged or of another version");
  const std::size_t overhead = SnapshotOverheadBytes - sizeof(std::uint64_t);
  snapshot.data = std::move(file.value());
  snapshot.data.resize(snapshot.data.size() - sizeof(std::uint64_t));
  snapshot.data.erase(0, overhead);
  return snapshot;
}

} // namespace banyanrill::storage
