// The replica messages that wait for each peer, and the calls that carry them. Does no I/O and
// reads no clock.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/consensus/Message.h"

#include <array>
#include <deque>
#include <map>
#include <vector>

namespace banyanrill::node {

/// Heartbeats, votes and acknowledgements have calls of their own, so that they don't wait behind
/// entries and snapshots.
enum class ReplicaTraffic : std::uint8_t { Control, Bulk };

/// What a call's end is reported with.
struct ReplicaCallId {
  base::DaemonId to = base::NoDaemon;
  ReplicaTraffic traffic = ReplicaTraffic::Control;
  std::uint64_t bytes = 0; ///< Of its entries and snapshots.

  bool operator==(const ReplicaCallId &) const = default;
};

/// One call to a peer.
struct ReplicaCall {
  ReplicaCallId id;
  std::vector<consensus::Message> messages;
  base::Duration timeout{};

  bool operator==(const ReplicaCall &) const = default;
};

/// Of the calls to one peer, since this node's start.
struct ReplicaCallCounters {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0; ///< Calls without an answer; their messages may be lost.
  std::uint64_t bytes = 0;    ///< Of the entries and snapshots in the calls.

  bool operator==(const ReplicaCallCounters &) const = default;
};

/// Not thread-safe: owned by the node's task.
class ReplicaSender {
public:
  /// Payload on its way to one peer, unless a single message is larger. A link that carries a
  /// region's whole traffic needs a fraction of the call's time limit for it.
  static constexpr std::uint64_t MaxBytesInFlight = std::uint64_t{256} * 1024;

  void enqueue(consensus::Message message);

  /// Drops what waits for the peer, for one without an address. The protocol tolerates loss.
  void drop(base::DaemonId to);

  /// Returns the calls to make now. Each is followed by one `onCallEnded`.
  std::vector<ReplicaCall> takeCalls();

  /// What waits behind a failed call with entries is dropped: the peer could not append it, and the
  /// replica sends it again. Precondition: `takeCalls` returned this call, which has not ended yet.
  void onCallEnded(const ReplicaCallId &call, bool wasAnswered);

  /// Peers for which messages wait.
  std::vector<base::DaemonId> waitingPeers() const;

  const std::map<base::DaemonId, ReplicaCallCounters> &counters() const { return this->counts; }

private:
  struct Queue {
    std::deque<consensus::Message> waiting;
    std::uint32_t callsInFlight = 0;
    std::uint64_t bytesInFlight = 0;
  };
  using Queues = std::array<Queue, 2>; ///< By `ReplicaTraffic`.

  std::map<base::DaemonId, Queues> peers;
  std::map<base::DaemonId, ReplicaCallCounters> counts;
};

} // namespace banyanrill::node
