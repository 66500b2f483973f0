#include "banyanrill/daemon/StorageTask.h"

#include "banyanrill/base/EventLog.h"
#include "banyanrill/wire/Codec.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::daemon {

namespace {

/// A replica has one write outstanding; the others are its own snapshots.
constexpr std::size_t MailboxCapacity = 16;

/// Batches that wait for a slow disk before snapshots, which only shorten the log, are skipped.
constexpr std::size_t MaxWaitingSnapshots = 4;

/// Pauses between attempts to open a folder. A full disk often has room again after seconds; each
/// attempt reads the whole folder.
constexpr base::Duration MinRetryPause = std::chrono::milliseconds(100);
constexpr base::Duration MaxRetryPause = std::chrono::seconds(1);

storage::StoredEntry toStored(consensus::Entry entry) {
  return {entry.index, entry.term, static_cast<std::uint8_t>(entry.kind), std::move(entry.payload)};
}

consensus::Entry fromStored(storage::StoredEntry entry) {
  return {entry.index, entry.term, static_cast<consensus::EntryKind>(entry.kind),
          std::move(entry.payload)};
}

storage::Batch toStorage(StoreBatch batch) {
  storage::Batch stored;
  if (batch.hardState)
    stored.hardState = {batch.hardState->term, batch.hardState->votedFor};
  if (batch.snapshot)
    stored.snapshot = {batch.snapshot->index, batch.snapshot->term, wire::encode(*batch.snapshot)};
  for (consensus::Entry &entry : batch.entries)
    stored.entries.push_back(toStored(std::move(entry)));
  return stored;
}

} // namespace

base::Status initializeDataFolder(const Config &config) {
  const auto created = storage::LogStore::create(config.dataFolder, config.daemon);
  if (!created)
    return created.error();
  return std::monostate{};
}

base::Result<DataFolder> openDataFolder(const Config &config) {
  base::Result<DataFolder> folder = openDataFolder(config.dataFolder);
  if (!folder && folder.error().code == base::Errc::NotFound)
    return base::Error{base::Errc::NotFound, config.dataFolder,
                       "the data folder does not exist; use --initialize for a replica that never "
                       "ran, and never for one whose disk was lost"};
  if (folder && folder.value().replica != config.daemon)
    return base::Error{base::Errc::DataCorrupted, config.dataFolder,
                       "the folder belongs to daemon " + std::to_string(folder.value().replica)};
  return folder;
}

base::Result<DataFolder> openDataFolder(const std::string &folder) {
  storage::RecoveredState recovered;
  base::Result<storage::LogStore> store = storage::LogStore::open(folder, recovered);
  if (!store)
    return store.error();
  if (recovered.repairedBytes > 0)
    base::logEvent(base::Event::LogTailRepaired,
                   {{"bytes", std::to_string(recovered.repairedBytes)}});
  consensus::StoredState stored;
  stored.hardState = {recovered.hardState.term, recovered.hardState.votedFor};
  if (recovered.snapshot) {
    base::Result<consensus::Snapshot> snapshot = wire::decodeSnapshot(recovered.snapshot->data);
    if (!snapshot)
      return snapshot.error();
    stored.snapshot = std::move(snapshot.value());
  }
  for (storage::StoredEntry &entry : recovered.entries)
    stored.entries.push_back(fromStored(std::move(entry)));
  return DataFolder{std::move(store.value()), std::move(stored), recovered.identity.replica};
}

StorageTask::StorageTask(std::optional<storage::LogStore> logStore, FolderOpener opener,
                         std::function<void(CoreEvent)> reportTo)
    : store(std::move(logStore)), open(std::move(opener)), report(std::move(reportTo)),
      opening(this->store ? FirstOpening : FirstOpening - 1), nextTry(base::steadyNow()),
      retryPause(MinRetryPause), mailbox(MailboxCapacity), thread([this] { this->run(); }) {}

StorageTask::~StorageTask() {
  this->stopping = true;
  // Wakes the thread; if the mailbox is full, the thread is awake.
  this->mailbox.post(std::nullopt);
  this->thread.join();
}

void StorageTask::post(StoreBatch batch) {
  if (!batch.confirm && this->waiting >= MaxWaitingSnapshots) {
    base::logEvent(base::Event::SnapshotSkipped, {});
    return;
  }
  ++this->waiting;
  const bool accepted = this->mailbox.post(std::move(batch));
  assert(accepted && "a replica has one confirmed write outstanding");
  static_cast<void>(accepted);
}

void StorageTask::run() {
  while (true) {
    const bool isLast = this->stopping;
    const base::TimePoint now = base::steadyNow();
    const base::TimePoint deadline =
        isLast ? now : (this->store ? now + std::chrono::seconds(1) : this->nextTry);
    for (std::optional<StoreBatch> &message : this->mailbox.receive(deadline)) {
      if (!message)
        continue;
      this->write(std::move(*message));
      --this->waiting;
    }
    if (isLast)
      return;
    if (!this->store && base::steadyNow() >= this->nextTry)
      this->reopen();
  }
}

void StorageTask::write(StoreBatch batch) {
  // A batch of an earlier opening builds on state that may not be there.
  if (!this->store || batch.opening != this->opening)
    return;
  const StorageDone done{batch.index, batch.term, batch.opening};
  const bool confirm = batch.confirm;
  const bool hasSnapshot = batch.snapshot.has_value();
  const base::Status status = this->store->write(toStorage(std::move(batch)));
  if (!status) {
    this->store.reset();
    this->retryPause = MinRetryPause;
    this->nextTry = base::steadyNow() + this->retryPause;
    this->fail(status.error());
    return;
  }
  if (confirm)
    this->report(done);
  if (!hasSnapshot)
    return;
  if (const base::Status removed = this->store->removeObsolete(); !removed)
    base::logEvent(base::Event::RemovalFailed,
                   {{"path", removed.error().path}, {"message", removed.error().message}});
}

void StorageTask::fail(const base::Error &error) {
  if (this->reported == error.code)
    return;
  this->reported = error.code;
  this->report(StorageFailed{error.path + ": " + error.message});
}

void StorageTask::reopen() {
  base::Result<DataFolder> folder = this->open();
  if (!folder) {
    this->retryPause = std::min(2 * this->retryPause, MaxRetryPause);
    this->nextTry = base::steadyNow() + this->retryPause;
    this->fail(folder.error());
    return;
  }
  this->store = std::move(folder.value().store);
  this->reported.reset();
  ++this->opening;
  this->report(StorageOpened{this->opening, std::move(folder.value().stored)});
}

} // namespace banyanrill::daemon
