#include "Election.h"

#include "Replication.h"

namespace banyanrill::consensus {

namespace {

void requestFromVoters(ReplicaState &state, MessageKind kind, Term term) {
  for (const ReplicaId id : state.memberships.current().voters) {
    if (id == state.options.self) {
      continue;
    }
    Message request = makeMessage(state, kind, id);
    request.term = term;
    request.logIndex = state.log.lastIndex();
    request.logTerm = state.log.lastTerm();
    if (kind == MessageKind::VoteRequest) {
      // A candidate that forgot its own vote in a crash could use votes given to its longer log.
      sendAfterHardState(state, std::move(request));
    } else {
      state.outbox.send(std::move(request));
    }
  }
}

bool hearsLeader(const ReplicaState &state) {
  if (state.role == Role::Leader) {
    return true;
  }
  return state.leader != base::NoDaemon &&
         state.now - state.lastLeaderContact < state.options.electionTimeoutMin;
}

bool mayVoteFor(const ReplicaState &state, const Message &message) {
  const bool free = state.hardState.votedFor == base::NoDaemon ||
                    state.hardState.votedFor == message.from || message.term > state.hardState.term;
  return free && state.log.isCoveredBy(message.logIndex, message.logTerm);
}

/// Whether this replica and the sender ask for pre-votes at the same time with equal logs. If both
/// went on, each would vote for itself, and where both votes are needed nobody would be elected.
/// The higher id goes on; either would do.
bool isRival(const ReplicaState &state, const Message &message) {
  return state.role == Role::PreCandidate && message.logIndex == state.log.lastIndex() &&
         message.logTerm == state.log.lastTerm();
}

/// A pre-candidate refuses a rival only while its own round may still be under way: one that cannot
/// win must not hold up one that can.
bool refusesRival(const ReplicaState &state, const Message &message) {
  return message.from < state.options.self &&
         state.now - state.preVoteStarted < state.options.electionTimeoutMin / 2;
}

void countVote(ReplicaState &state, ReplicaId voter) {
  state.votes.insert(voter);
  if (!isMajority(state, state.votes)) {
    return;
  }
  if (state.role == Role::PreCandidate) {
    startElection(state);
  } else {
    becomeLeader(state);
  }
}

} // namespace

void startPreVote(ReplicaState &state) {
  state.role = Role::PreCandidate;
  state.preVoteStarted = state.now;
  state.leader = base::NoDaemon;
  state.votes.clear();
  if (!state.hasHeardLeader)
    ++state.earlyPreVotes;
  resetElectionDeadline(state);
  requestFromVoters(state, MessageKind::PreVoteRequest, state.hardState.term + 1);
  countVote(state, state.options.self);
}

void startElection(ReplicaState &state) {
  state.role = Role::Candidate;
  state.leader = base::NoDaemon;
  state.votes.clear();
  setHardState(state, {state.hardState.term + 1, state.options.self});
  resetElectionDeadline(state);
  requestFromVoters(state, MessageKind::VoteRequest, state.hardState.term);
}

void countOwnVote(ReplicaState &state) {
  if (state.role == Role::Candidate && state.outbox.isConfirmed(state.hardStateWrite)) {
    countVote(state, state.options.self);
  }
}

void handlePreVoteRequest(ReplicaState &state, const Message &message) {
  Message response = makeMessage(state, MessageKind::PreVoteResponse, message.from);
  const bool rivals = isRival(state, message);
  const bool granted = message.term >= state.hardState.term && !hearsLeader(state) &&
                       mayVoteFor(state, message) && !(rivals && refusesRival(state, message));
  if (granted && rivals) {
    becomeFollower(state, state.hardState.term, base::NoDaemon);
  }
  response.reject = !granted;
  if (granted) {
    response.term = message.term;
  }
  state.outbox.send(std::move(response));
}

void handlePreVoteResponse(ReplicaState &state, const Message &message) {
  if (state.role == Role::PreCandidate && !message.reject &&
      message.term == state.hardState.term + 1) {
    countVote(state, message.from);
  }
}

void handleVoteRequest(ReplicaState &state, const Message &message) {
  Message response = makeMessage(state, MessageKind::VoteResponse, message.from);
  const bool granted = mayVoteFor(state, message);
  response.reject = !granted;
  if (granted) {
    if (state.role == Role::PreCandidate) {
      becomeFollower(state, message.term, base::NoDaemon);
    }
    setHardState(state, {state.hardState.term, message.from});
    resetElectionDeadline(state);
  }
  sendAfterHardState(state, std::move(response));
}

void handleVoteResponse(ReplicaState &state, const Message &message) {
  if (state.role == Role::Candidate && !message.reject) {
    countVote(state, message.from);
  }
}

} // namespace banyanrill::consensus
