#include "SnapshotAssembly.h"

#include <cassert>
#include <utility>

namespace banyanrill::consensus {

SnapshotAssembly::Result SnapshotAssembly::add(const Message &chunk) {
  const Snapshot &part = *chunk.snapshot;
  const bool same = this->held && this->leader == chunk.from && this->leaderTerm == chunk.term &&
                    this->held->index == part.index && this->held->term == part.term;
  if (!same) {
    this->held.reset();
    if (chunk.chunkOffset != 0) {
      return Result::Refused;
    }
    this->leader = chunk.from;
    this->leaderTerm = chunk.term;
    this->held = Snapshot{part.index, part.term, part.membership, {}};
  }
  if (chunk.chunkOffset > this->held->data.size()) {
    return Result::Refused;
  }
  if (chunk.chunkOffset < this->held->data.size()) {
    return Result::Repeated;
  }
  if (part.data.size() > this->maxBytes - this->held->data.size()) {
    this->held.reset();
    return Result::Refused;
  }
  this->held->data += part.data;
  return chunk.lastChunk ? Result::Complete : Result::Added;
}

Snapshot SnapshotAssembly::take() {
  assert(this->held);
  Snapshot snapshot = std::move(*this->held);
  this->held.reset();
  return snapshot;
}

} // namespace banyanrill::consensus
