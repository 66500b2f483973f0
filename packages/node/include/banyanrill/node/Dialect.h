// The edge between the node and an outside protocol: pure translations that an adapter provides.
#pragma once

#include "banyanrill/http/Loop.h"
#include "banyanrill/jobs/Orders.h"
#include "banyanrill/wire/Peer.h"

#include <functional>
#include <variant>

namespace banyanrill::node {

/// Where a request came in.
enum class Door : std::uint8_t { Peer, Control, Front, Ready, Metrics };

/// Functions are called on the node's thread only and keep no state.
struct Dialect {
  /// A typed request, or the refusal of one that cannot be read.
  std::function<std::variant<jobs::Request, http::Response>(Door, const http::Request &)> decode;
  std::function<http::Response(const jobs::Request &, const jobs::Reply &)> encode;
  /// How long the caller waits for its answer.
  std::function<base::Duration(Door, const http::Request &)> patience;

  std::function<http::Call(const jobs::StartOrder &)> start;
  std::function<http::Call(const jobs::StopOrder &)> stop;
  std::function<http::Call(const jobs::PaceOrder &)> pace;
  std::function<http::Call(const jobs::HoldOrder &)> hold;
  std::function<jobs::OrderAnswer(const http::CallResult &)> orderAnswer;
  std::function<jobs::HoldAnswer(const http::CallResult &)> holdAnswer;

  std::function<http::Call(const wire::AdviceRequest &)> advise;
  std::function<jobs::AdviceAnswer(const http::CallResult &)> adviceAnswer;
};

} // namespace banyanrill::node
