// Messages between the daemons of a cell with automatic member discovery, sent as HTTP requests and
// replies.
#pragma once

#include "banyanrill/consensus/Message.h"
#include "banyanrill/jobs/Api.h"
#include "banyanrill/jobs/Orders.h"
#include "banyanrill/membership/PeerDirectory.h"

#include <variant>

namespace banyanrill::wire {

struct ReplicaMessages {
  std::vector<consensus::Message> messages;
  bool operator==(const ReplicaMessages &) const = default;
};

/// A request that another daemon received, passed to the leader.
struct ForwardedRequest {
  std::uint64_t requestId = 0; ///< For the logs of both daemons.
  jobs::Request request;
  std::uint64_t minimumTerm = 0; ///< The leader must be of this term or a later one.
  bool operator==(const ForwardedRequest &) const = default;
};

/// Asks a daemon to call the advisory service.
struct AdviceRequest {
  jobs::StepKey step;
  std::vector<std::string> workers;
  std::int64_t expectedMs = 0;
  bool operator==(const AdviceRequest &) const = default;
};

/// The leader's orders, which another daemon delivers to the workers.
struct RelayedOrders {
  std::uint64_t term = 0;
  std::string replyAddress; ///< host:port of the leader's peer listener.
  std::vector<jobs::WorkerOrder> orders;
  bool operator==(const RelayedOrders &) const = default;
};

struct RelayedAnswers {
  std::uint64_t term = 0;
  std::vector<std::pair<jobs::OrderId, jobs::WorkerAnswer>> answers;
  bool operator==(const RelayedAnswers &) const = default;
};

using PeerRequest = std::variant<membership::PeerHeartbeat, ReplicaMessages, ForwardedRequest,
                                 AdviceRequest, RelayedOrders, RelayedAnswers>;

struct Acknowledgement {
  bool operator==(const Acknowledgement &) const = default;
};

struct ForwardedReply {
  bool isLeader = false;  ///< False: `reply` is empty, and nothing ran.
  std::uint64_t term = 0; ///< Of the leader that answered.
  jobs::Reply reply;
  bool operator==(const ForwardedReply &) const = default;
};

using PeerReply = std::variant<membership::PeerHeartbeatReply, Acknowledgement, ForwardedReply,
                               jobs::AdviceAnswer>;

} // namespace banyanrill::wire
