// Translation between the node and an external protocol: pure functions that an adapter provides.
#pragma once

#include "banyanrill/http/Loop.h"
#include "banyanrill/jobs/Orders.h"
#include "banyanrill/wire/Peer.h"

#include <functional>
#include <variant>

namespace banyanrill::node {

/// The listener on which a request arrived.
enum class ListenerKind : std::uint8_t { Peer, Control, Front, Ready, Metrics };

/// The functions are called on the node's thread only and must be stateless.
struct ProtocolAdapter {
  /// Returns the typed request, or the error response if the request is malformed.
  std::function<std::variant<jobs::Request, http::Response>(ListenerKind, const http::Request &)>
      decodeRequest;
  std::function<http::Response(const jobs::Request &, const jobs::Reply &)> encodeReply;
  /// Returns how long the caller waits for the response.
  std::function<base::Duration(ListenerKind, const http::Request &)> callerTimeout;

  std::function<http::Call(const jobs::StartOrder &)> encodeStart;
  std::function<http::Call(const jobs::StopOrder &)> encodeStop;
  std::function<http::Call(const jobs::ThrottleOrder &)> encodePace;
  std::function<http::Call(const jobs::RenewLeaseOrder &)> encodeHold;
  std::function<jobs::OrderAnswer(const http::CallResult &)> decodeOrderAnswer;
  std::function<jobs::RenewLeaseAnswer(const http::CallResult &)> decodeHoldAnswer;

  std::function<http::Call(const wire::AdviceRequest &)> encodeAdviceRequest;
  std::function<jobs::AdviceAnswer(const http::CallResult &)> decodeAdviceAnswer;
};

} // namespace banyanrill::node
