// HTTP server and client on one libwebsockets event loop with a thread of its own.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/Time.h"
#include "banyanrill/base/Verdict.h"
#include "banyanrill/http/Message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::http {

/// One request received by the server and not yet answered. Never reused.
using ExchangeId = std::uint64_t;

/// One request sent by the client.
using CallId = std::uint64_t;

/// Files for TLS in PEM form; empty: no TLS.
struct TlsFiles {
  std::string certificate;
  std::string privateKey;
  std::string clientAuthority; ///< If set, clients must present a certificate signed by it.

  bool operator==(const TlsFiles &) const = default;
};

/// What all clients of one listener may hold together. What goes beyond is refused with 503, or its
/// connection is closed; requests that are being served are not touched.
struct ReceiveLimits {
  /// Heads, bodies, requests that are not answered, and answers that are not read. The default is
  /// that of 7,000 connections.
  std::size_t memoryBytes = std::size_t(256) * 1024 * 1024;
  std::size_t connections = 16384;

  bool operator==(const ReceiveLimits &) const = default;
};

/// What the clients of one listener hold, and what was done about it since the start.
struct ReceiveUsage {
  std::size_t bytes = 0;
  std::size_t connections = 0;
  std::uint64_t refused = 0;  ///< Requests answered with 503 for the limits.
  std::uint64_t closed = 0;   ///< Connections closed for the limits, without a request.
  std::uint64_t tooLarge = 0; ///< Requests answered with 413 or 431.
  std::uint64_t withheld = 0; ///< Answers that did not fit; 503 or 504 was sent in their place.

  bool operator==(const ReceiveUsage &) const = default;
};

struct Listener {
  std::string address;
  std::uint16_t port = 0;
  /// Larger requests get 413. Unset: `LoopOptions::maxBodyBytes` holds.
  std::optional<std::size_t> maxBodyBytes = std::nullopt;
  ReceiveLimits receive = {};

  bool operator==(const Listener &) const = default;
};

struct LoopOptions {
  std::string listenAddress = "127.0.0.1";
  std::uint16_t port = 0; ///< 0: the kernel chooses; see `Loop::port`.
  /// Further addresses, without TLS; `Request::listener` tells where a request came in.
  std::vector<Listener> moreListeners;
  bool serve = true; ///< False: client only.
  TlsFiles tls;
  /// Larger requests get 413, except at listeners with a limit of their own.
  std::size_t maxBodyBytes = std::size_t(1024) * 1024;
  std::size_t maxHeadBytes =
      std::size_t(16) * 1024;      ///< Larger heads get 431 or a closed connection.
  std::size_t maxExchanges = 4096; ///< More open requests get 503 at once.
  ReceiveLimits receive;           ///< Of the first listener; the others have their own.
  /// A caller that sends its head or body more slowly than this is disconnected; it would hold a
  /// connection.
  base::Duration receiveTimeout = std::chrono::seconds(10);
  /// Idle connections of callers are closed after this time.
  base::Duration keepAliveTimeout = std::chrono::seconds(60);
  /// Lower-case names of non-standard headers that are passed on. libwebsockets 4.1 can look up an
  /// unregistered header by name but cannot list those it received; others are dropped.
  std::vector<std::string> customHeaders = {
      "idempotency-key",      "banyanrill-deadline-ms", "banyanrill-request-id",
      "banyanrill-verdict",   "banyanrill-upstream",    "banyanrill-worker",
      "banyanrill-demand",    "banyanrill-change-id",   "banyanrill-owner",
      "banyanrill-passed-by", "banyanrill-replayed",    "x-request-id",
      "traceparent",
  };
};

/// A request to an upstream or, from the operators' client, to a daemon.
struct Call {
  std::string host; ///< Numeric address.
  std::uint16_t port = 0;
  bool tls = false;
  std::string tlsAuthority; ///< PEM file of the authority that must have signed the server.
  Request request;
  base::Duration timeout = std::chrono::seconds(10); ///< From the call to the end of the answer.
  std::size_t maxResponseBytes = std::size_t(8) * 1024 * 1024;

  bool operator==(const Call &) const = default;
};

/// Result of a call. Only a complete answer has the verdict Ran; a failure before any byte of the
/// request was written is DidNotRun; everything else is MayHaveRun.
struct CallResult {
  base::Verdict verdict = base::Verdict::MayHaveRun;
  Response response; ///< Complete if the verdict is Ran, else empty.
  std::string failure;

  bool operator==(const CallResult &) const = default;
};

/// Called on the loop's thread; must not block. Usually they post to a mailbox.
struct LoopHandlers {
  std::function<void(ExchangeId, Request)> onRequest;
  std::function<void(ExchangeId)> onDisconnect; ///< The caller has gone before the answer.
  std::function<void(CallId, CallResult)> onCallResult;
  /// The time given to `Loop::wakeAt` has come.
  std::function<void()> onWake;
};

/// Owns the event loop, its sockets and its thread. All member functions are thread-safe.
class Loop {
public:
  /// Starts the thread and listens. Errors: Unavailable (address in use), Malformed (TLS files).
  static base::Result<std::unique_ptr<Loop>> start(LoopOptions options, LoopHandlers handlers);

  /// Stops at once; use `drain` first for a graceful stop.
  ~Loop();

  std::uint16_t port() const;

  /// Answers an exchange. Ignored if the caller has gone.
  void respond(ExchangeId exchange, Response response);

  /// Closes the caller's connection without a complete answer.
  void abort(ExchangeId exchange);

  /// Sends a request; exactly one `onCallResult` follows, within the timeout. Connections to the
  /// same address are reused.
  CallId call(Call call);

  /// Gives up a call; its result is reported as MayHaveRun or DidNotRun.
  void cancel(CallId call);

  /// Runs a function on the loop's thread.
  void run(std::function<void()> function);

  /// Calls `onWake` once at this time, which replaces an earlier one. Loop thread only.
  void wakeAt(base::TimePoint time);

  /// From now on each connection is closed after its next answer, so that callers move elsewhere.
  void closeAfterAnswers();

  /// Stops accepting connections and requests (503 with `Connection: close`); open exchanges go on.
  void drain();

  /// Exchanges that are not yet answered and flushed to their callers.
  std::size_t openExchanges() const;

  /// By number of the listener, as in `Request::listener`. Loop thread only.
  std::vector<ReceiveUsage> receiveUsage() const;

private:
  struct State;
  explicit Loop(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::http
