#include "ReadIndex.h"

#include <algorithm>

namespace banyanrill::consensus {

bool startRead(ReplicaState &state, std::uint64_t context) {
  if (state.role != Role::Leader || state.pendingReads.size() >= MaxPendingReads) {
    return false;
  }
  state.pendingReads.push_back({context, ++state.readRound, std::nullopt});
  state.heartbeatWanted = true;
  assignReadIndexes(state);
  releaseReads(state);
  return true;
}

void assignReadIndexes(ReplicaState &state) {
  // Before that, the commit index may lack entries that the previous leader acknowledged.
  if (state.log.commitIndex() < state.termStart) {
    return;
  }
  for (PendingRead &read : state.pendingReads) {
    if (!read.index) {
      read.index = state.log.commitIndex();
    }
  }
}

void releaseReads(ReplicaState &state) {
  if (state.role != Role::Leader) {
    return;
  }
  std::vector<std::uint64_t> rounds;
  for (const ReplicaId id : state.memberships.current().voters) {
    rounds.push_back(id == state.options.self ? state.readRound : state.peers.at(id).readRound);
  }
  std::sort(rounds.begin(), rounds.end());
  const std::uint64_t confirmed = rounds[(rounds.size() - 1) / 2];
  while (!state.pendingReads.empty() && state.pendingReads.front().index &&
         state.pendingReads.front().round <= confirmed) {
    state.readyReads.push_back(
        {state.pendingReads.front().context, *state.pendingReads.front().index});
    state.pendingReads.pop_front();
  }
}

} // namespace banyanrill::consensus
