#include "banyanrill/consensus/Replica.h"

#include "Election.h"
#include "Following.h"
#include "LeadershipTransfer.h"
#include "ReadIndex.h"
#include "ReplicaState.h"
#include "Replication.h"
#include "SnapshotTransfer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace banyanrill::consensus {

struct Replica::State : ReplicaState {
  using ReplicaState::ReplicaState;
};

namespace {

// A clock reading that was taken earlier than the last one changes nothing.
void advanceClock(ReplicaState &state, base::TimePoint now) {
  state.now = std::max(state.now, now);
}

bool isFromLeader(MessageKind kind) {
  return kind == MessageKind::AppendRequest || kind == MessageKind::SnapshotChunk ||
         kind == MessageKind::TimeoutNow;
}

// Tells a sender with an old term about the current one, so that it stops acting in the old one.
void answerOldTerm(ReplicaState &state, const Message &message) {
  MessageKind kind = MessageKind::AppendResponse;
  if (message.kind == MessageKind::PreVoteRequest) {
    kind = MessageKind::PreVoteResponse;
  } else if (message.kind == MessageKind::VoteRequest) {
    kind = MessageKind::VoteResponse;
  } else if (!isFromLeader(message.kind)) {
    return;
  }
  Message response = makeMessage(state, kind, message.from);
  response.reject = true;
  sendAfterHardState(state, std::move(response));
}

void dispatch(ReplicaState &state, const Message &message) {
  switch (message.kind) {
  case MessageKind::PreVoteRequest:
    handlePreVoteRequest(state, message);
    break;
  case MessageKind::PreVoteResponse:
    handlePreVoteResponse(state, message);
    break;
  case MessageKind::VoteRequest:
    handleVoteRequest(state, message);
    break;
  case MessageKind::VoteResponse:
    handleVoteResponse(state, message);
    break;
  case MessageKind::AppendRequest:
    handleAppendRequest(state, message);
    break;
  case MessageKind::AppendResponse:
    handleAppendResponse(state, message);
    break;
  case MessageKind::SnapshotChunk:
    handleSnapshotChunk(state, message);
    break;
  case MessageKind::SnapshotResponse:
    handleSnapshotResponse(state, message);
    break;
  case MessageKind::TimeoutNow:
    handleTimeoutNow(state, message);
    break;
  }
}

bool isUncommittedFull(const ReplicaState &state) {
  return state.log.lastIndex() - state.log.commitIndex() >= state.options.maxUncommittedEntries;
}

// A learner that lacks more than what may be in flight, or more entries than one append, would
// stall commits if its vote were needed, and one that has stored nothing in this term may have no
// disk that works: its vote would be lost for good together with that of the voter that it
// replaces.
bool isLagging(const ReplicaState &state, ReplicaId peer) {
  const Index match = state.peers.at(peer).match;
  const Index commit = state.log.commitIndex();
  if (match < state.termStart || match < state.log.baseIndex() ||
      match + state.options.maxEntriesPerAppend < commit) {
    return true;
  }
  const std::uint64_t maxBytes = state.options.maxInFlightAppends * state.options.maxAppendBytes;
  std::uint64_t bytes = 0;
  for (Index index = match + 1; index <= commit; ++index) {
    bytes += state.log.at(index).payload.size();
  }
  return bytes > maxBytes;
}

bool promotesLaggingLearner(const ReplicaState &state, const Membership &membership) {
  return std::any_of(membership.voters.begin(), membership.voters.end(), [&state](ReplicaId id) {
    return isLearner(state.memberships.current(), id) && isLagging(state, id);
  });
}

} // namespace

Replica::Replica(ReplicaOptions options, Membership initial, StoredState stored,
                 base::RandomSource random, base::TimePoint now)
    : state(std::make_unique<State>(options, std::move(initial), std::move(stored), random, now)) {}

Replica::~Replica() = default;
Replica::Replica(Replica &&) noexcept = default;
Replica &Replica::operator=(Replica &&) noexcept = default;

void Replica::tick(base::TimePoint now) {
  advanceClock(*this->state, now);
  if (this->state->role == Role::Leader) {
    tickLeader(*this->state);
    return;
  }
  if (this->state->now < this->state->electionDeadline) {
    return;
  }
  if (selfIsVoter(*this->state)) {
    startPreVote(*this->state);
  } else {
    becomeFollower(*this->state, this->state->hardState.term, base::NoDaemon);
  }
}

void Replica::step(const Message &message, base::TimePoint now) {
  advanceClock(*this->state, now);
  if (message.to != this->state->options.self || message.from == message.to ||
      message.from == base::NoDaemon) {
    return;
  }
  // Pre-votes name a term that the candidate has not entered.
  const bool prospective = message.kind == MessageKind::PreVoteRequest ||
                           (message.kind == MessageKind::PreVoteResponse && !message.reject);
  const Term current = this->state->hardState.term;
  if (message.term < current) {
    answerOldTerm(*this->state, message);
    return;
  }
  if (message.term > current && !prospective) {
    becomeFollower(*this->state, message.term,
                   isFromLeader(message.kind) ? message.from : base::NoDaemon);
  }
  dispatch(*this->state, message);
}

ProposeResult Replica::propose(std::string payload, base::TimePoint now, Index &index, Term &term) {
  advanceClock(*this->state, now);
  if (this->state->role != Role::Leader) {
    return ProposeResult::NotLeader;
  }
  if (this->state->transfer || isUncommittedFull(*this->state)) {
    return ProposeResult::Busy;
  }
  index = this->state->log.lastIndex() + 1;
  term = this->state->hardState.term;
  appendEntry(*this->state, {index, term, EntryKind::Command, std::move(payload)});
  return ProposeResult::Accepted;
}

ProposeResult Replica::proposeMembership(const Membership &membership, base::TimePoint now) {
  advanceClock(*this->state, now);
  if (this->state->role != Role::Leader) {
    return ProposeResult::NotLeader;
  }
  if (this->state->memberships.currentIndex() > this->state->log.commitIndex()) {
    return ProposeResult::MembershipChangePending;
  }
  // Two leaders of different terms could otherwise change the same membership to two memberships
  // whose majorities do not overlap.
  if (this->state->log.commitIndex() < this->state->termStart) {
    return ProposeResult::Busy;
  }
  if (!isSingleChange(this->state->memberships.current(), membership)) {
    return ProposeResult::Invalid;
  }
  if (this->state->transfer || isUncommittedFull(*this->state) ||
      promotesLaggingLearner(*this->state, membership)) {
    return ProposeResult::Busy;
  }
  Entry entry{this->state->log.lastIndex() + 1, this->state->hardState.term, EntryKind::Membership,
              encodeMembership(membership)};
  appendEntry(*this->state, std::move(entry));
  updatePeers(*this->state);
  return ProposeResult::Accepted;
}

bool Replica::requestRead(std::uint64_t context, base::TimePoint now) {
  advanceClock(*this->state, now);
  return startRead(*this->state, context);
}

void Replica::transferLeadership(base::TimePoint now) {
  advanceClock(*this->state, now);
  startTransfer(*this->state);
}

Output Replica::takeOutput() {
  ReplicaState &replica = *this->state;
  sendToPeers(replica);
  Output output;
  const bool mustStore =
      replica.hardStateChanged || replica.snapshotReceived || replica.log.hasUnwritten();
  if (mustStore && !replica.outbox.isWriting()) {
    if (std::exchange(replica.hardStateChanged, false)) {
      output.hardState = replica.hardState;
    }
    if (std::exchange(replica.snapshotReceived, false)) {
      output.snapshot = *replica.snapshot;
    }
    output.entries = replica.log.takeUnwritten();
    output.storedIndex = replica.writeIndex = replica.log.lastIndex();
    output.storedTerm = replica.writeTerm = replica.log.lastTerm();
    replica.outbox.startWrite(replica.now);
  }
  output.committed = replica.log.takeCommitted();
  output.reads = std::exchange(replica.readyReads, {});
  output.messages = replica.outbox.take();
  return output;
}

void Replica::onStored(Index index, Term term, base::TimePoint now) {
  ReplicaState &replica = *this->state;
  advanceClock(replica, now);
  assert(replica.outbox.isWriting() && "a write is confirmed once");
  assert(index == replica.writeIndex && term == replica.writeTerm);
  replica.log.confirmWritten();
  replica.outbox.confirmWrite();
  countOwnVote(replica);
  advanceCommit(replica);
  releaseReads(replica);
}

void Replica::onUndelivered(ReplicaId to) {
  const auto found = this->state->peers.find(to);
  if (found != this->state->peers.end()) {
    found->second.isLost = true;
  }
}

void Replica::compact(Snapshot snapshot) {
  ReplicaState &replica = *this->state;
  if (snapshot.index <= replica.log.baseIndex()) {
    return;
  }
  assert(replica.log.matches(snapshot.index, snapshot.term));
  assert(snapshot.membership == replica.memberships.at(snapshot.index));
  replica.log.compact(snapshot.index);
  replica.memberships.compact(snapshot.index);
  replica.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
}

Role Replica::role() const {
  if (this->state->role == Role::Follower && !selfIsVoter(*this->state)) {
    return Role::Learner;
  }
  return this->state->role;
}

ReplicaId Replica::leader() const { return this->state->leader; }
Term Replica::term() const { return this->state->hardState.term; }
Index Replica::commitIndex() const { return this->state->log.commitIndex(); }
Index Replica::firstIndex() const { return this->state->log.firstIndex(); }
Index Replica::lastIndex() const { return this->state->log.lastIndex(); }
const Membership &Replica::membership() const { return this->state->memberships.current(); }

std::vector<ReplicaId> Replica::caughtUpLearners() const {
  std::vector<ReplicaId> caughtUp;
  if (this->state->role != Role::Leader) {
    return caughtUp;
  }
  for (const ReplicaId id : this->membership().learners) {
    if (!isLagging(*this->state, id)) {
      caughtUp.push_back(id);
    }
  }
  return caughtUp;
}

std::vector<PeerProgress> Replica::laggingPeers() const {
  std::vector<PeerProgress> lagging;
  if (this->state->role != Role::Leader) {
    return lagging;
  }
  for (const auto &[id, progress] : this->state->peers) {
    if (!isLagging(*this->state, id)) {
      continue;
    }
    lagging.push_back({id, progress.match, progress.snapshot ? progress.snapshot->data.size() : 0,
                       progress.offset, progress.repeats});
  }
  return lagging;
}

const Membership &Replica::membershipAt(Index index) const {
  return this->state->memberships.at(index);
}

} // namespace banyanrill::consensus
