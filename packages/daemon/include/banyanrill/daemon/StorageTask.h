// The task that owns a replica's data folder, so that the core never waits for a disk.
#pragma once

#include "banyanrill/base/Mailbox.h"
#include "banyanrill/daemon/Action.h"
#include "banyanrill/storage/LogStore.h"

#include <functional>
#include <thread>

namespace banyanrill::daemon {

/// Creates the data folder of a new replica. Only an operator does this: a replica whose disk is
/// lost must not start again with an empty folder, because it would vote a second time in the same
/// term. Errors: those of `storage::LogStore::create`.
base::Status initializeDataFolder(const Config &config);

/// Opens the folder and reads what a replica needs to start. Errors: those of `storage::LogStore`;
/// NotFound says how to create a folder; DataCorrupted if it belongs to another daemon.
base::Result<storage::LogStore> openDataFolder(const Config &config,
                                               consensus::StoredState &stored);

/// As above, for a folder whose replica is not known beforehand; `replica` is set to it.
base::Result<storage::LogStore>
openDataFolder(const std::string &folder, consensus::StoredState &stored, base::DaemonId &replica);

/// Owns the folder and a thread. `post` is thread-safe.
class StorageTask {
public:
  /// \param report called on the task's thread with `StorageDone` or `StorageFailed`.
  StorageTask(storage::LogStore store, std::function<void(CoreEvent)> report);

  /// Writes what was posted, then ends the thread.
  ~StorageTask();

  void post(StoreBatch batch);

private:
  void run();
  bool write(StoreBatch batch);

  storage::LogStore store;
  std::function<void(CoreEvent)> report;
  base::Mailbox<std::optional<StoreBatch>> mailbox;
  std::thread thread;
};

} // namespace banyanrill::daemon
