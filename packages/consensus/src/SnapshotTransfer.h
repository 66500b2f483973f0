// Transfer of snapshots in chunks to members that lack compacted entries.
#pragma once

#include "ReplicaState.h"

namespace banyanrill::consensus {

/// Sends the next chunk unless one is unanswered.
void sendChunk(ReplicaState &state, ReplicaId id, Progress &progress);
/// Precondition: the message's term is the current one.
void handleSnapshotChunk(ReplicaState &state, const Message &message);
void handleSnapshotResponse(ReplicaState &state, const Message &message);

} // namespace banyanrill::consensus
