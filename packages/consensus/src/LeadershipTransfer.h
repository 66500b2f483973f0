// Graceful handover of leadership to an up-to-date voter.
#pragma once

#include "ReplicaState.h"

namespace banyanrill::consensus {

/// Chooses the voter with the most complete log; does nothing if there is no other voter.
void startTransfer(ReplicaState &state);
/// Tells the target to start an election once it holds the whole log.
void continueTransfer(ReplicaState &state);
void handleTimeoutNow(ReplicaState &state, const Message &message);

} // namespace banyanrill::consensus
