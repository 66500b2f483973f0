// The timers of a node's replica.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/consensus/Replica.h"

namespace banyanrill::node {

/// The least that the link to another node carries for this node. Slower ones are usable, but what
/// is on its way over them may be sent twice.
constexpr std::uint64_t MinPeerBytesPerSecond = 1000000;

/// Returns how long a link of `MinPeerBytesPerSecond` takes to carry this. Pure and thread-safe.
base::Duration transferTime(std::uint64_t bytes);

/// Returns the options of the replica with this id. Pure and thread-safe.
consensus::ReplicaOptions replicaOptions(base::DaemonId self);

} // namespace banyanrill::node
