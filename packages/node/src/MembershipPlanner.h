// Chooses the leader's next change of the consensus group: adds new nodes with a disk and replaces
// lost voters. Pure: one decision at a time.
#pragma once

#include "banyanrill/consensus/Replica.h"
#include "banyanrill/membership/PeerDirectory.h"

#include <optional>
#include <string_view>
#include <vector>

namespace banyanrill::node {

/// How often the leader checks the group's membership while no change is under way.
constexpr base::Duration MembershipCheckInterval = std::chrono::milliseconds(150);

/// Whether a change is under way after this proposal. A replacement takes several, so the leader
/// checks again at once, and goes on as soon as this one is committed. Pure and thread-safe.
bool isUnderWay(consensus::ProposeResult result);

/// A membership that differs from the current one in one node.
struct MembershipChange {
  consensus::Membership membership;
  base::DaemonId node = base::NoDaemon; ///< The one that is added, promoted or removed.
  std::string_view reason;              ///< For the log.
};

/// The group as its leader sees it.
struct GroupView {
  consensus::Membership membership;
  /// Learners that could take a vote now without holding up commits.
  std::vector<consensus::ReplicaId> caughtUpLearners;
  consensus::ReplicaId self = base::NoDaemon;
  std::size_t wantedVoters = 1;
  base::TimePoint leaderSince; ///< When this node began to lead.
};

class MembershipPlanner {
public:
  /// Returns the next change to propose; empty if none is needed. Thread-safe.
  std::optional<MembershipChange>
  next(const GroupView &group, const membership::PeerDirectory &peers, base::TimePoint now) const;
};

} // namespace banyanrill::node
