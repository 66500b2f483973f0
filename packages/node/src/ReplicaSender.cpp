#include "ReplicaSender.h"

#include "ReplicaTiming.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace banyanrill::node {

namespace {

/// Of a call without payload. The protocol repeats replica messages, so a longer one gains nothing.
constexpr base::Duration CallTimeout = std::chrono::milliseconds(500);

/// Concurrent calls of one kind of traffic to one peer; further messages wait and share a call.
constexpr std::uint32_t MaxCallsInFlight = 3;

/// Messages of one kind of traffic queued for one peer; the oldest are dropped, which the protocol
/// tolerates like packet loss.
constexpr std::size_t MaxWaiting = 256;

constexpr std::array Traffics = {ReplicaTraffic::Control, ReplicaTraffic::Bulk};

std::size_t indexOf(ReplicaTraffic traffic) { return static_cast<std::size_t>(traffic); }

/// Takes the messages that may be on their way now, in their order.
void fill(ReplicaCall &call, std::deque<consensus::Message> &waiting, std::uint64_t bytesInFlight) {
  while (!waiting.empty()) {
    const std::uint64_t next = consensus::payloadBytes(waiting.front());
    const std::uint64_t before = bytesInFlight + call.id.bytes;
    if (before > 0 && before + next > ReplicaSender::MaxBytesInFlight)
      return;
    call.id.bytes += next;
    call.messages.push_back(std::move(waiting.front()));
    waiting.pop_front();
  }
}

} // namespace

void ReplicaSender::enqueue(consensus::Message message) {
  const ReplicaTraffic traffic =
      consensus::payloadBytes(message) > 0 ? ReplicaTraffic::Bulk : ReplicaTraffic::Control;
  std::deque<consensus::Message> &waiting = this->peers[message.to][indexOf(traffic)].waiting;
  waiting.push_back(std::move(message));
  if (waiting.size() > MaxWaiting)
    waiting.pop_front();
}

void ReplicaSender::drop(base::DaemonId to) {
  for (Queue &queue : this->peers[to])
    queue.waiting.clear();
}

std::vector<ReplicaCall> ReplicaSender::takeCalls() {
  std::vector<ReplicaCall> calls;
  for (auto &[id, queues] : this->peers) {
    for (const ReplicaTraffic traffic : Traffics) {
      Queue &queue = queues[indexOf(traffic)];
      if (queue.callsInFlight >= MaxCallsInFlight)
        continue;
      ReplicaCall call{{id, traffic, 0}, {}, CallTimeout};
      fill(call, queue.waiting, queue.bytesInFlight);
      if (call.messages.empty())
        continue;
      ++queue.callsInFlight;
      queue.bytesInFlight += call.id.bytes;
      // The calls that are on their way share the link.
      call.timeout += transferTime(queue.bytesInFlight);
      ++this->counts[id].calls;
      this->counts[id].bytes += call.id.bytes;
      calls.push_back(std::move(call));
    }
  }
  return calls;
}

void ReplicaSender::onCallEnded(const ReplicaCallId &call, bool wasAnswered) {
  Queue &queue = this->peers.at(call.to)[indexOf(call.traffic)];
  assert(queue.callsInFlight > 0 && queue.bytesInFlight >= call.bytes);
  --queue.callsInFlight;
  queue.bytesInFlight -= call.bytes;
  if (wasAnswered)
    return;
  ++this->counts[call.to].failures;
  if (call.traffic == ReplicaTraffic::Bulk)
    queue.waiting.clear();
}

std::vector<base::DaemonId> ReplicaSender::waitingPeers() const {
  std::vector<base::DaemonId> ids;
  for (const auto &[id, queues] : this->peers) {
    const bool waits = std::any_of(queues.begin(), queues.end(),
                                   [](const Queue &queue) { return !queue.waiting.empty(); });
    if (waits)
      ids.push_back(id);
  }
  return ids;
}

} // namespace banyanrill::node
