// Durable form of a replica's state: a write-ahead log with checksums and a snapshot file.
#pragma once

#include "banyanrill/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::storage {

struct Environment;

/// Bound of the encoded entries of a batch, and of the data of a snapshot.
inline constexpr std::size_t MaxBatchBytes = std::size_t{64} << 20U;
inline constexpr std::size_t MaxSnapshotBytes = std::size_t{64} << 20U;

/// One log entry as stored. `kind` and `payload` are opaque here.
struct StoredEntry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint8_t kind = 0;
  std::string payload;

  bool operator==(const StoredEntry &) const = default;
};

struct StoredHardState {
  std::uint64_t term = 0;
  std::uint32_t votedFor = 0;

  bool operator==(const StoredHardState &) const = default;
};

/// State of the machine at `index`; `data` is opaque.
struct StoredSnapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::string data;

  bool operator==(const StoredSnapshot &) const = default;
};

/// Random identity of one data folder. A replica whose folder is lost gets a new one, so that it
/// cannot vote under its old identity.
struct FolderIdentity {
  std::uint32_t replica = 0;
  std::string token; ///< 32 hexadecimal digits.

  bool operator==(const FolderIdentity &) const = default;
};

/// Everything found when the folder was opened.
struct RecoveredState {
  FolderIdentity identity;
  StoredHardState hardState;
  std::optional<StoredSnapshot> snapshot;
  std::vector<StoredEntry> entries; ///< Contiguous, following the snapshot.
  std::uint64_t repairedBytes = 0;  ///< Length of an incomplete record cut off the tail.
};

/// Changes to make durable together: hard state and entries all or not at all; the snapshot may
/// become durable without them if the process ends in between.
struct Batch {
  std::optional<StoredHardState> hardState;
  /// Replaces the entries up to its index. Entries after it are kept if the stored entry at its
  /// index has its term. Ignored if a snapshot of that or a higher index is stored.
  std::optional<StoredSnapshot> snapshot;
  /// Contiguous. The first index may replace a stored suffix; it must not leave a gap. Entries that
  /// the snapshot covers are skipped.
  std::vector<StoredEntry> entries;
};

/// Owner of one data folder. Not thread-safe: owned by the storage task.
class LogStore {
public:
  /// Creates an empty folder for a new replica. Errors: StorageFailure; LimitReached if the folder
  /// already holds a replica.
  static base::Result<FolderIdentity> create(const std::string &folder, std::uint32_t replica);

  /// As above, with other file operations (see src/Environment.h).
  static base::Result<FolderIdentity> create(const std::string &folder, std::uint32_t replica,
                                             const Environment &environment);

  /// Reads whose folder it is, without a lock. Thread-safe. Errors: NotFound, DataCorrupted,
  /// StorageFailure.
  static base::Result<FolderIdentity> identityOf(const std::string &folder);

  /// Opens a folder and recovers its state. An incomplete record at the tail of the newest segment
  /// is cut off; damage anywhere else is DataCorrupted with file, offset and what to do. What was
  /// written last is written again, so that all of the recovered state is durable.
  /// Takes an exclusive lock on the folder. Errors: NotFound, DataCorrupted, StorageFailure.
  static base::Result<LogStore> open(const std::string &folder, RecoveredState &recovered);

  /// As above, with other file operations or segment size (see src/Environment.h).
  static base::Result<LogStore> open(const std::string &folder, RecoveredState &recovered,
                                     const Environment &environment);

  LogStore(LogStore &&) noexcept;
  LogStore &operator=(LogStore &&) noexcept;
  ~LogStore();

  /// Writes and syncs. After an error nothing more may be written: the state of the file is unknown
  /// until it is opened again, and every later call fails as well. Errors: StorageFailure; TooLarge
  /// for a batch beyond the bounds, which is not written and lets later calls succeed.
  base::Status write(const Batch &batch);

  /// Removes segments and snapshots that a durable snapshot makes unnecessary. Errors:
  /// StorageFailure; after a failed removal, writes go on, and the next call removes the rest.
  base::Status removeObsolete();

private:
  struct State;
  explicit LogStore(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::storage
