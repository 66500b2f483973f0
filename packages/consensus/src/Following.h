// The follower's side of replication.
#pragma once

#include "ReplicaState.h"

namespace banyanrill::consensus {

/// Records a sign of life of the leader of the current term.
void followLeader(ReplicaState &state, ReplicaId leader);
/// Precondition: the message's term is the current one.
void handleAppendRequest(ReplicaState &state, const Message &message);

} // namespace banyanrill::consensus
