#include "SnapshotTransfer.h"

#include "Following.h"

#include <algorithm>
#include <utility>

namespace banyanrill::consensus {

namespace {

void install(ReplicaState &state, Snapshot snapshot) {
  if (state.log.matches(snapshot.index, snapshot.term)) {
    // The log already holds these entries; only the commit index is news.
    state.log.commitTo(snapshot.index);
    return;
  }
  state.outbox.dropAcknowledgements(0);
  state.log.install(snapshot.index, snapshot.term);
  state.memberships.install(snapshot.index, snapshot.membership);
  state.snapshot = std::make_shared<const Snapshot>(std::move(snapshot));
  state.snapshotReceived = true;
}

} // namespace

void sendChunk(ReplicaState &state, ReplicaId id, Progress &progress) {
  if (progress.waiting) {
    return;
  }
  const Snapshot &whole = *progress.snapshot;
  const std::uint64_t bytes = std::min<std::uint64_t>(state.options.snapshotChunkBytes,
                                                      whole.data.size() - progress.offset);
  Message message = makeMessage(state, MessageKind::SnapshotChunk, id);
  message.snapshot = Snapshot{whole.index, whole.term, whole.membership,
                              whole.data.substr(progress.offset, bytes)};
  message.chunkOffset = progress.offset;
  message.lastChunk = progress.offset + bytes == whole.data.size();
  noteSent(progress, whole.index, bytes, state.now);
  state.outbox.send(std::move(message));
}

void handleSnapshotChunk(ReplicaState &state, const Message &message) {
  followLeader(state, message.from);
  if (!message.snapshot) {
    return;
  }
  const Index index = message.snapshot->index;
  if (index <= state.log.commitIndex()) {
    sendAcknowledgement(state, message.from, state.log.commitIndex(), 0);
    return;
  }
  const SnapshotAssembly::Result result = state.assembly.add(message);
  if (result == SnapshotAssembly::Result::Complete) {
    install(state, state.assembly.take());
    sendAcknowledgement(state, message.from, index, 0);
    return;
  }
  Message response = makeMessage(state, MessageKind::SnapshotResponse, message.from);
  response.reject = result == SnapshotAssembly::Result::Refused;
  response.logIndex = index;
  response.chunkOffset = state.assembly.nextOffset();
  sendAfterHardState(state, std::move(response));
}

void handleSnapshotResponse(ReplicaState &state, const Message &message) {
  const auto found = state.peers.find(message.from);
  if (state.role != Role::Leader || found == state.peers.end()) {
    return;
  }
  Progress &progress = found->second;
  progress.lastContact = state.now;
  if (progress.mode != ProgressMode::Snapshot || message.logIndex != progress.snapshot->index ||
      message.chunkOffset > progress.snapshot->data.size()) {
    return;
  }
  if (message.reject) {
    // Sent again with the next heartbeat, so that a peer that refuses always does not cause a
    // flood.
    progress.offset = message.chunkOffset;
    progress.bytesInFlight = 0;
    progress.waitingSince = state.now;
  } else if (message.chunkOffset > progress.offset) {
    progress.offset = message.chunkOffset;
    progress.waiting = false;
  }
}

} // namespace banyanrill::consensus
