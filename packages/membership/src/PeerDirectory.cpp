#include "banyanrill/membership/PeerDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace banyanrill::membership {

namespace {

/// To the leader, which counts daemons as live by their heartbeats.
constexpr base::Duration LeaderHeartbeatInterval = std::chrono::milliseconds(500);

/// To all known addresses while no leader is known or the group is bootstrapping.
constexpr base::Duration DiscoveryInterval = std::chrono::milliseconds(200);

/// To one other daemon in turn while a leader is known, so that peer information spreads.
constexpr base::Duration GossipInterval = std::chrono::milliseconds(1500);

/// Maximum age of a peer's proposal for the initial members.
constexpr base::Duration MaxProposalAge = std::chrono::milliseconds(1000);

/// Messages after which a new daemon at an address has certainly taken it over.
constexpr std::uint32_t ConfirmingContacts = 2;

/// A daemon that took over an address and is silent for this long, four heartbeats to the leader,
/// was an ended one whose message came late.
constexpr base::Duration HolderTimeout = std::chrono::milliseconds(2000);

/// Limit of the directory. When it is full, the peer with the oldest contact is evicted.
constexpr std::size_t MaxPeers = 1024;

} // namespace

PeerDirectory::PeerDirectory(PeerDirectoryOptions rosterOptions, base::TimePoint now)
    : options(std::move(rosterOptions)), startedAt(now) {}

std::vector<base::DaemonId> PeerDirectory::daemonsWithDisk() const {
  std::vector<base::DaemonId> disks;
  if (this->options.self.hasDisk)
    disks.push_back(this->options.self.id);
  for (const auto &[id, peer] : this->peers) {
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
  for (const auto &[id, peer] : this->peers) {
    if (peer.record.hasDisk && !peer.superseded)
      others.push_back(peer.record.address);
  }
  const auto isDue = [&](const std::string &address, base::Duration interval) {
    const auto last = this->lastSent.find(address);
    return address != this->options.self.address && !address.empty() &&
           (last == this->lastSent.end() || now - last->second >= interval);
  };
  const bool knowsLeader = this->leader().has_value();
  if (knowsLeader && isDue(this->currentLeader.address, LeaderHeartbeatInterval))
    due.insert(this->currentLeader.address);
  if (!knowsLeader || this->options.canBootstrap) {
    for (const std::string &address : others) {
      if (isDue(address, DiscoveryInterval))
        due.insert(address);
    }
  } else if (!others.empty()) {
    const std::string &address = others[this->nextGossipTarget % others.size()];
    const auto last = this->lastSent.find("");
    if (last == this->lastSent.end() || now - last->second >= GossipInterval) {
      this->lastSent[""] = now;
      ++this->nextGossipTarget;
      if (isDue(address, DiscoveryInterval))
        due.insert(address);
    }
  }
  if (this->lastSent.size() > MaxPeers)
    this->lastSent.clear();
  for (const std::string &address : due)
    this->lastSent[address] = now;
  return {due.begin(), due.end()};
}

PeerHeartbeat PeerDirectory::makeHeartbeat() const {
  PeerHeartbeat heartbeat;
  heartbeat.sender = this->options.self;
  heartbeat.bootstrapping = this->options.canBootstrap && this->options.self.hasDisk;
  if (heartbeat.bootstrapping)
    heartbeat.bootstrapMembers = this->daemonsWithDisk();
  return heartbeat;
}

bool PeerDirectory::isNewPeer(const PeerRecord &record) const {
  return record.id != base::NoDaemon && record.id != this->options.self.id &&
         record.address != this->options.self.address && this->peers.count(record.id) == 0;
}

void PeerDirectory::addIndirect(const PeerRecord &record) {
  if (!this->isNewPeer(record))
    return;
  // Indirect information does not replace a peer that is already known at this address.
  for (const auto &[id, peer] : this->peers) {
    if (peer.record.address == record.address && !peer.superseded)
      return;
  }
  this->peers[record.id].record = record;
}

void PeerDirectory::recordContact(const PeerRecord &record, base::TimePoint now) {
  if (record.id == base::NoDaemon || record.id == this->options.self.id)
    return;
  if (this->peers.size() >= MaxPeers && this->peers.count(record.id) == 0) {
    auto oldest = this->peers.begin();
    for (auto peer = this->peers.begin(); peer != this->peers.end(); ++peer) {
      if (peer->second.lastContact < oldest->second.lastContact)
        oldest = peer;
    }
    this->peers.erase(oldest);
  }
  Peer &peer = this->peers[record.id];
  if (peer.superseded) {
    // A heartbeat that was in flight when its sender was replaced.
    const Peer *holder = this->holderOf(peer.record.address);
    if (holder != nullptr && now - holder->lastContact < HolderTimeout)
      return;
    peer.superseded = false;
  }
  peer.record = record;
  peer.lastContact = now;
  peer.contacts = std::min(peer.contacts + 1, ConfirmingContacts);
  for (auto &[id, other] : this->peers) {
    if (id != record.id && other.record.address == record.address)
      other.superseded = true;
  }
}

PeerHeartbeatReply PeerDirectory::onHeartbeat(const PeerHeartbeat &heartbeat, base::TimePoint now) {
  this->recordContact(heartbeat.sender, now);
  if (const auto peer = this->peers.find(heartbeat.sender.id); peer != this->peers.end()) {
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
  for (const auto &[id, peer] : this->peers) {
    if (!peer.superseded && (peer.record.hasDisk || id == reply.leader))
      reply.peers.push_back(peer.record);
  }
  reply.members = this->members;
  return reply;
}

void PeerDirectory::onHeartbeatReply(const PeerHeartbeatReply &reply, base::TimePoint now) {
  this->recordContact(reply.responder, now);
  if (const auto peer = this->peers.find(reply.responder.id); peer != this->peers.end()) {
    peer->second.bootstrapping = reply.bootstrapping;
    peer->second.bootstrapMembers = reply.bootstrapMembers;
  }
  for (const PeerRecord &record : reply.peers)
    this->addIndirect(record);
  // Other daemons may still report a leader that no longer answers. Within the same term, only
  // the leader itself can confirm that it still leads.
  if (reply.term > this->currentLeader.term || reply.leader == reply.responder.id)
    this->setLeader(reply.leader, reply.term);
  if (!reply.members.empty() && this->members.empty())
    this->members = reply.members;
}

void PeerDirectory::setLeader(base::DaemonId leader, std::uint64_t term) {
  if (term < this->currentLeader.term || leader == base::NoDaemon)
    return;
  if (term == this->currentLeader.term && this->currentLeader.id != base::NoDaemon)
    return;
  const PeerRecord *record =
      leader == this->options.self.id ? &this->options.self : this->find(leader);
  if (record == nullptr)
    return;
  this->currentLeader = {leader, term, record->address, record->controlAddress};
}

void PeerDirectory::suspectLeader(base::DaemonId leader) {
  if (this->currentLeader.id == leader)
    this->currentLeader.id = base::NoDaemon;
}

std::optional<KnownLeader> PeerDirectory::leader() const {
  if (this->currentLeader.id == base::NoDaemon)
    return std::nullopt;
  return this->currentLeader;
}

void PeerDirectory::learnAddress(base::DaemonId id, const std::string &address,
                                 const std::string &region) {
  PeerRecord record;
  record.id = id;
  record.address = address;
  record.region = region;
  record.hasDisk = true;
  // Also at an address that another daemon uses: its next message shows that this member is gone.
  if (this->isNewPeer(record))
    this->peers[id].record = std::move(record);
}

std::optional<std::vector<base::DaemonId>>
PeerDirectory::agreedBootstrapMembers(base::TimePoint now) const {
  if (!this->options.canBootstrap || !this->options.self.hasDisk)
    return std::nullopt;
  // Another member has already completed the agreement, and it includes this daemon.
  if (std::find(this->members.begin(), this->members.end(), this->options.self.id) !=
      this->members.end())
    return this->members;
  if (now - this->startedAt < this->options.bootstrapDelay)
    return std::nullopt;
  const std::vector<base::DaemonId> disks = this->daemonsWithDisk();
  if (disks.size() < this->options.minimumBootstrapMembers)
    return std::nullopt;
  for (const base::DaemonId id : disks) {
    if (id == this->options.self.id)
      continue;
    const Peer &peer = this->peers.at(id);
    if (!peer.bootstrapping || peer.bootstrapMembers != disks ||
        now - peer.lastContact > MaxProposalAge)
      return std::nullopt;
  }
  return disks;
}

void PeerDirectory::endBootstrap(std::vector<base::DaemonId> voters) {
  this->options.canBootstrap = false;
  this->members = std::move(voters);
}

const PeerRecord *PeerDirectory::find(base::DaemonId id) const {
  const auto found = this->peers.find(id);
  return found == this->peers.end() ? nullptr : &found->second.record;
}

bool PeerDirectory::isLive(base::DaemonId id, base::TimePoint now, base::Duration within) const {
  if (id == this->options.self.id)
    return true;
  const auto found = this->peers.find(id);
  return found != this->peers.end() && !found->second.superseded &&
         found->second.lastContact != base::TimePoint::min() &&
         now - found->second.lastContact <= within;
}

const PeerDirectory::Peer *PeerDirectory::holderOf(const std::string &address) const {
  for (const auto &[id, peer] : this->peers) {
    if (peer.record.address == address && !peer.superseded && peer.contacts > 0)
      return &peer;
  }
  return nullptr;
}

bool PeerDirectory::isReplaced(base::DaemonId id) const {
  const auto found = this->peers.find(id);
  if (found == this->peers.end() || !found->second.superseded)
    return false;
  const Peer *holder = this->holderOf(found->second.record.address);
  return holder != nullptr && holder->contacts >= ConfirmingContacts;
}

bool PeerDirectory::isSuperseded(base::DaemonId id) const {
  const auto found = this->peers.find(id);
  return found != this->peers.end() && found->second.superseded;
}

std::vector<PeerRecord> PeerDirectory::livePeers(base::TimePoint now, base::Duration within) const {
  std::vector<PeerRecord> result;
  for (const auto &[id, peer] : this->peers) {
    if (this->isLive(id, now, within))
      result.push_back(peer.record);
  }
  return result;
}

} // namespace banyanrill::membership
