#include "LeadershipTransfer.h"

#include "Election.h"

namespace banyanrill::consensus {

void startTransfer(ReplicaState &state) {
  if (state.role != Role::Leader || state.transfer) {
    return;
  }
  ReplicaId target = base::NoDaemon;
  for (const auto &[id, progress] : state.peers) {
    if (!isVoter(state.memberships.current(), id) ||
        state.now - progress.lastContact >= state.options.electionTimeoutMin) {
      continue;
    }
    if (target == base::NoDaemon || progress.match > state.peers.at(target).match) {
      target = id;
    }
  }
  if (target == base::NoDaemon) {
    return;
  }
  // Within this time the target has either won or does not answer.
  state.transfer = LeadershipTransfer{target, state.now + state.options.electionTimeoutMax};
  continueTransfer(state);
}

void continueTransfer(ReplicaState &state) {
  if (state.role != Role::Leader || !state.transfer) {
    return;
  }
  const auto found = state.peers.find(state.transfer->target);
  if (found == state.peers.end()) {
    state.transfer.reset();
    return;
  }
  if (found->second.match == state.log.lastIndex()) {
    state.outbox.send(makeMessage(state, MessageKind::TimeoutNow, found->first));
  }
}

void handleTimeoutNow(ReplicaState &state, const Message &message) {
  if (state.role == Role::Follower && state.leader == message.from && selfIsVoter(state)) {
    startElection(state);
  }
}

} // namespace banyanrill::consensus
