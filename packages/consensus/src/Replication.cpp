#include "Replication.h"

#include "LeadershipTransfer.h"
#include "ReadIndex.h"
#include "SnapshotTransfer.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::consensus {

namespace {

void sendAppend(ReplicaState &state, ReplicaId id, Progress &progress, Term previousTerm) {
  Message message = makeMessage(state, MessageKind::AppendRequest, id);
  message.logIndex = progress.next - 1;
  message.logTerm = previousTerm;
  message.commit = state.log.commitIndex();
  message.readContext = state.readRound;
  message.entries = state.log.slice(progress.next, state.options.maxEntriesPerAppend,
                                    state.options.maxAppendBytes);
  if (progress.mode == ProgressMode::Replicate) {
    progress.next += message.entries.size();
  }
  noteSent(progress, progress.next - 1, payloadBytes(message), state.now);
  state.outbox.send(std::move(message));
}

// A heartbeat names only what the peer is known to hold, so that reordering never rejects it.
void sendHeartbeat(ReplicaState &state, ReplicaId id, const Progress &progress) {
  Message message = makeMessage(state, MessageKind::AppendRequest, id);
  if (const auto term = state.log.termAt(progress.match)) {
    message.logIndex = progress.match;
    message.logTerm = *term;
  }
  message.commit = std::min(state.log.commitIndex(), message.logIndex);
  message.readContext = state.readRound;
  state.outbox.send(std::move(message));
}

void sendToPeer(ReplicaState &state, ReplicaId id, Progress &progress) {
  while (progress.mode != ProgressMode::Snapshot) {
    if (progress.mode == ProgressMode::Probe && progress.waiting) {
      return;
    }
    if (progress.mode == ProgressMode::Replicate &&
        (progress.next > state.log.lastIndex() ||
         progress.inFlight.size() >= state.options.maxInFlightAppends)) {
      return;
    }
    const std::optional<Term> previousTerm = state.log.termAt(progress.next - 1);
    if (!previousTerm) {
      assert(state.snapshot && state.snapshot->index == state.log.baseIndex());
      startSnapshot(progress, state.snapshot);
      break;
    }
    sendAppend(state, id, progress, *previousTerm);
  }
  sendChunk(state, id, progress);
}

bool hasQuorumContact(const ReplicaState &state) {
  std::set<ReplicaId> active;
  if (!state.outbox.isWriting() ||
      state.now - state.outbox.writingSince() < state.options.electionTimeoutMax) {
    active.insert(state.options.self);
  } else {
    // A leader whose disk does not answer accepts entries that it can never deliver.
    return false;
  }
  for (const auto &[id, progress] : state.peers) {
    if (state.now - progress.lastContact < state.options.electionTimeoutMin) {
      active.insert(id);
    }
  }
  return isMajority(state, active);
}

void handleReject(ReplicaState &state, const Message &message, Progress &progress) {
  // A rejection that lies before what the peer acknowledged is an old message.
  if (progress.mode == ProgressMode::Snapshot || message.logIndex < progress.match) {
    return;
  }
  Index hint = message.logIndex;
  if (hint >= state.log.firstIndex()) {
    hint = state.log.lastAtMost(hint, message.logTerm);
  }
  // The peer's log already differs at the base of this one, so only a snapshot can help.
  if (hint == state.log.baseIndex() && state.log.termAt(hint).value() > message.logTerm) {
    --hint;
  }
  const Index next = std::min(hint, state.log.lastIndex()) + 1;
  // Of several appends that were rejected for the same gap, the first has started this probe.
  if (progress.mode == ProgressMode::Probe && progress.waiting && next == progress.next) {
    return;
  }
  ++progress.repeats;
  startProbe(progress, next);
}

} // namespace

void becomeLeader(ReplicaState &state) {
  assert(state.role == Role::Candidate);
  assert(state.hardState.votedFor == state.options.self);
  state.role = Role::Leader;
  state.hasHeardLeader = true;
  state.leader = state.options.self;
  state.votes.clear();
  state.peers.clear();
  state.pendingReads.clear();
  state.readRound = 0;
  state.transfer.reset();
  state.nextHeartbeat = state.now + state.options.heartbeatInterval;
  state.termStart = state.log.lastIndex() + 1;
  updatePeers(state);
  Entry first;
  first.index = state.termStart;
  first.term = state.hardState.term;
  // Learners receive the membership only through the log, so the first leader records it there.
  if (state.memberships.currentIndex() == 0) {
    first.kind = EntryKind::Membership;
    first.payload = encodeMembership(state.memberships.current());
  }
  appendEntry(state, std::move(first));
}

void updatePeers(ReplicaState &state) {
  const Membership &membership = state.memberships.current();
  std::erase_if(state.peers, [&membership](const auto &peer) {
    return !isVoter(membership, peer.first) && !isLearner(membership, peer.first);
  });
  const auto add = [&state](ReplicaId id) {
    if (id == state.options.self || state.peers.count(id) != 0) {
      return;
    }
    Progress progress;
    progress.next = state.log.lastIndex() + 1;
    progress.lastContact = state.now;
    progress.waitingSince = state.now;
    state.peers.emplace(id, std::move(progress));
  };
  std::for_each(membership.voters.begin(), membership.voters.end(), add);
  std::for_each(membership.learners.begin(), membership.learners.end(), add);
}

void sendToPeers(ReplicaState &state) {
  if (state.role != Role::Leader) {
    return;
  }
  for (auto &[id, progress] : state.peers) {
    if (state.heartbeatWanted) {
      sendHeartbeat(state, id, progress);
    }
    sendToPeer(state, id, progress);
  }
  state.heartbeatWanted = false;
}

void advanceCommit(ReplicaState &state) {
  if (state.role != Role::Leader) {
    return;
  }
  std::vector<Index> held;
  for (const ReplicaId id : state.memberships.current().voters) {
    held.push_back(id == state.options.self ? state.log.durableIndex() : state.peers.at(id).match);
  }
  std::sort(held.begin(), held.end());
  const Index index = held[(held.size() - 1) / 2];
  // An entry of an earlier term may still be replaced although a majority holds it.
  if (index <= state.log.commitIndex() || !state.log.matches(index, state.hardState.term)) {
    return;
  }
  state.log.commitTo(index);
  state.heartbeatWanted = true;
  assignReadIndexes(state);
  if (!selfIsVoter(state) && state.memberships.currentIndex() <= index) {
    // The remaining members must learn that the removal of this leader is committed.
    sendToPeers(state);
    becomeFollower(state, state.hardState.term, base::NoDaemon);
  }
}

void tickLeader(ReplicaState &state) {
  if (!hasQuorumContact(state)) {
    becomeFollower(state, state.hardState.term, base::NoDaemon);
    return;
  }
  if (state.transfer && state.now >= state.transfer->deadline) {
    state.transfer.reset();
  }
  if (state.now < state.nextHeartbeat) {
    return;
  }
  state.nextHeartbeat = state.now + state.options.heartbeatInterval;
  state.heartbeatWanted = true;
  for (auto &[id, progress] : state.peers) {
    // A peer that does not answer gets heartbeats only: repeated entries would fill its send queue.
    if (state.now - progress.lastContact < state.options.electionTimeoutMin)
      retryIfStalled(progress, state.options.heartbeatInterval, state.options.minPeerBytesPerSecond,
                     state.now);
  }
  continueTransfer(state);
}

void handleAppendResponse(ReplicaState &state, const Message &message) {
  const auto found = state.peers.find(message.from);
  if (state.role != Role::Leader || found == state.peers.end()) {
    return;
  }
  Progress &progress = found->second;
  progress.lastContact = state.now;
  progress.readRound = std::max(progress.readRound, message.readContext);
  if (message.reject) {
    handleReject(state, message, progress);
  } else {
    assert(message.logIndex <= state.log.lastIndex() && "a peer holds more than its leader");
    acknowledge(progress, message.logIndex, state.log.termAt(message.logIndex).has_value(),
                state.now);
    advanceCommit(state);
    continueTransfer(state);
  }
  releaseReads(state);
}

} // namespace banyanrill::consensus
