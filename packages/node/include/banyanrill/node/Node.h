// One daemon of a cell that learns its members: requests come in at its listenerKinds and are
// answered by the leader, wherever it is; the leader gives orders to workers.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/node/Options.h"
#include "banyanrill/node/ProtocolAdapter.h"

#include <memory>

namespace banyanrill::node {

/// Owns the event loop and the data folder. All member functions are thread-safe.
class Node {
public:
  /// Opens the data folder and the listenerKinds. Errors: Unavailable, and those of
  /// `storage::LogStore`.
  static base::Result<std::unique_ptr<Node>> start(NodeOptions options, ProtocolAdapter adapter);
  ~Node();

  /// Puts changed settings in force: the seeds; others need a restart.
  void reload(NodeOptions options);

  /// Begins a graceful stop: passes leadership on, tells that it is not ready, and closes each
  /// connection after its next answer.
  void drain();

  /// The last part of a graceful stop: new requests are refused at once, open ones are finished.
  void refuseNewRequests();

  /// Whether no request of a caller is open.
  bool isDrained() const;

private:
  struct State;
  explicit Node(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::node
