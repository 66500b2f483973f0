#include "Group.h"

#include "ReplicaTiming.h"
#include "banyanrill/base/EventLog.h"
#include "banyanrill/wire/PeerCodec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace banyanrill::node {

namespace {

/// A node whose disk has refused writes for this long says that it has none, so that another takes
/// its place in the group; as long as the silence after which the leader replaces a voter.
constexpr base::Duration DiskLossTimeout = std::chrono::milliseconds(1600);

constexpr std::size_t MaxCommandsPerEntry = 256;

/// A larger entry holds a single command.
constexpr std::size_t MaxSharedEntryBytes = std::size_t{1024} * 1024;

/// Uncommitted entries in flight; further proposals wait and share the next entry.
constexpr std::size_t MaxEntriesInFlight = 4;

/// Only this program writes log entries. Skipping an unreadable one and applying later entries
/// would make this replica diverge from the others.
[[noreturn]] void abortOnUnreadableEntry(const base::Error &error) {
  std::fprintf(stderr, "log entry cannot be read: %s\n", error.message.c_str());
  std::abort();
}

base::Result<daemon::DataFolder> openOrCreate(const std::string &folder, base::DaemonId id) {
  base::Result<daemon::DataFolder> opened = daemon::openDataFolder(folder);
  if (!opened && opened.error().code == base::Errc::NotFound) {
    const auto created = storage::LogStore::create(folder, id);
    if (!created)
      return created.error();
    opened = daemon::openDataFolder(folder);
  }
  if (opened && opened.value().replica != id)
    return base::Error{base::Errc::DataCorrupted, folder, "the folder belongs to another replica"};
  return opened;
}

} // namespace

base::Result<std::unique_ptr<Group>> Group::open(const std::string &folder,
                                                 base::RandomSource random, GroupHandlers handlers,
                                                 base::TimePoint now) {
  std::unique_ptr<Group> group(new Group(random, std::move(handlers)));
  const std::string replicaFolder = folder + "/replica";
  const base::Result<storage::FolderIdentity> identity =
      storage::LogStore::identityOf(replicaFolder);
  if (!identity && identity.error().code != base::Errc::NotFound)
    return identity.error();
  // A new folder gets a new id, so a daemon that lost its disk cannot vote twice in a term.
  group->isCreated = identity.ok();
  group->id =
      identity ? identity.value().replica : static_cast<base::DaemonId>(group->random.next() | 1U);
  const daemon::FolderOpener opener = [replicaFolder, id = group->id] {
    return openOrCreate(replicaFolder, id);
  };
  base::Result<daemon::DataFolder> opened = opener();
  if (!opened && opened.error().code != base::Errc::StorageFailure)
    return opened.error();
  std::optional<storage::LogStore> store;
  if (opened) {
    store = std::move(opened.value().store);
    group->onOpened(daemon::FirstOpening, std::move(opened.value().stored), now);
  } else {
    group->closedSince = now;
  }
  Group *owner = group.get();
  group->storage = std::make_unique<daemon::StorageTask>(
      std::move(store), opener, [owner](daemon::CoreEvent event) {
        owner->handlers.runLater(
            [owner, event = std::move(event)]() mutable { owner->onStorage(std::move(event)); });
      });
  return group;
}

bool Group::offersDisk(base::TimePoint now) const {
  return this->isCreated && (!this->closedSince || now - *this->closedSince < DiskLossTimeout);
}

void Group::found(const std::vector<base::DaemonId> &voters,
                  const std::map<std::uint32_t, jobs::Member> &members, base::TimePoint now) {
  // All founders start from the same snapshot, so the first membership needs no log entry.
  consensus::Snapshot first;
  first.index = 1;
  first.term = 1;
  first.membership.voters = voters;
  jobs::TableState state;
  state.members = members;
  first.data = wire::encode(state);
  consensus::StoredState initial;
  initial.hardState.term = 1;
  initial.snapshot = std::move(first);
  this->founding = std::move(initial);
  this->startFounding(now);
}

void Group::startFounding(base::TimePoint now) {
  daemon::StoreBatch batch;
  batch.hardState = this->founding->hardState;
  batch.snapshot = this->founding->snapshot;
  batch.opening = this->opening;
  this->storage->post(std::move(batch));
  this->start(*this->founding, now);
}

void Group::join(base::TimePoint now) {
  this->hasJoined = true;
  this->start({}, now);
}

void Group::start(consensus::StoredState stored, base::TimePoint now) {
  this->blank = false;
  // The table never goes back: all that was applied is committed.
  if (stored.snapshot && stored.snapshot->index > this->applied)
    this->load(*stored.snapshot);
  this->sinceSnapshot = {0, 0, stored.snapshot ? stored.snapshot->data.size() : 0};
  this->barrierTerm = 0;
  this->readyTerm = 0;
  const consensus::HardState hardState = stored.hardState;
  const consensus::Index snapshotIndex = stored.snapshot ? stored.snapshot->index : 0;
  this->replica = std::make_unique<consensus::Replica>(
      replicaOptions(this->id), consensus::Membership(), std::move(stored),
      base::RandomSource(this->random.next()), now);
  base::logEvent(base::Event::ReplicaStarted,
                 {{"replica", std::to_string(this->id)},
                  {"term", std::to_string(hardState.term)},
                  {"voted_for", std::to_string(hardState.votedFor)},
                  {"snapshot", std::to_string(snapshotIndex)},
                  {"last_index", std::to_string(this->replica->lastIndex())}});
  this->logMembership();
}

void Group::logMembership() {
  const consensus::Membership &membership = this->replica->membership();
  if (membership == this->loggedMembership)
    return;
  this->loggedMembership = membership;
  base::logEvent(base::Event::MembershipInForce,
                 {{"voters", base::joined(membership.voters)},
                  {"learners", base::joined(membership.learners)},
                  {"last_index", std::to_string(this->replica->lastIndex())},
                  {"commit_index", std::to_string(this->replica->commitIndex())},
                  {"term", std::to_string(this->replica->term())}});
}

void Group::load(const consensus::Snapshot &snapshot) {
  base::Result<jobs::TableState> state = wire::decodeTableState(snapshot.data);
  if (!state)
    abortOnUnreadableEntry(state.error());
  this->jobTable = jobs::Table(std::move(state.value()));
  this->applied = snapshot.index;
  this->appliedTerm = snapshot.term;
  this->sinceSnapshot = {0, 0, snapshot.data.size()};
}

void Group::step(const consensus::Message &message, base::TimePoint now) {
  if (this->replica != nullptr)
    this->replica->step(message, now);
}

void Group::onUndelivered(base::DaemonId peer) {
  if (this->replica != nullptr)
    this->replica->onUndelivered(peer);
}

void Group::tick(base::TimePoint now) {
  if (this->replica != nullptr)
    this->replica->tick(now);
}

bool Group::isLeader() const {
  return this->replica != nullptr && this->replica->role() == consensus::Role::Leader &&
         this->readyTerm == this->replica->term();
}

base::DaemonId Group::leader() const {
  return this->replica == nullptr ? base::NoDaemon : this->replica->leader();
}

consensus::Term Group::term() const { return this->replica == nullptr ? 0 : this->replica->term(); }

consensus::Membership Group::membership() const {
  return this->replica == nullptr ? consensus::Membership() : this->replica->membership();
}

std::vector<base::DaemonId> Group::caughtUpLearners() const {
  return this->replica == nullptr ? std::vector<base::DaemonId>()
                                  : this->replica->caughtUpLearners();
}

std::vector<consensus::PeerProgress> Group::laggingPeers() const {
  return this->replica == nullptr ? std::vector<consensus::PeerProgress>()
                                  : this->replica->laggingPeers();
}

consensus::Index Group::lastIndex() const {
  return this->replica == nullptr ? 0 : this->replica->lastIndex();
}

void Group::propose(jobs::Command command, ProposalCallback decided) {
  this->proposals.push_back({std::move(command), std::move(decided)});
  this->handlers.wake();
}

consensus::ProposeResult Group::proposeMembership(const consensus::Membership &membership,
                                                  base::TimePoint now) {
  this->handlers.wake();
  return this->replica->proposeMembership(membership, now);
}

void Group::confirmLeadership(ConfirmationCallback confirmed, base::TimePoint now) {
  const std::uint64_t context = ++this->lastRead;
  if (!this->isLeader() || !this->replica->requestRead(context, now)) {
    confirmed(false);
    return;
  }
  this->reads.emplace(context, std::move(confirmed));
  this->handlers.wake();
}

void Group::transferLeadership(base::TimePoint now) {
  if (this->replica != nullptr)
    this->replica->transferLeadership(now);
}

void Group::work(base::TimePoint now, std::int64_t wallClockMs) {
  if (this->replica == nullptr) {
    this->refuseProposals();
    return;
  }
  do {
    const bool stillLeads = this->replica->role() == consensus::Role::Leader &&
                            (!this->isLeading || this->replica->term() == this->readyTerm);
    if (!stillLeads && (this->isLeading || !this->appended.empty()))
      this->loseLeadership();
    this->appendProposals(wallClockMs, now);
  } while (this->takeOutput(now));
}

void Group::appendProposals(std::int64_t wallClockMs, base::TimePoint now) {
  if (this->replica->role() != consensus::Role::Leader) {
    this->refuseProposals();
    return;
  }
  consensus::Index index = 0;
  consensus::Term term = 0;
  if (this->barrierTerm != this->replica->term()) {
    if (this->replica->propose(wire::encode(jobs::CommandBatch{wallClockMs, {}}), now, index,
                               term) == consensus::ProposeResult::Accepted)
      this->barrierTerm = term;
    return;
  }
  while (!this->proposals.empty() && this->appended.size() < MaxEntriesInFlight) {
    std::size_t count = std::min(this->proposals.size(), MaxCommandsPerEntry);
    std::string payload = this->encodeProposals(count, wallClockMs);
    while (payload.size() > MaxSharedEntryBytes && count > 1) {
      count /= 2;
      payload = this->encodeProposals(count, wallClockMs);
    }
    if (this->replica->propose(std::move(payload), now, index, term) !=
        consensus::ProposeResult::Accepted)
      return;
    Appended entry;
    entry.term = term;
    for (std::size_t i = 0; i < count; ++i)
      entry.decided.push_back(std::move(this->proposals[i].decided));
    this->proposals.erase(this->proposals.begin(),
                          this->proposals.begin() + static_cast<std::ptrdiff_t>(count));
    this->appended[index] = std::move(entry);
  }
}

std::string Group::encodeProposals(std::size_t count, std::int64_t wallClockMs) const {
  jobs::CommandBatch batch;
  batch.logTimeMs = wallClockMs;
  for (std::size_t i = 0; i < count; ++i)
    batch.commands.push_back(this->proposals[i].command);
  return wire::encode(batch);
}

void Group::refuseProposals() {
  const std::deque<Proposal> refused = std::exchange(this->proposals, {});
  for (const Proposal &proposal : refused) {
    if (proposal.decided)
      proposal.decided(ProposalOutcome::NotInLog);
  }
}

bool Group::takeOutput(base::TimePoint now) {
  consensus::Output output = this->replica->takeOutput();
  this->logMembership();
  for (const consensus::Message &message : output.messages)
    this->handlers.send(message);
  if (output.snapshot && output.snapshot->index > this->applied)
    this->load(*output.snapshot);
  if (output.mustStore()) {
    daemon::StoreBatch batch;
    batch.index = output.storedIndex;
    batch.term = output.storedTerm;
    batch.confirm = true;
    batch.opening = this->opening;
    batch.hardState = output.hardState;
    batch.snapshot = std::move(output.snapshot);
    batch.entries = std::move(output.entries);
    this->storage->post(std::move(batch));
  }
  for (const consensus::Entry &entry : output.committed)
    this->apply(entry);
  for (const consensus::ReadReady &read : output.reads) {
    const auto found = this->reads.find(read.context);
    if (found == this->reads.end())
      continue;
    const ConfirmationCallback confirmed = std::move(found->second);
    this->reads.erase(found);
    confirmed(this->applied >= read.index);
  }
  // After a reopening, the log follows again from behind the table.
  if (isSnapshotDue(this->sinceSnapshot) && this->replica->commitIndex() >= this->applied)
    this->takeSnapshot();
  if (this->replica->role() == consensus::Role::Leader &&
      this->barrierTerm != this->replica->term())
    this->appendProposals(0, now);
  return !output.committed.empty();
}

void Group::apply(const consensus::Entry &entry) {
  ++this->sinceSnapshot.entries;
  this->sinceSnapshot.bytes += entry.payload.size();
  if (entry.index <= this->applied)
    return; // Applied before the data folder was opened again.
  this->applied = entry.index;
  this->appliedTerm = entry.term;
  if (entry.kind != consensus::EntryKind::Command)
    return;
  const base::Result<jobs::CommandBatch> batch = wire::decodeCommandBatch(entry.payload);
  if (!batch)
    abortOnUnreadableEntry(batch.error());
  const std::uint64_t formerVersion = this->configurationVersion();
  const jobs::Effect effect = this->jobTable.apply(batch.value());
  if (this->configurationVersion() != formerVersion)
    base::logEvent(base::Event::ConfigurationInForce,
                   {{"version", std::to_string(this->configurationVersion())},
                    {"queues", std::to_string(this->jobTable.state().configuration->queues.size())},
                    {"index", std::to_string(entry.index)},
                    {"term", std::to_string(entry.term)}});
  if (this->isLeading)
    this->handlers.applied(batch.value(), effect);
  if (entry.term == this->barrierTerm && this->readyTerm != entry.term &&
      this->replica->role() == consensus::Role::Leader && this->replica->term() == entry.term) {
    this->readyTerm = entry.term;
    this->isLeading = true;
    this->handlers.becameLeader();
  }
  const auto own = this->appended.find(entry.index);
  if (own == this->appended.end())
    return;
  const Appended mine = std::move(own->second);
  this->appended.erase(own);
  for (const ProposalCallback &decided : mine.decided) {
    if (decided)
      decided(mine.term == entry.term ? ProposalOutcome::Applied : ProposalOutcome::NotInLog);
  }
}

std::uint64_t Group::configurationVersion() const {
  const std::optional<jobs::Configuration> &configuration = this->jobTable.state().configuration;
  return configuration ? configuration->version : 0;
}

void Group::loseLeadership() {
  if (std::exchange(this->isLeading, false))
    this->handlers.lostLeadership();
  const std::map<consensus::Index, Appended> open = std::exchange(this->appended, {});
  for (const auto &[index, entry] : open) {
    for (const ProposalCallback &decided : entry.decided) {
      if (decided)
        decided(ProposalOutcome::InDoubt);
    }
  }
  const std::map<std::uint64_t, ConfirmationCallback> unconfirmed = std::exchange(this->reads, {});
  for (const auto &[context, confirmed] : unconfirmed)
    confirmed(false);
}

void Group::takeSnapshot() {
  consensus::Snapshot snapshot{this->applied, this->appliedTerm,
                               this->replica->membershipAt(this->applied),
                               wire::encode(this->jobTable.state())};
  base::logEvent(base::Event::SnapshotTaken,
                 {{"index", std::to_string(this->applied)},
                  {"entries", std::to_string(this->sinceSnapshot.entries)},
                  {"log_bytes", std::to_string(this->sinceSnapshot.bytes)},
                  {"bytes", std::to_string(snapshot.data.size())}});
  ++this->snapshots;
  this->sinceSnapshot = {0, 0, snapshot.data.size()};
  daemon::StoreBatch batch;
  batch.snapshot = snapshot;
  batch.opening = this->opening;
  this->storage->post(std::move(batch));
  this->replica->compact(std::move(snapshot));
}

void Group::onStorage(daemon::CoreEvent event) {
  const base::TimePoint now = base::steadyNow();
  if (const auto *done = std::get_if<daemon::StorageDone>(&event)) {
    if (done->opening != this->opening)
      return;
    this->founding.reset(); // Stored before what was confirmed now.
    this->replica->onStored(done->index, done->term, now);
  } else if (const auto *failure = std::get_if<daemon::StorageFailed>(&event)) {
    this->stepAside(failure->reason, now);
  } else if (auto *opened = std::get_if<daemon::StorageOpened>(&event)) {
    this->onOpened(opened->opening, std::move(opened->stored), now);
    if (this->handlers.reopened)
      this->handlers.reopened();
  }
  this->handlers.wake();
}

void Group::stepAside(const std::string &reason, base::TimePoint now) {
  base::logEvent(base::Event::StorageFailed, {{"message", reason}});
  ++this->failures;
  this->opening = 0;
  this->blank = false;
  if (!this->closedSince)
    this->closedSince = now;
  this->loseLeadership();
  this->refuseProposals();
  this->replica.reset();
}

void Group::onOpened(std::uint64_t folderOpening, consensus::StoredState stored,
                     base::TimePoint now) {
  this->opening = folderOpening;
  this->isCreated = true;
  if (this->closedSince) {
    const auto closed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->closedSince);
    base::logEvent(base::Event::StorageReopened, {{"after_ms", std::to_string(closed.count())}});
    this->closedSince.reset();
  }
  if (stored.snapshot || !stored.entries.empty() || stored.hardState != consensus::HardState()) {
    this->start(std::move(stored), now);
  } else if (this->founding) {
    // Nothing was stored, so nothing was promised: the founder starts as the others did.
    this->startFounding(now);
  } else if (this->hasJoined) {
    this->start({}, now);
  } else {
    this->blank = true;
  }
}

} // namespace banyanrill::node
