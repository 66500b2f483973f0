// The task that owns a replica's data folder, so that the core never waits for a disk.
#pragma once

#include "banyanrill/base/Mailbox.h"
#include "banyanrill/daemon/Action.h"
#include "banyanrill/storage/LogStore.h"

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace banyanrill::daemon {

/// Creates the data folder of a new replica. Only an operator does this: a replica whose disk is
/// lost must not start again with an empty folder, because it would vote a second time in the same
/// term. Errors: those of `storage::LogStore::create`.
base::Status initializeDataFolder(const Config &config);

/// A folder that is open, and what a replica needs to start from it.
struct DataFolder {
  storage::LogStore store;
  consensus::StoredState stored;
  base::DaemonId replica = base::NoDaemon;
};

/// Errors: those of `storage::LogStore`; NotFound says how to create a folder; DataCorrupted if it
/// belongs to another daemon.
base::Result<DataFolder> openDataFolder(const Config &config);

/// As above, for a folder whose replica is not known beforehand.
base::Result<DataFolder> openDataFolder(const std::string &folder);

/// Opens the folder of a task. Called on the task's thread.
using FolderOpener = std::function<base::Result<DataFolder>()>;

/// Owns the folder and a thread. After a failed write the folder is closed, reported as failed, and
/// opened again until that succeeds, which is the same as a restart of the process: the state of
/// the files is unknown until they have been read again. `post` is thread-safe.
class StorageTask {
public:
  /// \param store the folder, if it is open already (the first opening).
  /// \param open opens it again.
  /// \param report called on the task's thread with `StorageDone`, `StorageFailed` or
  /// `StorageOpened`.
  StorageTask(std::optional<storage::LogStore> store, FolderOpener open,
              std::function<void(CoreEvent)> report);

  /// Writes what was posted, then ends the thread.
  ~StorageTask();

  /// Precondition: the last batch with `confirm` of the same opening has been reported as done.
  void post(StoreBatch batch);

private:
  void run();
  void write(StoreBatch batch);
  void fail(const base::Error &error);
  void reopen();

  std::optional<storage::LogStore> store; ///< Empty while the folder refuses writes.
  FolderOpener open;
  std::function<void(CoreEvent)> report;
  std::uint64_t opening = FirstOpening;    ///< The current one, or the last.
  std::optional<std::error_code> reported; ///< Of the last failure; empty while the folder is open.
  base::TimePoint nextTry;
  base::Duration retryPause;
  std::atomic<std::size_t> waiting = 0; ///< Batches that were posted and not handled yet.
  std::atomic<bool> stopping = false;
  base::Mailbox<std::optional<StoreBatch>> mailbox;
  std::thread thread;
};

} // namespace banyanrill::daemon
