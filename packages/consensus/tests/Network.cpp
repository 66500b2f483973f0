#include "Network.h"

#include <algorithm>
#include <stdexcept>

namespace banyanrill::consensus::testing {

namespace {

using std::chrono::milliseconds;

void writeEntries(StoredState &disk, const std::vector<Entry> &entries, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    const Index index = entries[i].index;
    std::erase_if(disk.entries, [index](const Entry &old) { return old.index >= index; });
    disk.entries.push_back(entries[i]);
  }
}

void writeSnapshot(StoredState &disk, const Snapshot &snapshot) {
  disk.snapshot = snapshot;
  std::erase_if(disk.entries, [&](const Entry &old) { return old.index <= snapshot.index; });
}

Term termBefore(const StoredState &disk, Index index) {
  for (const Entry &entry : disk.entries) {
    if (entry.index + 1 == index) {
      return entry.term;
    }
  }
  return disk.snapshot ? disk.snapshot->term : 0;
}

} // namespace

ReplicaOptions smallOptions() {
  ReplicaOptions options;
  options.maxEntriesPerAppend = 4;
  options.maxAppendBytes = 24;
  options.maxInFlightAppends = 3;
  options.snapshotChunkBytes = 16;
  options.maxUncommittedEntries = 32;
  return options;
}

Network::Network(std::uint64_t seed, ReplicaId voters, Faults networkFaults,
                 ReplicaOptions replicaOptions)
    : random(seed), faults(networkFaults), options(replicaOptions) {
  Membership initial;
  for (ReplicaId id = 1; id <= voters; ++id) {
    initial.voters.push_back(id);
  }
  for (const ReplicaId id : initial.voters) {
    this->start(id, initial);
  }
}

void Network::start(ReplicaId id, Membership initial) {
  Node &node = this->nodes[id];
  this->options.self = id;
  node.replica.emplace(this->options, std::move(initial), node.disk,
                       base::RandomSource(this->random.next()), this->now);
  node.applied = node.disk.snapshot ? node.disk.snapshot->index : 0;
}

bool Network::runs(ReplicaId id) const {
  const auto found = this->nodes.find(id);
  return found != this->nodes.end() && found->second.replica && !found->second.paused;
}

void Network::run(base::Duration duration) {
  const base::TimePoint end = this->now + duration;
  while (this->now < end) {
    this->now += milliseconds(5 + this->random.below(20));
    this->deliver();
    for (auto &[id, node] : this->nodes) {
      if (!this->runs(id)) {
        continue;
      }
      if (node.write && node.writeDone <= this->now) {
        this->finishWrite(id);
      }
      node.replica->tick(this->now);
      this->drain(id);
    }
  }
}

void Network::deliver() {
  while (!this->inTransit.empty() && this->inTransit.begin()->first <= this->now) {
    const Message message = this->inTransit.extract(this->inTransit.begin()).mapped();
    const auto found = this->nodes.find(message.to);
    if (found == this->nodes.end() || !found->second.replica) {
      continue;
    }
    if (found->second.paused) {
      this->inTransit.emplace(this->now + milliseconds(100), message);
      continue;
    }
    found->second.replica->step(message, this->now);
    this->drain(message.to);
  }
}

void Network::send(const Message &message) {
  if (this->blocked.count({message.from, message.to}) != 0 ||
      this->random.below(100) < this->faults.loss) {
    return;
  }
  const std::uint64_t copies = this->random.below(100) < this->faults.duplication ? 2 : 1;
  for (std::uint64_t i = 0; i < copies; ++i) {
    const bool slow = this->random.below(100) < this->faults.longDelay;
    const milliseconds delay(1 + this->random.below(slow ? 3000 : this->faults.maxDelay));
    this->inTransit.emplace(this->now + delay, message);
  }
}

void Network::drain(ReplicaId id) {
  Node &node = this->nodes.at(id);
  Output output = node.replica->takeOutput();
  this->checker.observe(id, *node.replica);
  for (const Message &message : output.messages) {
    this->send(message);
  }
  for (const Entry &entry : output.committed) {
    if (entry.index != ++node.applied) {
      throw std::runtime_error("delivered " + std::to_string(entry.index) + " out of order");
    }
    this->checker.commit(entry);
  }
  for (const ReadReady &ready : output.reads) {
    this->checker.read(node.reads.at(ready.context), ready.index);
    node.finishedReads.insert(ready.context);
  }
  if (output.snapshot) {
    this->checker.install(*output.snapshot);
    node.applied = output.snapshot->index;
  }
  if (output.mustStore()) {
    const bool slow = this->random.below(100) < this->faults.slowSync;
    node.writeDone = this->now + milliseconds(this->random.below(slow ? 1500 : 15));
    node.write = std::move(output);
  }
}

void Network::finishWrite(ReplicaId id) {
  Node &node = this->nodes.at(id);
  const Output write = std::move(*node.write);
  node.write.reset();
  node.disk.hardState = write.hardState.value_or(node.disk.hardState);
  if (write.snapshot) {
    writeSnapshot(node.disk, *write.snapshot);
  }
  if (!write.entries.empty()) {
    this->checker.store(write.entries, termBefore(node.disk, write.entries.front().index));
  }
  writeEntries(node.disk, write.entries, write.entries.size());
  node.replica->onStored(write.storedIndex, write.storedTerm, this->now);
  this->drain(id);
}

void Network::crash(ReplicaId id) {
  Node &node = this->nodes.at(id);
  if (node.write) {
    const std::uint64_t parts = this->random.below(4);
    if (parts >= 1) {
      node.disk.hardState = node.write->hardState.value_or(node.disk.hardState);
    }
    if (parts >= 2 && node.write->snapshot) {
      writeSnapshot(node.disk, *node.write->snapshot);
    }
    if (parts >= 3) {
      writeEntries(node.disk, node.write->entries,
                   this->random.below(node.write->entries.size() + 1));
    }
  }
  node = Node{std::nullopt, std::move(node.disk), std::nullopt, {}, 0, false, {}, {}};
}

void Network::restart(ReplicaId id) {
  if (!this->nodes.at(id).replica) {
    Membership initial;
    // The settings file of a founding member still names the founders.
    for (ReplicaId founder = 1; id <= 5 && founder <= 5 && this->nodes.count(founder); ++founder) {
      initial.voters.push_back(founder);
    }
    this->start(id, initial);
  }
}

ReplicaId Network::addEmpty() {
  const ReplicaId id = std::max<ReplicaId>(this->nodes.rbegin()->first + 1, 6);
  this->start(id, {});
  return id;
}

void Network::isolate(ReplicaId id) {
  for (const auto &[other, node] : this->nodes) {
    this->block(id, other);
    this->block(other, id);
  }
}

void Network::heal(const std::set<ReplicaId> &except) {
  this->blocked.clear();
  this->faults = {};
  for (auto &[id, node] : this->nodes) {
    if (except.count(id) == 0) {
      node.paused = false;
      this->restart(id);
    }
  }
}

ReplicaId Network::leader() const {
  ReplicaId best = base::NoDaemon;
  for (const auto &[id, node] : this->nodes) {
    if (this->runs(id) && node.replica->role() == Role::Leader &&
        (best == base::NoDaemon || node.replica->term() > this->nodes.at(best).replica->term())) {
      best = id;
    }
  }
  return best;
}

ReplicaId Network::awaitLeader() {
  for (int i = 0; i < 300; ++i) {
    this->run(milliseconds(100));
    const ReplicaId id = this->leader();
    if (id != base::NoDaemon && this->at(id).commitIndex() == this->at(id).lastIndex()) {
      return id;
    }
  }
  throw std::runtime_error("no leader within 30 s");
}

ProposeResult Network::propose(ReplicaId id) {
  Index index = 0;
  Term term = 0;
  const std::string command = "command " + std::to_string(++this->lastCommand);
  const ProposeResult result = this->at(id).propose(command, this->now, index, term);
  this->drain(id);
  return result;
}

ProposeResult Network::changeMembership(ReplicaId id, const Membership &membership) {
  const ProposeResult result = this->at(id).proposeMembership(membership, this->now);
  this->drain(id);
  return result;
}

bool Network::read(ReplicaId id) {
  Node &node = this->nodes.at(id);
  node.reads[++this->lastRead] = this->checker.committed();
  const bool accepted = node.replica->requestRead(this->lastRead, this->now);
  this->drain(id);
  return accepted;
}

void Network::transfer(ReplicaId id) {
  this->at(id).transferLeadership(this->now);
  this->drain(id);
}

void Network::compact(ReplicaId id) {
  Node &node = this->nodes.at(id);
  // A write is outstanding: its records would follow the snapshot on the disk.
  if (node.write || node.applied < node.replica->firstIndex()) {
    return;
  }
  const Snapshot snapshot{node.applied, this->checker.at(node.applied).term,
                          node.replica->membershipAt(node.applied),
                          this->checker.stateAt(node.applied)};
  writeSnapshot(node.disk, snapshot);
  node.replica->compact(snapshot);
}

} // namespace banyanrill::consensus::testing
