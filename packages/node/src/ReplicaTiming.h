// The timers of a node's replica.
#pragma once

#include "banyanrill/consensus/Replica.h"

namespace banyanrill::node {

/// Returns the options of the replica with this id. Pure and thread-safe.
consensus::ReplicaOptions replicaOptions(base::DaemonId self);

} // namespace banyanrill::node
