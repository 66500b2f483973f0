// Collects the chunks of one snapshot that a leader sends, up to a bound.
#pragma once

#include "banyanrill/consensus/Message.h"

#include <optional>

namespace banyanrill::consensus {

class SnapshotAssembly {
public:
  explicit SnapshotAssembly(std::size_t byteLimit) : maxBytes(byteLimit) {}

  enum class Result : std::uint8_t { Added, Repeated, Refused, Complete };

  /// Adds a SnapshotChunk. Chunks of another leader, term or snapshot start over from offset zero:
  /// two leaders may encode the same state differently.
  Result add(const Message &chunk);
  /// Offset of the next chunk that is accepted.
  std::uint64_t nextOffset() const { return this->held ? this->held->data.size() : 0; }
  /// Precondition: the last result was Complete.
  Snapshot take();
  void clear() { this->held.reset(); }

private:
  std::size_t maxBytes;
  ReplicaId leader = base::NoDaemon;
  Term leaderTerm = 0;
  std::optional<Snapshot> held;
};

} // namespace banyanrill::consensus
