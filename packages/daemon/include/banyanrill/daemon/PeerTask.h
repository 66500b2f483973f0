// The task that owns the sockets between daemons, over nng.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/daemon/Action.h"

#include <functional>
#include <memory>

namespace banyanrill::daemon {

/// Owns one listening socket and one sending socket for each peer.
class PeerTask {
public:
  /// \param receive called on a thread of nng with each valid message, one at a time.
  /// Errors: Unavailable if the address cannot be used.
  static base::Result<std::unique_ptr<PeerTask>> start(const Config &config,
                                                       std::uint64_t incarnation,
                                                       std::function<void(wire::Envelope)> receive);
  ~PeerTask();

  /// Queues a message; drops it if the peer's queue is full. Thread-safe.
  void send(base::DaemonId to, wire::Body body);

  /// Bytes of encoded messages so far, without the transport's own.
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

private:
  struct State;
  explicit PeerTask(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::daemon
