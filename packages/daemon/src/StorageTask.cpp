#include "banyanrill/daemon/StorageTask.h"

#include "banyanrill/wire/Codec.h"

namespace banyanrill::daemon {

namespace {

/// A replica has one write outstanding; the others are its own snapshots.
constexpr std::size_t MailboxCapacity = 16;

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

base::Result<storage::LogStore> openDataFolder(const Config &config,
                                               consensus::StoredState &stored) {
  base::DaemonId replica = base::NoDaemon;
  base::Result<storage::LogStore> store = openDataFolder(config.dataFolder, stored, replica);
  if (!store && store.error().code == base::Errc::NotFound)
    return base::Error{base::Errc::NotFound, config.dataFolder,
                       "the data folder does not exist; use --initialize for a replica that never "
                       "ran, and never for one whose disk was lost"};
  if (store && replica != config.daemon)
    return base::Error{base::Errc::DataCorrupted, config.dataFolder,
                       "the folder belongs to daemon " + std::to_string(replica)};
  return store;
}

base::Result<storage::LogStore>
openDataFolder(const std::string &folder, consensus::StoredState &stored, base::DaemonId &replica) {
  storage::RecoveredState recovered;
  base::Result<storage::LogStore> store = storage::LogStore::open(folder, recovered);
  if (!store)
    return store;
  replica = recovered.identity.replica;
  if (recovered.repairedBytes > 0)
    base::logEvent(base::Event::LogTailRepaired,
                   {{"bytes", std::to_string(recovered.repairedBytes)}});
  stored.hardState = {recovered.hardState.term, recovered.hardState.votedFor};
  if (recovered.snapshot) {
    base::Result<consensus::Snapshot> snapshot = wire::decodeSnapshot(recovered.snapshot->data);
    if (!snapshot)
      return snapshot.error();
    stored.snapshot = std::move(snapshot.value());
  }
  for (storage::StoredEntry &entry : recovered.entries)
    stored.entries.push_back(fromStored(std::move(entry)));
  return store;
}

StorageTask::StorageTask(storage::LogStore logStore, std::function<void(CoreEvent)> reportTo)
    : store(std::move(logStore)), report(std::move(reportTo)), mailbox(MailboxCapacity),
      thread([this] { this->run(); }) {}

StorageTask::~StorageTask() {
  this->mailbox.post(std::nullopt);
  this->thread.join();
}

void StorageTask::post(StoreBatch batch) {
  if (!this->mailbox.post(std::move(batch)))
    this->report(StorageFailed{"the queue of writes is full"});
}

void StorageTask::run() {
  while (true) {
    for (std::optional<StoreBatch> &message :
         this->mailbox.receive(base::steadyNow() + std::chrono::seconds(1))) {
      if (!message || !this->write(std::move(*message)))
        return;
    }
  }
}

bool StorageTask::write(StoreBatch batch) {
  const StorageDone done{batch.index, batch.term};
  const bool confirm = batch.confirm;
  const bool hasSnapshot = batch.snapshot.has_value();
  base::Status status = this->store.write(toStorage(std::move(batch)));
  if (status && hasSnapshot)
    status = this->store.removeObsolete();
  if (!status) {
    this->report(StorageFailed{status.error().path + ": " + status.error().message});
    return false;
  }
  if (confirm)
    this->report(done);
  return true;
}

} // namespace banyanrill::daemon
