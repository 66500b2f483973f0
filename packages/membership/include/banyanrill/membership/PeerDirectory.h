// Which daemons there are: learned from a few seeds, by greetings. Also how the first members of
// the consensus group agree on themselves, once. Pure: no sockets, no clock.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::membership {

/// What a daemon says of itself. Its number is random: of its data folder if it has one, else of
/// its process, so that a daemon that lost its disk is another one.
struct PeerRecord {
  base::DaemonId id = base::NoDaemon;
  std::string address;        ///< host:port of its peer listener.
  std::string controlAddress; ///< host:port where workers and operators reach it.
  std::string dataCentre;
  std::string region;
  bool hasDisk = false;
  bool stopping = false;

  bool operator==(const PeerRecord &) const = default;
};

/// Sent by every daemon, again and again.
struct PeerHeartbeat {
  PeerRecord sender;
  bool bootstrapping = false; ///< The sender has a disk, and the group does not exist yet for it.
  std::vector<base::DaemonId>
      bootstrapMembers; ///< Founding: the daemons with a disk that it knows, sorted.

  bool operator==(const PeerHeartbeat &) const = default;
};

struct PeerHeartbeatReply {
  PeerRecord responder;
  bool bootstrapping = false;
  std::vector<base::DaemonId> bootstrapMembers;
  base::DaemonId leader = base::NoDaemon; ///< As far as the responder knows.
  std::uint64_t term = 0;                 ///< In which it leads.
  std::vector<PeerRecord> peers;          ///< Daemons with a disk, and the leader.
  std::vector<base::DaemonId> members;    ///< Voters of the group, if the responder is one.

  bool operator==(const PeerHeartbeatReply &) const = default;
};

struct PeerDirectoryOptions {
  PeerRecord self;
  std::vector<std::string> seeds; ///< Addresses of peer listeners.
  bool canBootstrap = false;      ///< The whole system starts for the first time.
  std::size_t minimumBootstrapMembers = 1;
  /// Founders wait this long, so that all that start together are seen.
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

  /// Addresses to greet now, at most once for each interval.
  std::vector<std::string> takeDueAddresses(base::TimePoint now);

  PeerHeartbeat makeHeartbeat() const;
  PeerHeartbeatReply onHeartbeat(const PeerHeartbeat &heartbeat, base::TimePoint now);
  void onHeartbeatReply(const PeerHeartbeatReply &reply, base::TimePoint now);

  /// Names the leader that this daemon knows from the group itself.
  void setLeader(base::DaemonId leader, std::uint64_t term);
  /// The leader did not answer; until it is heard of again, another one may be named.
  void suspectLeader(base::DaemonId leader);
  std::optional<KnownLeader> leader() const;

  void setSeeds(std::vector<std::string> seeds) { this->options.seeds = std::move(seeds); }
  void setStopping() { this->options.self.stopping = true; }
  const PeerRecord &self() const { return this->options.self; }

  /// Addresses named by the replicated table, for members that have not greeted yet.
  void learnAddress(base::DaemonId id, const std::string &address, const std::string &region);

  /// The members of the group, once all founders agree; only while `mayFound`.
  std::optional<std::vector<base::DaemonId>> agreedBootstrapMembers(base::TimePoint now) const;
  /// The group exists, with or without this daemon; founding has ended.
  void endBootstrap(std::vector<base::DaemonId> members);
  bool isBootstrapping() const { return this->options.canBootstrap; }

  const PeerRecord *find(base::DaemonId id) const;
  /// Heard from within this time.
  bool isLive(base::DaemonId id, base::TimePoint now, base::Duration within) const;
  /// A daemon with another number answers at its address.
  bool isSuperseded(base::DaemonId id) const;
  std::vector<PeerRecord> livePeers(base::TimePoint now, base::Duration within) const;

private:
  struct Known {
    PeerRecord record;
    base::TimePoint heard = base::TimePoint::min(); ///< From itself.
    bool bootstrapping = false;
    std::vector<base::DaemonId> bootstrapMembers;
    bool superseded = false;
  };

  void hear(const PeerRecord &record, base::TimePoint now);
  void learn(const PeerRecord &record);
  std::vector<base::DaemonId> knownDisks() const;

  PeerDirectoryOptions options;
  base::TimePoint started;
  std::map<base::DaemonId, Known> known;
  std::map<std::string, base::TimePoint> greeted; ///< By address.
  KnownLeader current;
  std::vector<base::DaemonId> members;
  std::size_t nextIdleTarget = 0;
};

} // namespace banyanrill::membership
