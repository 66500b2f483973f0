#include "SimulatedCell.h"

#include "../src/ReplicaTiming.h"
#include "banyanrill/base/TransferTime.h"

#include <algorithm>
#include <utility>

namespace banyanrill::node::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TimeStep(5);
constexpr const char *MemberPrefix = "member ";

void store(consensus::StoredState &disk, const consensus::Output &output) {
  if (output.hardState)
    disk.hardState = *output.hardState;
  if (output.snapshot) {
    disk.snapshot = output.snapshot;
    disk.entries.clear();
  }
  for (const consensus::Entry &entry : output.entries) {
    std::erase_if(disk.entries,
                  [&](const consensus::Entry &old) { return old.index >= entry.index; });
    disk.entries.push_back(entry);
  }
}

} // namespace

SimulatedCell::SimulatedCell(std::uint64_t seed, CellOptions cellOptions)
    : cell(cellOptions), random(seed), machines(cellOptions.disks + cellOptions.others) {
  for (std::size_t index = 0; index < this->machines.size(); ++index) {
    this->machines[index].address = "10.0.0." + std::to_string(index + 1) + ":7";
    if (index < this->cell.disks)
      this->machines[index].disk = Disk{static_cast<base::DaemonId>(this->random.next() | 1U), {}};
  }
  this->setSeeds({0, 1, 2});
  this->found();
  for (std::size_t index = 0; index < this->machines.size(); ++index)
    this->start(index);
}

void SimulatedCell::found() {
  consensus::Snapshot first;
  first.index = 1;
  first.term = 1;
  const std::size_t voters = std::min(this->cell.disks, 2 * this->cell.toleratedLosses + 1);
  for (std::size_t index = 0; index < voters; ++index)
    first.membership.voters.push_back(this->machines[index].disk->id);
  for (std::size_t index = 0; index < voters; ++index) {
    this->machines[index].disk->stored.hardState.term = 1;
    this->machines[index].disk->stored.snapshot = first;
  }
}

void SimulatedCell::setSeeds(const std::vector<std::size_t> &named) {
  this->seeds.clear();
  for (const std::size_t index : named)
    this->seeds.push_back(this->machines[index].address);
}

base::Duration SimulatedCell::upTo(std::uint64_t maxMs) {
  return milliseconds(1 + this->random.below(maxMs));
}

std::optional<std::size_t> SimulatedCell::machineAt(const std::string &address) const {
  for (std::size_t index = 0; index < this->machines.size(); ++index) {
    if (this->machines[index].address == address)
      return index;
  }
  return std::nullopt;
}

void SimulatedCell::start(std::size_t index) {
  SimulatedMachine &machine = this->machines[index];
  ++machine.life;
  machine.process = std::make_unique<Process>();
  Process &process = *machine.process;
  membership::PeerDirectoryOptions options;
  options.self.id =
      machine.disk ? machine.disk->id : static_cast<base::DaemonId>(this->random.next() | 1U);
  options.self.address = machine.address;
  options.self.hasDisk = machine.disk.has_value();
  options.seeds = this->seeds;
  process.peers = std::make_unique<membership::PeerDirectory>(std::move(options), this->now);
  process.nextTick = this->now + this->upTo(this->cell.maxTickMs);
  if (!machine.disk)
    return;
  process.applied = machine.disk->stored.snapshot ? machine.disk->stored.snapshot->index : 0;
  process.replica = std::make_unique<consensus::Replica>(
      replicaOptions(machine.disk->id), consensus::Membership(), machine.disk->stored,
      base::RandomSource(this->random.next()), this->now);
}

void SimulatedCell::stop(std::size_t index, base::Duration down) {
  SimulatedMachine &machine = this->machines[index];
  machine.startsAt = this->now + down;
  if (machine.process == nullptr)
    return;
  if (machine.process->write && this->random.below(2) == 0)
    store(machine.disk->stored, *machine.process->write);
  machine.process.reset();
}

void SimulatedCell::wipe(std::size_t index, base::Duration down) {
  this->stop(index, down);
  Disk &disk = *this->machines[index].disk;
  this->lostDisks.insert(disk.id);
  disk = Disk{static_cast<base::DaemonId>(this->random.next() | 1U), {}};
}

void SimulatedCell::run(base::Duration duration) {
  const base::TimePoint end = this->now + duration;
  while (this->now < end) {
    this->now += TimeStep;
    for (std::size_t index = 0; index < this->machines.size(); ++index) {
      if (this->machines[index].process == nullptr && this->now >= this->machines[index].startsAt)
        this->start(index);
    }
    while (!this->inTransit.empty() && this->inTransit.begin()->first <= this->now) {
      Delivery delivery = std::move(this->inTransit.begin()->second);
      this->inTransit.erase(this->inTransit.begin());
      SimulatedMachine &receiver = this->machines[delivery.to];
      if (receiver.process == nullptr || (delivery.life != 0 && delivery.life != receiver.life))
        continue;
      if (receiver.frozen) {
        this->inTransit.emplace(this->now + TimeStep, std::move(delivery));
        continue;
      }
      delivery.act(*receiver.process);
      this->drain(delivery.to);
    }
    for (std::size_t index = 0; index < this->machines.size(); ++index)
      this->turn(index);
  }
}

void SimulatedCell::turn(std::size_t index) {
  if (this->machines[index].process == nullptr || this->machines[index].frozen)
    return;
  Process &process = *this->machines[index].process;
  if (process.write && process.writeDone <= this->now) {
    const consensus::Output written = std::move(*process.write);
    process.write.reset();
    store(this->machines[index].disk->stored, written);
    process.replica->onStored(written.storedIndex, written.storedTerm, this->now);
    this->drain(index);
  }
  if (this->now < process.nextTick)
    return;
  process.nextTick = this->now + this->upTo(this->cell.maxTickMs);
  if (process.replica != nullptr) {
    process.replica->tick(this->now);
    this->drain(index);
    if (process.leaderSince && this->now >= process.nextMembershipCheck)
      this->changeMembership(process);
    this->drain(index);
  }
  this->sendHeartbeats(index);
}

void SimulatedCell::changeMembership(Process &process) {
  process.nextMembershipCheck = this->now + MembershipCheckInterval;
  consensus::Replica &replica = *process.replica;
  const std::optional<MembershipChange> next = MembershipPlanner().next(
      {replica.membership(), replica.caughtUpLearners(), process.peers->self().id,
       2 * this->cell.toleratedLosses + 1, *process.leaderSince},
      *process.peers, this->now);
  if (next && isUnderWay(replica.proposeMembership(next->membership, this->now)))
    process.nextMembershipCheck = this->now;
  const consensus::Membership membership = replica.membership();
  for (const std::vector<consensus::ReplicaId> *ids : {&membership.voters, &membership.learners}) {
    for (const consensus::ReplicaId id : *ids) {
      const membership::PeerRecord *peer =
          id == process.peers->self().id ? &process.peers->self() : process.peers->find(id);
      if (peer == nullptr || process.memberAddresses.count(id) != 0)
        continue;
      consensus::Index entry = 0;
      consensus::Term term = 0;
      replica.propose(MemberPrefix + std::to_string(id) + " " + peer->address, this->now, entry,
                      term);
    }
  }
}

void SimulatedCell::drain(std::size_t index) {
  Process &process = *this->machines[index].process;
  if (process.replica == nullptr)
    return;
  consensus::Replica &replica = *process.replica;
  const bool leads = replica.role() == consensus::Role::Leader;
  if (!leads)
    process.leaderSince.reset();
  if (leads && process.barrierTerm != replica.term()) {
    process.leaderSince.reset();
    consensus::Index entry = 0;
    consensus::Term term = 0;
    if (replica.propose("", this->now, entry, term) == consensus::ProposeResult::Accepted)
      process.barrierTerm = term;
  }
  consensus::Output output = replica.takeOutput();
  for (const consensus::Message &message : output.messages) {
    if (this->cell.linkBytesPerSecond == 0)
      this->send(process, message);
    else
      process.sender.enqueue(message);
  }
  this->sendCalls(index);
  if (output.snapshot)
    process.applied = output.snapshot->index;
  for (const consensus::Entry &entry : output.committed)
    this->apply(process, entry, leads);
  for (const consensus::ReadReady &read : output.reads) {
    if (process.applied >= read.index)
      process.confirmedReads.insert(read.context);
  }
  if (output.mustStore()) {
    process.writeDone = this->now + this->upTo(this->cell.maxSyncMs);
    process.write = std::move(output);
  }
  for (const auto &[id, address] : process.memberAddresses)
    process.peers->learnAddress(id, address, "r");
  if (replica.leader() != base::NoDaemon &&
      (replica.leader() != process.peers->self().id || process.leaderSince))
    process.peers->setLeader(replica.leader(), replica.term());
  else if (replica.leader() == base::NoDaemon)
    process.peers->suspectLeader(process.peers->self().id);
}

void SimulatedCell::apply(Process &process, const consensus::Entry &entry, bool leads) {
  process.applied = entry.index;
  if (entry.kind != consensus::EntryKind::Command)
    return;
  if (entry.payload.empty()) {
    if (leads && entry.term == process.barrierTerm && entry.term == process.replica->term())
      process.leaderSince = this->now;
    return;
  }
  if (entry.payload.rfind(MemberPrefix, 0) == 0) {
    const std::size_t space = entry.payload.rfind(' ');
    const std::size_t digits = std::string(MemberPrefix).size();
    const auto id =
        static_cast<consensus::ReplicaId>(std::stoul(entry.payload.substr(digits, space - digits)));
    process.memberAddresses[id] = entry.payload.substr(space + 1);
    return;
  }
  process.values.insert(entry.payload);
  if (leads && entry.term == process.replica->term())
    this->acknowledgedValues.insert(entry.payload);
}

void SimulatedCell::sendHeartbeats(std::size_t index) {
  Process &process = *this->machines[index].process;
  for (const std::string &address : process.peers->takeDueAddresses(this->now)) {
    const std::optional<std::size_t> target = this->machineAt(address);
    if (!target)
      continue;
    const std::uint64_t life = this->machines[index].life;
    this->deliverLater(
        *target, 0,
        [this, index, life, heartbeat = process.peers->makeHeartbeat()](Process &receiver) {
          this->deliverLater(
              index, life,
              [this, reply = receiver.peers->onHeartbeat(heartbeat, this->now)](Process &sender) {
                sender.peers->onHeartbeatReply(reply, this->now);
              });
        });
  }
}

void SimulatedCell::send(Process &from, const consensus::Message &message) {
  const membership::PeerRecord *peer = from.peers->find(message.to);
  const std::optional<std::size_t> target =
      peer == nullptr ? std::nullopt : this->machineAt(peer->address);
  const std::optional<std::size_t> sender = this->machineAt(from.peers->self().address);
  if (!target || this->machines[*target].deaf || this->machines[sender.value()].mute)
    return;
  this->deliverLater(*target, 0, [this, message](Process &receiver) {
    if (receiver.replica != nullptr)
      receiver.replica->step(message, this->now);
  });
}

void SimulatedCell::sendCalls(std::size_t from) {
  Process &process = *this->machines[from].process;
  for (const base::DaemonId id : process.sender.waitingPeers()) {
    if (process.peers->find(id) == nullptr)
      process.sender.drop(id);
  }
  for (ReplicaCall &call : process.sender.takeCalls()) {
    const std::optional<std::size_t> to = this->machineAt(process.peers->find(call.id.to)->address);
    this->carry(from, to.value_or(from), std::move(call));
  }
}

/// A call is answered when all of it has arrived; without an answer in time, nothing of it counts.
void SimulatedCell::carry(std::size_t from, std::size_t to, ReplicaCall call) {
  base::TimePoint &freeAt = this->linkFreeAt[{from, to}];
  const base::TimePoint deadline = this->now + call.timeout;
  base::TimePoint arrival = std::max(this->now, freeAt);
  arrival += base::transferTime(call.id.bytes, this->cell.linkBytesPerSecond);
  freeAt = std::min(arrival, deadline);
  arrival += this->upTo(this->cell.maxDelayMs);
  const std::uint64_t life = this->machines[from].life;
  const auto end = [this, from, id = call.id](bool wasAnswered) {
    return [this, from, id, wasAnswered](Process &sender) {
      sender.sender.onCallEnded(id, wasAnswered);
      if (!wasAnswered && id.traffic == ReplicaTraffic::Bulk && sender.replica != nullptr)
        sender.replica->onUndelivered(id.to);
      this->sendCalls(from);
    };
  };
  const SimulatedMachine &receiver = this->machines[to];
  const base::TimePoint answer = arrival + this->upTo(this->cell.maxDelayMs);
  if (answer > deadline || receiver.process == nullptr) {
    this->inTransit.emplace(deadline, Delivery{from, life, end(false)});
    return;
  }
  this->inTransit.emplace(
      arrival, Delivery{to, 0, [this, messages = std::move(call.messages)](Process &process) {
                          for (const consensus::Message &message : messages) {
                            if (process.replica != nullptr)
                              process.replica->step(message, this->now);
                          }
                        }});
  this->inTransit.emplace(answer, Delivery{from, life, end(true)});
}

void SimulatedCell::deliverLater(std::size_t to, std::uint64_t life,
                                 std::function<void(Process &)> act) {
  this->inTransit.emplace(this->now + this->upTo(this->cell.maxDelayMs),
                          Delivery{to, life, std::move(act)});
}

std::optional<std::size_t> SimulatedCell::leader() const {
  std::optional<std::size_t> found;
  for (std::size_t index = 0; index < this->cell.disks; ++index) {
    const Process *process = this->machines[index].process.get();
    if (process == nullptr || !process->leaderSince)
      continue;
    if (!found || process->replica->term() > this->machines[*found].process->replica->term())
      found = index;
  }
  return found;
}

void SimulatedCell::propose(std::size_t bytes) {
  const std::optional<std::size_t> index = this->leader();
  if (!index)
    return;
  consensus::Index entry = 0;
  consensus::Term term = 0;
  std::string value = "value " + std::to_string(++this->lastValue);
  value.resize(std::max(value.size(), bytes), '.');
  this->machines[*index].process->replica->propose(std::move(value), this->now, entry, term);
  this->drain(*index);
}

bool SimulatedCell::requestRead(std::size_t index, std::uint64_t context) {
  const bool accepted = this->machines[index].process->replica->requestRead(context, this->now);
  this->drain(index);
  return accepted;
}

std::string SimulatedCell::describe() const {
  std::string text;
  for (std::size_t index = 0; index < this->cell.disks; ++index) {
    const SimulatedMachine &machine = this->machines[index];
    text += "machine " + std::to_string(index) + " id " + std::to_string(machine.disk->id);
    if (machine.process == nullptr) {
      text += " down\n";
      continue;
    }
    const consensus::Replica &replica = *machine.process->replica;
    text += " role " + std::to_string(static_cast<int>(replica.role())) + " term " +
            std::to_string(replica.term()) + " last " + std::to_string(replica.lastIndex()) +
            " voters";
    for (const consensus::ReplicaId id : replica.membership().voters)
      text += " " + std::to_string(id) + (this->lostDisks.count(id) != 0 ? "(lost)" : "");
    text += " learners";
    for (const consensus::ReplicaId id : replica.membership().learners)
      text += " " + std::to_string(id) + (this->lostDisks.count(id) != 0 ? "(lost)" : "");
    text += "\n";
  }
  return text;
}

} // namespace banyanrill::node::testing
