// Pre-vote, votes and the transition to candidate.
#pragma once

#include "ReplicaState.h"

namespace banyanrill::consensus {

/// Asks whether an election could be won, without raising the term.
void startPreVote(ReplicaState &state);
/// Raises the term and asks for votes.
void startElection(ReplicaState &state);
/// Counts the own vote once it is durable.
void countOwnVote(ReplicaState &state);

void handlePreVoteRequest(ReplicaState &state, const Message &message);
void handlePreVoteResponse(ReplicaState &state, const Message &message);
/// Precondition: the message's term is the current one.
void handleVoteRequest(ReplicaState &state, const Message &message);
void handleVoteResponse(ReplicaState &state, const Message &message);

} // namespace banyanrill::consensus
