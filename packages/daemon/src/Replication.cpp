#include "banyanrill/daemon/Replication.h"

#include "banyanrill/wire/Codec.h"

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <cstdlib>

namespace banyanrill::daemon {

namespace {

/// Bounds the log to replay at a restart and the memory it takes.
constexpr consensus::Index SnapshotInterval = 4096;

/// Commands waiting for an append; more are answered Busy, and the sender tries again.
constexpr std::size_t MaxQueued = 8192;

/// Keeps an entry well below the size of one append message.
constexpr std::size_t MaxCommandsPerEntry = 128;

consensus::Membership initialMembership(const Config &config) {
  consensus::Membership membership;
  for (const Peer &peer : config.peers) {
    if (peer.replica)
      membership.voters.push_back(peer.daemon);
  }
  return membership;
}

consensus::ReplicaOptions optionsFor(const Config &config) {
  consensus::ReplicaOptions options;
  options.self = config.daemon;
  return options;
}

/// Log entries are written by this program only; one that cannot be read is a fault of the program
/// or of the disk that checksums missed, and applying anything after it would diverge.
[[noreturn]] void failOnEntry(const base::Error &error) {
  std::fprintf(stderr, "log entry cannot be read: %s\n", error.message.c_str());
  std::abort();
}

} // namespace

Replication::Replication(Context &sharedContext, consensus::StoredState stored)
    : context(sharedContext),
      log(optionsFor(sharedContext.config), initialMembership(sharedContext.config),
          std::move(stored), base::RandomSource(sharedContext.random.next()), sharedContext.now) {}

base::Status Replication::load(const consensus::StoredState &stored) {
  if (!stored.snapshot)
    return std::monostate{};
  this->applied = stored.snapshot->index;
  this->appliedTerm = stored.snapshot->term;
  this->snapshotIndex = stored.snapshot->index;
  return this->controlState.load(stored.snapshot->data);
}

void Replication::setAppliedHandler(AppliedHandler handler) {
  this->onApplied = std::move(handler);
}

void Replication::onMessage(const consensus::Message &message) {
  if (this->halted)
    return;
  this->log.step(message, this->context.now);
  this->drainOutput();
}

void Replication::onPropose(base::DaemonId from, wire::Propose propose) {
  wire::ProposeResult refused{propose.proposal, wire::ProposalState::NotLeader, this->leader(), {}};
  if (!this->leads()) {
    this->context.send(from, refused);
    return;
  }
  if (this->queue.size() >= MaxQueued) {
    refused.state = wire::ProposalState::Busy;
    this->context.send(from, refused);
    return;
  }
  this->queue.push_back({std::move(propose.command), {from, propose.proposal}});
}

void Replication::onStored(const StorageDone &done) {
  if (this->halted || done.opening != this->opening)
    return;
  this->log.onStored(done.index, done.term, this->context.now);
  this->drainOutput();
}

void Replication::halt() {
  this->halted = true;
  this->answerLost();
}

void Replication::resume(std::uint64_t folderOpening, consensus::StoredState stored) {
  assert(this->halted);
  if (stored.snapshot && stored.snapshot->index > this->applied) {
    if (const base::Status status = this->load(stored); !status)
      failOnEntry(status.error());
  }
  this->snapshotIndex = stored.snapshot ? stored.snapshot->index : 0;
  this->log = consensus::Replica(
      optionsFor(this->context.config), initialMembership(this->context.config), std::move(stored),
      base::RandomSource(this->context.random.next()), this->context.now);
  this->opening = folderOpening;
  this->barrierTerm = 0;
  this->readyTerm = 0;
  this->halted = false;
}

void Replication::submit(control::Command command) {
  if (this->leads())
    this->queue.push_back({std::move(command), {}});
}

void Replication::tick() {
  if (this->halted)
    return;
  this->log.tick(this->context.now);
  this->drainOutput();
  this->appendQueued();
}

void Replication::transferLeadership() {
  if (this->halted)
    return;
  this->log.transferLeadership(this->context.now);
  this->drainOutput();
}

bool Replication::leads() const {
  return !this->halted && this->log.role() == consensus::Role::Leader &&
         this->readyTerm == this->log.term();
}

base::DaemonId Replication::leader() const {
  return this->halted ? base::NoDaemon : this->log.leader();
}

void Replication::appendQueued() {
  if (this->log.role() != consensus::Role::Leader) {
    this->answerLost();
    return;
  }
  if (this->barrierTerm != this->log.term()) {
    // An empty batch marks the point from which this leader knows all that was committed before.
    consensus::Index index = 0;
    consensus::Term term = 0;
    const std::string payload = wire::encode(control::Batch{this->context.wallClockMs, {}});
    if (this->log.propose(payload, this->context.now, index, term) ==
        consensus::ProposeResult::Accepted)
      this->barrierTerm = term;
    this->drainOutput();
    return;
  }
  while (!this->queue.empty()) {
    control::Batch batch;
    batch.logTimeMs = this->context.wallClockMs;
    std::vector<Origin> origins;
    const std::size_t count = std::min(this->queue.size(), MaxCommandsPerEntry);
    for (std::size_t i = 0; i < count; ++i) {
      batch.commands.push_back(this->queue[i].command);
      origins.push_back(this->queue[i].origin);
    }
    consensus::Index index = 0;
    consensus::Term term = 0;
    const consensus::ProposeResult result =
        this->log.propose(wire::encode(batch), this->context.now, index, term);
    if (result != consensus::ProposeResult::Accepted)
      return;
    this->queue.erase(this->queue.begin(), this->queue.begin() + static_cast<long>(count));
    this->appended[index] = {term, std::move(origins)};
    this->drainOutput();
  }
}

void Replication::drainOutput() {
  consensus::Output output = this->log.takeOutput();
  for (consensus::Message &message : output.messages) {
    const base::DaemonId to = message.to;
    this->context.send(to, std::move(message));
  }
  if (output.mustStore()) {
    StoreBatch store;
    store.index = output.storedIndex;
    store.term = output.storedTerm;
    store.confirm = true;
    store.opening = this->opening;
    store.hardState = output.hardState;
    store.snapshot = output.snapshot;
    store.entries = std::move(output.entries);
    this->context.actions.emplace_back(std::move(store));
  }
  if (output.snapshot && output.snapshot->index > this->applied) {
    if (const base::Status status = this->controlState.load(output.snapshot->data); !status)
      failOnEntry(status.error());
    this->applied = output.snapshot->index;
    this->appliedTerm = output.snapshot->term;
    this->snapshotIndex = output.snapshot->index;
  }
  for (const consensus::Entry &entry : output.committed)
    this->apply(entry);
  // After a reopening, the log follows again from behind the state.
  if (this->applied - this->snapshotIndex >= SnapshotInterval &&
      this->log.commitIndex() >= this->applied)
    this->takeSnapshot();
}

void Replication::apply(const consensus::Entry &entry) {
  if (entry.index <= this->applied)
    return; // Applied before the data folder was opened again.
  assert(entry.index == this->applied + 1);
  this->applied = entry.index;
  this->appliedTerm = entry.term;
  if (entry.kind != consensus::EntryKind::Command)
    return;
  const base::Result<control::Batch> batch = wire::decodeBatch(entry.payload);
  if (!batch)
    failOnEntry(batch.error());
  const std::vector<control::Result> results = this->controlState.apply(batch.value());
  if (entry.term == this->barrierTerm)
    this->readyTerm = entry.term;

  std::vector<Origin> origins;
  if (const auto own = this->appended.find(entry.index); own != this->appended.end()) {
    if (own->second.term == entry.term)
      origins = std::move(own->second.origins);
    this->appended.erase(own);
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (this->onApplied)
      this->onApplied(batch.value().commands[i], results[i]);
    if (i >= origins.size() || origins[i].daemon == base::NoDaemon)
      continue;
    this->context.send(origins[i].daemon,
                       wire::ProposeResult{origins[i].proposal, wire::ProposalState::Applied,
                                           this->context.self(), results[i]});
  }
}

void Replication::answerLost() {
  // Entries already appended may still commit under the new leader; their senders ask there.
  this->appended.clear();
  for (const Queued &queued : this->queue) {
    if (queued.origin.daemon == base::NoDaemon)
      continue;
    this->context.send(queued.origin.daemon, wire::ProposeResult{queued.origin.proposal,
                                                                 wire::ProposalState::NotLeader,
                                                                 this->leader(),
                                                                 {}});
  }
  this->queue.clear();
}

void Replication::takeSnapshot() {
  consensus::Snapshot snapshot{this->applied, this->appliedTerm,
                               this->log.membershipAt(this->applied), this->controlState.save()};
  this->snapshotIndex = this->applied;
  StoreBatch store;
  store.snapshot = snapshot;
  store.opening = this->opening;
  this->context.actions.emplace_back(std::move(store));
  this->log.compact(std::move(snapshot));
}

} // namespace banyanrill::daemon
