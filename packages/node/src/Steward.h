// The leader's care for the consensus group: new nodes with a disk join it, and lost voters are
// replaced. Pure: one decision at a time.
#pragma once

#include "banyanrill/consensus/Message.h"
#include "banyanrill/membership/PeerDirectory.h"

#include <optional>

namespace banyanrill::node {

/// The next membership to propose, which differs from the current one in one node; empty if the
/// group is as it should be. `voterCount` is how many voters there should be.
class Steward {
public:
  std::optional<consensus::Membership> next(const consensus::Membership &current,
                                            const membership::PeerDirectory &roster,
                                            base::DaemonId self, std::size_t voterCount,
                                            base::TimePoint now) const;
};

} // namespace banyanrill::node
