// Chooses the leader's next change of the consensus group: adds new nodes with a disk and replaces
// lost voters. Pure: one decision at a time.
#pragma once

#include "banyanrill/consensus/Message.h"
#include "banyanrill/membership/PeerDirectory.h"

#include <optional>

namespace banyanrill::node {

class MembershipPlanner {
public:
  /// Returns the next membership to propose, which differs from the current one in one node; empty
  /// if no change is needed. `voterCount` is the wanted number of voters; `leaderSince` is when
  /// this node began to lead. Thread-safe.
  std::optional<consensus::Membership> next(const consensus::Membership &current,
                                            const membership::PeerDirectory &peerDirectory,
                                            base::DaemonId self, std::size_t voterCount,
                                            base::TimePoint leaderSince, base::TimePoint now) const;
};

} // namespace banyanrill::node
