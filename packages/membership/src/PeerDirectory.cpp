#include "banyanrill/membership/PeerDirectory.h"

#include <algorithm>
#include <set>

namespace banyanrill::membership {

namespace {

/// Greetings to the leader, which counts daemons as live by them.
constexpr base::Duration LeaderInterval = std::chrono::milliseconds(500);

/// Greetings to all known addresses while there is no leader, or the group is being founded.
constexpr base::Duration SearchInterval = std::chrono::milliseconds(200);

/// Greetings to one other daemon in turn, so that knowledge spreads while a leader is known.
constexpr base::Duration IdleInterval = std::chrono::milliseconds(1500);

/// A founder's opinion counts while it is this fresh.
constexpr base::Duration OpinionLife = std::chrono::milliseconds(1000);

/// Daemons remembered at most; the longest silent ones are dropped.
constexpr std::size_t MaxKnown = 1024;

} // namespace

PeerDirectory::PeerDirectory(PeerDirectoryOptions rosterOptions, base::TimePoint now)
    : options(std::move(rosterOptions)), started(now) {}

std::vector<base::DaemonId> PeerDirectory::knownDisks() const {
  std::vector<base::DaemonId> disks;
  if (this->options.self.hasDisk)
    disks.push_back(this->options.self.id);
  for (const auto &[id, peer] : this->known) {
    if (peer.record.hasDisk && !peer.superseded)
      disks.push_back(id);
  }
  std::sort(disks.begin(), disks.end());
  return disks;
}

std::vector<std::string> PeerDirectory::takeDueAddresses(base::TimePoint now) {
  std::set<std::string> due;
  std::vector<std::string> others;
  for (const std::string &seed : this->options.seeds)
    others.push_back(seed);
  for (const auto &[id, peer] : this->known) {
    if (peer.record.hasDisk && !peer.superseded)
      others.push_back(peer.record.address);
  }
  const auto isDue = [&](const std::string &address, base::Duration interval) {
    const auto last = this->greeted.find(address);
    return address != this->options.self.address && !address.empty() &&
           (last == this->greeted.end() || now - last->second >= interval);
  };
  const bool knowsLeader = this->leader().has_value();
  if (knowsLeader && isDue(this->current.address, LeaderInterval))
    due.insert(this->current.address);
  if (!knowsLeader || this->options.canBootstrap) {
    for (const std::string &address : others) {
      if (isDue(address, SearchInterval))
        due.insert(address);
    }
  } else if (!others.empty()) {
    const std::string &address = others[this->nextIdleTarget % others.size()];
    const auto last = this->greeted.find("");
    if (last == this->greeted.end() || now - last->second >= IdleInterval) {
      this->greeted[""] = now;
      ++this->nextIdleTarget;
      if (isDue(address, SearchInterval))
        due.insert(address);
    }
  }
  if (this->greeted.size() > MaxKnown)
    this->greeted.clear();
  for (const std::string &address : due)
    this->greeted[address] = now;
  return {due.begin(), due.end()};
}

PeerHeartbeat PeerDirectory::makeHeartbeat() const {
  PeerHeartbeat heartbeat;
  heartbeat.sender = this->options.self;
  heartbeat.bootstrapping = this->options.canBootstrap && this->options.self.hasDisk;
  if (heartbeat.bootstrapping)
    heartbeat.bootstrapMembers = this->knownDisks();
  return heartbeat;
}

void PeerDirectory::learn(const PeerRecord &record) {
  if (record.id == base::NoDaemon || record.id == this->options.self.id ||
      record.address == this->options.self.address)
    return;
  if (this->known.count(record.id) != 0)
    return;
  // Hearsay does not displace a daemon that answered at this address.
  for (const auto &[id, peer] : this->known) {
    if (peer.record.address == record.address && !peer.superseded)
      return;
  }
  this->known[record.id].record = record;
}

void PeerDirectory::hear(const PeerRecord &record, base::TimePoint now) {
  if (record.id == base::NoDaemon || record.id == this->options.self.id)
    return;
  if (this->known.size() >= MaxKnown && this->known.count(record.id) == 0) {
    auto oldest = this->known.begin();
    for (auto peer = this->known.begin(); peer != this->known.end(); ++peer) {
      if (peer->second.heard < oldest->second.heard)
        oldest = peer;
    }
    this->known.erase(oldest);
  }
  Known &peer = this->known[record.id];
  if (peer.superseded)
    return; // A greeting that was under way when its sender was replaced.
  peer.record = record;
  peer.heard = now;
  for (auto &[id, other] : this->known) {
    if (id != record.id && other.record.address == record.address)
      other.superseded = true;
  }
}

PeerHeartbeatReply PeerDirectory::onHeartbeat(const PeerHeartbeat &heartbeat, base::TimePoint now) {
  this->hear(heartbeat.sender, now);
  if (const auto peer = this->known.find(heartbeat.sender.id); peer != this->known.end()) {
    peer->second.bootstrapping = heartbeat.bootstrapping;
    peer->second.bootstrapMembers = heartbeat.bootstrapMembers;
  }
  PeerHeartbeatReply reply;
  reply.responder = this->options.self;
  const PeerHeartbeat own = this->makeHeartbeat();
  reply.bootstrapping = own.bootstrapping;
  reply.bootstrapMembers = own.bootstrapMembers;
  if (const std::optional<KnownLeader> named = this->leader()) {
    reply.leader = named->id;
    reply.term = named->term;
  }
  for (const auto &[id, peer] : this->known) {
    if (!peer.superseded && (peer.record.hasDisk || id == reply.leader))
      reply.peers.push_back(peer.record);
  }
  reply.members = this->members;
  return reply;
}

void PeerDirectory::onHeartbeatReply(const PeerHeartbeatReply &reply, base::TimePoint now) {
  this->hear(reply.responder, now);
  if (const auto peer = this->known.find(reply.responder.id); peer != this->known.end()) {
    peer->second.bootstrapping = reply.bootstrapping;
    peer->second.bootstrapMembers = reply.bootstrapMembers;
  }
  for (const PeerRecord &record : reply.peers)
    this->learn(record);
  // Others may still name a leader that has stopped answering; only it can say that it leads on.
  if (reply.term > this->current.term || reply.leader == reply.responder.id)
    this->setLeader(reply.leader, reply.term);
  if (!reply.members.empty() && this->members.empty())
    this->members = reply.members;
}

void PeerDirectory::setLeader(base::DaemonId leader, std::uint64_t term) {
  if (term < this->current.term || leader == base::NoDaemon)
    return;
  if (term == this->current.term && this->current.id != base::NoDaemon)
    return;
  const PeerRecord *record =
      leader == this->options.self.id ? &this->options.self : this->find(leader);
  if (record == nullptr)
    return;
  this->current = {leader, term, record->address, record->controlAddress};
}

void PeerDirectory::suspectLeader(base::DaemonId leader) {
  if (this->current.id == leader)
    this->current.id = base::NoDaemon;
}

std::optional<KnownLeader> PeerDirectory::leader() const {
  if (this->current.id == base::NoDaemon)
    return std::nullopt;
  return this->current;
}

void PeerDirectory::learnAddress(base::DaemonId id, const std::string &address,
                                 const std::string &region) {
  PeerRecord record;
  record.id = id;
  record.address = address;
  record.region = region;
  record.hasDisk = true;
  this->learn(record);
}

std::optional<std::vector<base::DaemonId>>
PeerDirectory::agreedBootstrapMembers(base::TimePoint now) const {
  if (!this->options.canBootstrap || !this->options.self.hasDisk)
    return std::nullopt;
  // Another founder has already agreed with this one.
  if (std::find(this->members.begin(), this->members.end(), this->options.self.id) !=
      this->members.end())
    return this->members;
  if (now - this->started < this->options.bootstrapDelay)
    return std::nullopt;
  const std::vector<base::DaemonId> disks = this->knownDisks();
  if (disks.size() < this->options.minimumBootstrapMembers)
    return std::nullopt;
  for (const base::DaemonId id : disks) {
    if (id == this->options.self.id)
      continue;
    const Known &peer = this->known.at(id);
    if (!peer.bootstrapping || peer.bootstrapMembers != disks || now - peer.heard > OpinionLife)
      return std::nullopt;
  }
  return disks;
}

void PeerDirectory::endBootstrap(std::vector<base::DaemonId> voters) {
  this->options.canBootstrap = false;
  this->members = std::move(voters);
}

const PeerRecord *PeerDirectory::find(base::DaemonId id) const {
  const auto found = this->known.find(id);
  return found == this->known.end() ? nullptr : &found->second.record;
}

bool PeerDirectory::isLive(base::DaemonId id, base::TimePoint now, base::Duration within) const {
  if (id == this->options.self.id)
    return true;
  const auto found = this->known.find(id);
  return found != this->known.end() && !found->second.superseded &&
         found->second.heard != base::TimePoint::min() && now - found->second.heard <= within;
}

bool PeerDirectory::isSuperseded(base::DaemonId id) const {
  const auto found = this->known.find(id);
  return found != this->known.end() && found->second.superseded;
}

std::vector<PeerRecord> PeerDirectory::livePeers(base::TimePoint now, base::Duration within) const {
  std::vector<PeerRecord> result;
  for (const auto &[id, peer] : this->known) {
    if (this->isLive(id, now, within))
      result.push_back(peer.record);
  }
  return result;
}

} // namespace banyanrill::membership
