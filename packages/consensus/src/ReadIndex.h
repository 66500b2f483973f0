// Linearizable reads: a round of heartbeats confirms that this replica still leads.
#pragma once

#include "ReplicaState.h"

namespace banyanrill::consensus {

/// Pending reads beyond this number are refused.
inline constexpr std::size_t MaxPendingReads = 4096;

bool startRead(ReplicaState &state, std::uint64_t context);
/// Gives waiting reads their index once the leader committed an entry of its own term.
void assignReadIndexes(ReplicaState &state);
/// Answers reads whose round a majority confirmed.
void releaseReads(ReplicaState &state);

} // namespace banyanrill::consensus
