#include "banyanrill/storage/LogStore.h"

#include "Environment.h"
#include "Files.h"
#include "FolderFiles.h"
#include "Record.h"
#include "Recovery.h"
#include "Segment.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <span>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace banyanrill::storage {

using base::Errc;
using base::Error;

namespace {

constexpr std::uint64_t FirstSequence = 1;

std::uint64_t randomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

std::string randomToken() {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr std::size_t TokenDigits = 32;
  std::random_device device;
  std::string token;
  while (token.size() < TokenDigits)
    token += Digits[device() % Digits.size()];
  return token;
}

/// The lock ends with the process, also after a crash.
base::Result<Descriptor> lockFolder(const std::string &folder) {
  const std::string path = pathIn(folder, LockName);
  base::Result<Descriptor> file = openFile(path, O_RDWR | O_CREAT);
  if (!file)
    return file;
  if (::flock(file.value().get(), LOCK_EX | LOCK_NB) == 0)
    return file;
  if (errno == EWOULDBLOCK)
    return Error{Errc::StorageFailure, path, "another process uses the folder"};
  return systemError(path, "lock");
}

/// A complete segment without entries.
std::string initialSegment(const SegmentHeader &header, const StoredHardState &hardState,
                           const SnapshotMark &snapshot) {
  return encodeSegmentHeader(header) +
         encodeFrame(header.salt, SegmentHeaderBytes, encodeRecord(hardState, snapshot, {}));
}

/// Refuses a folder that holds anything but the first segment of a creation that was interrupted
/// before it wrote the identity.
base::Status checkUnused(const std::string &folder, std::size_t initialBytes) {
  const base::Result<std::vector<std::string>> names = listFolder(folder);
  if (!names)
    return names.error();
  for (const std::string &name : names.value()) {
    if (name == IdentityName)
      return Error{Errc::LimitReached, folder, "the folder already holds a replica"};
  }
  for (const std::string &name : names.value()) {
    const std::string path = pathIn(folder, name);
    std::error_code code;
    const bool isLeftover = name == segmentName(FirstSequence) &&
                            std::filesystem::file_size(path, code) == initialBytes;
    if (!isLeftover && (segmentSequence(name) || snapshotIndex(name)))
      return corrupted(path, "the folder holds data, but the identity of its replica is missing");
  }
  return std::monostate{};
}

/// Frees the room of replacements that were not completed. One that stays does no harm.
void removeTemporaryFiles(const FileOperations &files, const std::string &folder) {
  const base::Result<std::vector<std::string>> names = listFolder(folder);
  if (!names)
    return;
  for (const std::string &name : names.value()) {
    if (name.size() >= TemporarySuffix.size() &&
        name.substr(name.size() - TemporarySuffix.size()) == TemporarySuffix)
      files.unlink(pathIn(folder, name).c_str());
  }
}

std::size_t encodedBytes(const std::vector<StoredEntry> &entries) {
  constexpr std::size_t FixedBytes = 22; // Item, index, term, kind, size of the payload.
  std::size_t bytes = 0;
  for (const StoredEntry &entry : entries)
    bytes += FixedBytes + entry.payload.size();
  return bytes;
}

} // namespace

struct LogStore::State {
  std::string folder;
  Environment environment;
  Descriptor lock;
  Descriptor file; ///< Newest segment, positioned at its end.
  SegmentHeader header;
  std::size_t fileBytes = 0;
  std::vector<SegmentInfo> segments;
  StoredHardState hardState;
  SnapshotMark snapshot;
  std::deque<std::uint64_t> terms; ///< Of the entries after the snapshot.
  bool failed = false;
  bool hasUnsyncedRemoval = false;

  std::string segmentPath() const {
    return pathIn(this->folder, segmentName(this->header.sequence));
  }

  std::uint64_t lastIndex() const { return this->snapshot.index + this->terms.size(); }

  base::Status openSegment() {
    base::Result<Descriptor> opened = openFile(this->segmentPath(), O_WRONLY | O_APPEND);
    if (!opened)
      return opened.error();
    this->file = std::move(opened.value());
    return std::monostate{};
  }

  /// Cuts off what follows the valid records of the newest segment.
  base::Status cutOff(const FolderContents &contents) {
    if (contents.newestFileBytes <= contents.newestValidBytes)
      return std::monostate{};
    if (::ftruncate(this->file.get(), static_cast<off_t>(contents.newestValidBytes)) != 0)
      return systemError(this->segmentPath(), "truncation");
    if (this->environment.files.fdatasync(this->file.get()) != 0)
      return systemError(this->segmentPath(), "sync");
    return std::monostate{};
  }

  /// Opens the newest segment, cuts off what follows its valid records, and makes durable what was
  /// recovered. What was written last may not be on the disk although it can be read: the process
  /// may have ended between a write and its sync, and after a failed sync the page cache keeps data
  /// that no later sync writes. So the last record is written again, in place: it may be durable
  /// and acknowledged, and must not be missing for a moment.
  base::Status settle(const FolderContents &contents) {
    const FileOperations &files = this->environment.files;
    const SegmentTail &tail = contents.newestTail;
    base::Status status =
        tail.offset == 0
            ? replaceFile(files, this->folder, segmentName(this->header.sequence), tail.bytes)
            : overwriteFile(files, this->segmentPath(), tail.offset, tail.bytes);
    if (!status)
      return status;
    if (status = this->openSegment(); !status)
      return status;
    if (status = this->cutOff(contents); !status)
      return status;
    if (status = syncFolder(files, this->folder); !status)
      return status;
    if (!contents.snapshotIsUnmarked)
      return std::monostate{};
    if (status = writeSnapshot(files, this->folder, *contents.snapshot); !status)
      return status;
    return this->append(encodeRecord(std::nullopt, this->snapshot, {}));
  }

  base::Status append(const std::string &body) {
    const std::string frame = encodeFrame(this->header.salt, this->fileBytes, body);
    const FileOperations &files = this->environment.files;
    if (base::Status status = writeAll(files, this->file.get(), this->segmentPath(), frame);
        !status)
      return status;
    if (files.fdatasync(this->file.get()) != 0)
      return systemError(this->segmentPath(), "sync");
    this->fileBytes += frame.size();
    return std::monostate{};
  }

  base::Status startSegment() {
    this->header.sequence += 1;
    this->header.salt = randomNumber();
    SnapshotMark mark = this->snapshot;
    mark.resetLog = false;
    const std::string bytes = initialSegment(this->header, this->hardState, mark);
    if (base::Status status = replaceFile(this->environment.files, this->folder,
                                          segmentName(this->header.sequence), bytes);
        !status)
      return status;
    this->fileBytes = bytes.size();
    this->segments.push_back({this->header.sequence, 0});
    return this->openSegment();
  }

  /// Empty optional if the snapshot is not newer than the stored one.
  std::optional<SnapshotMark> markFor(const std::optional<StoredSnapshot> &candidate) const {
    if (!candidate || candidate->index <= this->snapshot.index)
      return std::nullopt;
    const std::uint64_t position = candidate->index - this->snapshot.index - 1;
    const bool matches = position < this->terms.size() && this->terms[position] == candidate->term;
    return SnapshotMark{candidate->index, candidate->term, !matches};
  }

  void noteSnapshot(const SnapshotMark &mark) {
    const std::uint64_t covered = mark.index - this->snapshot.index;
    if (mark.resetLog)
      this->terms.clear();
    else
      this->terms.erase(this->terms.begin(),
                        this->terms.begin() + static_cast<std::ptrdiff_t>(covered));
    this->snapshot = mark;
  }

  void noteEntries(std::span<const StoredEntry> entries) {
    if (entries.empty())
      return;
    this->terms.resize(entries.front().index - this->snapshot.index - 1);
    for (const StoredEntry &entry : entries)
      this->terms.push_back(entry.term);
    SegmentInfo &segment = this->segments.back();
    segment.maxIndex = std::max(segment.maxIndex, entries.back().index);
  }

  base::Status write(const Batch &batch) {
    const std::optional<SnapshotMark> mark = this->markFor(batch.snapshot);
    const std::uint64_t covered = mark ? mark->index : this->snapshot.index;
    std::span<const StoredEntry> entries = batch.entries;
    while (!entries.empty() && entries.front().index <= covered)
      entries = entries.subspan(1);
    if (!batch.hardState && !mark && entries.empty())
      return std::monostate{};
    const std::uint64_t last = mark && mark->resetLog ? mark->index : this->lastIndex();
    assert(entries.empty() || entries.front().index <= last + 1);
    assert(!batch.hardState || batch.hardState->term >= this->hardState.term);
    static_cast<void>(last);

    // The snapshot first: a record must never name a snapshot that may not survive.
    if (mark) {
      if (base::Status status =
              writeSnapshot(this->environment.files, this->folder, *batch.snapshot);
          !status)
        return status;
    }
    if (this->fileBytes >= this->environment.segmentBytes) {
      if (base::Status status = this->startSegment(); !status)
        return status;
    }
    if (base::Status status = this->append(encodeRecord(batch.hardState, mark, entries)); !status)
      return status;
    this->hardState = batch.hardState.value_or(this->hardState);
    if (mark)
      this->noteSnapshot(*mark);
    this->noteEntries(entries);
    return std::monostate{};
  }

  /// Makes removals durable that are not yet.
  base::Status syncRemovals() {
    if (!this->hasUnsyncedRemoval)
      return std::monostate{};
    base::Status status = syncFolder(this->environment.files, this->folder);
    this->hasUnsyncedRemoval = !status;
    return status;
  }

  base::Status removeObsolete() {
    const FileOperations &files = this->environment.files;
    // Oldest first, each durable before the next: a crash in between leaves no gap.
    while (this->segments.size() > 1 && this->segments.front().maxIndex <= this->snapshot.index) {
      if (base::Status status = this->syncRemovals(); !status)
        return status;
      const std::string path = pathIn(this->folder, segmentName(this->segments.front().sequence));
      if (files.unlink(path.c_str()) != 0)
        return systemError(path, "removal");
      this->segments.erase(this->segments.begin());
      this->hasUnsyncedRemoval = true;
    }
    const base::Result<std::vector<std::string>> names = listFolder(this->folder);
    if (!names)
      return names.error();
    for (const std::string &name : names.value()) {
      const std::optional<std::uint64_t> index = snapshotIndex(name);
      if (!index || *index >= this->snapshot.index)
        continue;
      const std::string path = pathIn(this->folder, name);
      if (files.unlink(path.c_str()) != 0)
        return systemError(path, "removal");
      this->hasUnsyncedRemoval = true;
    }
    return this->syncRemovals();
  }

  Error failure() const {
    return Error{Errc::StorageFailure, this->folder,
                 "an earlier write failed; the state of the files is unknown"};
  }
};

base::Result<FolderIdentity> LogStore::create(const std::string &folder, std::uint32_t replica) {
  return LogStore::create(folder, replica, systemEnvironment());
}

base::Result<FolderIdentity> LogStore::create(const std::string &folder, std::uint32_t replica,
                                              const Environment &environment) {
  std::error_code code;
  std::filesystem::create_directories(folder, code);
  if (code)
    return Error{Errc::StorageFailure, folder, "creation failed: " + code.message()};
  const base::Result<Descriptor> lock = lockFolder(folder);
  if (!lock)
    return lock.error();
  const FileOperations &files = environment.files;
  const SegmentHeader header{SegmentVersion, FirstSequence, randomNumber()};
  const std::string segment = initialSegment(header, {}, {});
  if (const base::Status status = checkUnused(folder, segment.size()); !status)
    return status.error();
  // The identity last: a folder that has one is complete.
  const FolderIdentity identity{replica, randomToken()};
  if (const base::Status status = replaceFile(files, folder, segmentName(FirstSequence), segment);
      !status)
    return status.error();
  if (const base::Status status = writeIdentity(files, folder, identity); !status)
    return status.error();
  const std::filesystem::path parent = std::filesystem::absolute(folder, code).parent_path();
  if (const base::Status status = syncFolder(files, parent.string()); !status)
    return status.error();
  return identity;
}

base::Result<FolderIdentity> LogStore::identityOf(const std::string &folder) {
  return readIdentity(folder);
}

base::Result<LogStore> LogStore::open(const std::string &folder, RecoveredState &recovered) {
  return LogStore::open(folder, recovered, systemEnvironment());
}

base::Result<LogStore> LogStore::open(const std::string &folder, RecoveredState &recovered,
                                      const Environment &environment) {
  const base::Result<FolderIdentity> identity = readIdentity(folder);
  if (!identity)
    return identity.error();
  base::Result<Descriptor> lock = lockFolder(folder);
  if (!lock)
    return lock.error();
  removeTemporaryFiles(environment.files, folder);
  base::Result<FolderContents> read = readFolder(folder);
  if (!read)
    return read.error();
  FolderContents &contents = read.value();

  auto state = std::make_unique<State>();
  state->folder = folder;
  state->environment = environment;
  state->lock = std::move(lock.value());
  state->header = contents.newest;
  state->fileBytes = contents.newestValidBytes;
  state->segments = contents.segments;
  state->hardState = contents.replay.hardState;
  state->snapshot = contents.replay.snapshot;
  for (const StoredEntry &entry : contents.replay.entries)
    state->terms.push_back(entry.term);
  if (const base::Status status = state->settle(contents); !status)
    return status.error();

  recovered.identity = identity.value();
  recovered.hardState = state->hardState;
  recovered.snapshot = std::move(contents.snapshot);
  recovered.entries.assign(std::move_iterator(contents.replay.entries.begin()),
                           std::move_iterator(contents.replay.entries.end()));
  recovered.repairedBytes = contents.newestFileBytes - contents.newestValidBytes;
  return LogStore(std::move(state));
}

LogStore::LogStore(std::unique_ptr<State> opened) : state(std::move(opened)) {}
LogStore::LogStore(LogStore &&) noexcept = default;
LogStore &LogStore::operator=(LogStore &&) noexcept = default;
LogStore::~LogStore() = default;

base::Status LogStore::write(const Batch &batch) {
  if (this->state->failed)
    return this->state->failure();
  const std::string &folder = this->state->folder;
  if (encodedBytes(batch.entries) > MaxBatchBytes)
    return Error{Errc::TooLarge, folder,
                 "the entries of a batch have at most " + std::to_string(MaxBatchBytes) + " bytes"};
  if (batch.snapshot && batch.snapshot->data.size() > MaxSnapshotBytes)
    return Error{Errc::TooLarge, folder,
                 "a snapshot has at most " + std::to_string(MaxSnapshotBytes) + " bytes"};
  base::Status status = this->state->write(batch);
  this->state->failed = !status;
  return status;
}

base::Status LogStore::removeObsolete() {
  if (this->state->failed)
    return this->state->failure();
  return this->state->removeObsolete();
}

} // namespace banyanrill::storage
