// Chooses the leader's next change of the consensus group: adds new nodes with a disk and replaces
// lost voters. Pure: one decision at a time.
#pragma once

#include "banyanrill/consensus/Message.h"
#include "banyanrill/membership/PeerDirectory.h"

#include <optional>
#include <string_view>

namespace banyanrill::node {

/// A membership that differs from the current one in one node.
struct MembershipChange {
  consensus::Membership membership;
  base::DaemonId node = base::NoDaemon; ///< The one that is added, promoted or removed.
  std::string_view reason;              ///< For the log.
};

class MembershipPlanner {
public:
  /// Returns the next change to propose; empty if none is needed. `voterCount` is the wanted number
  /// of voters; `leaderSince` is when this node began to lead. Thread-safe.
  std::optional<MembershipChange> next(const consensus::Membership &current,
                                       const membership::PeerDirectory &peerDirectory,
                                       base::DaemonId self, std::size_t voterCount,
                                       base::TimePoint leaderSince, base::TimePoint now) const;
};

} // namespace banyanrill::node
