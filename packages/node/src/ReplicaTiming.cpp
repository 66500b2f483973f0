#include "ReplicaTiming.h"

#include "ReplicaSender.h"
#include "banyanrill/base/TransferTime.h"

namespace banyanrill::node {

base::Duration transferTime(std::uint64_t bytes) {
  return base::transferTime(bytes, MinPeerBytesPerSecond);
}

consensus::ReplicaOptions replicaOptions(base::DaemonId self) {
  consensus::ReplicaOptions options;
  options.self = self;
  // An election must end well within the leases of running tasks, and callers wait for it.
  options.heartbeatInterval = std::chrono::milliseconds(120);
  options.electionTimeoutMin = std::chrono::milliseconds(600);
  options.electionTimeoutMax = std::chrono::milliseconds(1100);
  options.firstElectionTimeoutMin = std::chrono::milliseconds(150);
  options.firstElectionTimeoutMax = std::chrono::milliseconds(500);
  options.minPeerBytesPerSecond = MinPeerBytesPerSecond;
  options.maxAppendBytes = ReplicaSender::MaxBytesInFlight / 2;
  options.snapshotChunkBytes = ReplicaSender::MaxBytesInFlight;
  return options;
}

} // namespace banyanrill::node
