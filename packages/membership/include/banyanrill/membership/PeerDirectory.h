// Directory of the daemons of a cell. Daemons discover each other through heartbeats, starting from
// a few seed addresses. On the first start of a system, the directory also determines the initial
// members of the consensus group. Does no I/O and reads no clock.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::membership {

/// A daemon's description of itself. `id` is random and belongs to the data folder if the daemon
/// has one, otherwise to the process, so a daemon that lost its disk gets a new identifier.
struct PeerRecord {
  base::DaemonId id = base::NoDaemon;
  std::string address;        ///< host:port of the peer listener.
  std::string controlAddress; ///< host:port where workers and operators reach it.
  std::string dataCentre;
  std::string region;
  bool hasDisk = false;
  bool stopping = false;

  bool operator==(const PeerRecord &) const = default;
};

/// Sent periodically by every daemon to its peers.
struct PeerHeartbeat {
  PeerRecord sender;
  bool bootstrapping = false; ///< The sender has a disk and knows of no consensus group yet.
  std::vector<base::DaemonId>
      bootstrapMembers; ///< While bootstrapping: all known daemons with a disk, sorted.

  bool operator==(const PeerHeartbeat &) const = default;
};

struct PeerHeartbeatReply {
  PeerRecord responder;
  bool bootstrapping = false;
  std::vector<base::DaemonId> bootstrapMembers;
  base::DaemonId leader = base::NoDaemon; ///< The leader that the responder knows.
  std::uint64_t term = 0;                 ///< Term of `leader`.
  std::vector<PeerRecord> peers;          ///< Peer daemons with a disk, and the leader.
  std::vector<base::DaemonId> members;    ///< Voters of the group, if known to the responder.

  bool operator==(const PeerHeartbeatReply &) const = default;
};

struct PeerDirectoryOptions {
  PeerRecord self;
  std::vector<std::string> seeds; ///< Addresses of peer listeners.
  bool canBootstrap = false;      ///< The system starts for the first time.
  std::size_t minimumBootstrapMembers = 1;
  /// Delay before members are chosen, so that all daemons that start together are included.
  base::Duration bootstrapDelay = std::chrono::milliseconds(1200);
};

struct KnownLeader {
  base::DaemonId id = base::NoDaemon;
  std::uint64_t term = 0;
  std::string address;
  std::string controlAddress;
};

/// Not thread-safe: owned by one task.
class PeerDirectory {
public:
  PeerDirectory(PeerDirectoryOptions options, base::TimePoint now);

  /// Returns the addresses that are due for a heartbeat and marks them as sent.
  std::vector<std::string> takeDueAddresses(base::TimePoint now);

  PeerHeartbeat makeHeartbeat() const;
  PeerHeartbeatReply onHeartbeat(const PeerHeartbeat &heartbeat, base::TimePoint now);
  void onHeartbeatReply(const PeerHeartbeatReply &reply, base::TimePoint now);

  /// Records the leader of `term`. Ignored if the term is older or already has a
  /// leader, or if the leader's address is unknown.
  void setLeader(base::DaemonId leader, std::uint64_t term);
  /// Called when the leader did not answer. `leader()` returns nothing until a leader is confirmed
  /// again by itself or by a later term.
  void suspectLeader(base::DaemonId leader);
  std::optional<KnownLeader> leader() const;

  void setSeeds(std::vector<std::string> seeds) { this->options.seeds = std::move(seeds); }
  /// Whether this daemon's disk takes writes; the leader replaces a voter without one.
  void setHasDisk(bool hasDisk) { this->options.self.hasDisk = hasDisk; }
  void setStopping() { this->options.self.stopping = true; }
  const PeerRecord &self() const { return this->options.self; }

  /// Adds the address of a group member from the replicated table, for members that have not sent a
  /// heartbeat yet.
  void learnAddress(base::DaemonId id, const std::string &address, const std::string &region);

  /// Returns the initial members of the group once all of them agree; only while `canBootstrap`.
  std::optional<std::vector<base::DaemonId>> agreedBootstrapMembers(base::TimePoint now) const;
  /// Called when the group exists, with or without this daemon. Ends bootstrapping.
  void endBootstrap(std::vector<base::DaemonId> members);
  bool isBootstrapping() const { return this->options.canBootstrap; }

  const PeerRecord *find(base::DaemonId id) const;
  /// Returns whether the daemon itself was heard from within this time.
  bool isLive(base::DaemonId id, base::TimePoint now, base::Duration within) const;
  /// Returns whether a daemon with another identifier now uses the address of `id`.
  bool isSuperseded(base::DaemonId id) const;
  /// The same, and that daemon has sent more than one message: a single one may be late, from a
  /// process that has ended.
  bool isReplaced(base::DaemonId id) const;
  std::vector<PeerRecord> livePeers(base::TimePoint now, base::Duration within) const;

private:
  struct Peer {
    PeerRecord record;
    base::TimePoint lastContact = base::TimePoint::min(); ///< Last message from the daemon itself.
    bool bootstrapping = false;
    std::vector<base::DaemonId> bootstrapMembers;
    bool superseded = false;
    std::uint32_t contacts = 0; ///< Messages from the daemon itself; stops at `ConfirmingContacts`.
  };

  void recordContact(const PeerRecord &record, base::TimePoint now);
  /// Whether the record names a daemon that is neither this one nor known.
  bool isNewPeer(const PeerRecord &record) const;
  void addIndirect(const PeerRecord &record);
  /// The daemon that was heard last at the address; null if none was.
  const Peer *holderOf(const std::string &address) const;
  std::vector<base::DaemonId> daemonsWithDisk() const;

  PeerDirectoryOptions options;
  base::TimePoint startedAt;
  std::map<base::DaemonId, Peer> peers;
  std::map<std::string, base::TimePoint> lastSent; ///< By address.
  KnownLeader currentLeader;
  std::vector<base::DaemonId> members;
  std::size_t nextGossipTarget = 0;
};

} // namespace banyanrill::membership
