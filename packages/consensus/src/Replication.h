// The leader's side of replication: appends, heartbeats, commit and check-quorum.
#pragma once

#include "ReplicaState.h"

namespace banyanrill::consensus {

void becomeLeader(ReplicaState &state);
/// Starts and ends replication to peers after the membership changed.
void updatePeers(ReplicaState &state);
/// Sends what flow control allows, and heartbeats that are wanted.
void sendToPeers(ReplicaState &state);
/// Commits what a majority of the voters holds durably.
void advanceCommit(ReplicaState &state);
/// Sends heartbeats when due; steps down without a recent contact to a majority.
void tickLeader(ReplicaState &state);
void handleAppendResponse(ReplicaState &state, const Message &message);

} // namespace banyanrill::consensus
