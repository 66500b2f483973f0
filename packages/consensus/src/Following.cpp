#include "Following.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::consensus {

namespace {

bool isWellFormed(const Message &message) {
  Index index = message.logIndex;
  Term term = message.logTerm;
  for (const Entry &entry : message.entries) {
    if (entry.index != ++index || entry.term < term || entry.term > message.term) {
      return false;
    }
    if (entry.kind == EntryKind::Membership && !decodeMembership(entry.payload)) {
      return false;
    }
    term = entry.term;
  }
  return true;
}

void reject(ReplicaState &state, const Message &message) {
  Message response = makeMessage(state, MessageKind::AppendResponse, message.from);
  response.reject = true;
  response.readContext = message.readContext;
  // Skips a whole conflicting term at a time.
  response.logIndex = state.log.lastAtMost(message.logIndex, message.logTerm);
  response.logTerm = state.log.termAt(response.logIndex).value();
  sendAfterHardState(state, std::move(response));
}

void addEntries(ReplicaState &state, const std::vector<Entry> &entries) {
  for (const Entry &entry : entries) {
    if (entry.index < state.log.firstIndex()) {
      continue;
    }
    if (entry.index <= state.log.lastIndex()) {
      if (state.log.at(entry.index).term == entry.term) {
        assert(state.log.at(entry.index) == entry && "equal index and term mean equal entries");
        continue;
      }
      truncateLog(state, entry.index);
    }
    appendEntry(state, entry);
  }
}

} // namespace

void followLeader(ReplicaState &state, ReplicaId leader) {
  assert(state.role != Role::Leader && "two leaders in one term");
  assert((state.leader == base::NoDaemon || state.leader == leader) && "two leaders in one term");
  if (state.role != Role::Follower || state.leader != leader) {
    becomeFollower(state, state.hardState.term, leader);
  }
  state.lastLeaderContact = state.now;
  state.hasHeardLeader = true;
  resetElectionDeadline(state);
}

void handleAppendRequest(ReplicaState &state, const Message &message) {
  followLeader(state, message.from);
  if (!isWellFormed(message)) {
    return;
  }
  const Index last = message.logIndex + message.entries.size();
  // Committed entries match the log of every later leader, so they need no check.
  if (message.logIndex > state.log.commitIndex() &&
      !state.log.matches(message.logIndex, message.logTerm)) {
    reject(state, message);
    return;
  }
  addEntries(state, message.entries);
  state.log.commitTo(std::max(state.log.commitIndex(), std::min(message.commit, last)));
  sendAcknowledgement(state, message.from, std::max(last, state.log.commitIndex()),
                      message.readContext);
}

} // namespace banyanrill::consensus
