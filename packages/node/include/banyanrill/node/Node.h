// One daemon of a cell whose daemons discover each other. It forwards requests to the leader, or
// answers them itself if it leads. The leader sends orders to workers.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/node/Options.h"
#include "banyanrill/node/ProtocolAdapter.h"

#include <memory>

namespace banyanrill::node {

/// Owns the event loop and the data folder. All member functions are thread-safe.
class Node {
public:
  /// Opens the data folder and the listeners. Errors: Unavailable, and those of
  /// `storage::LogStore`.
  static base::Result<std::unique_ptr<Node>> start(NodeOptions options, ProtocolAdapter adapter);
  ~Node();

  /// Applies the changed seeds; all other settings need a restart.
  void reload(NodeOptions options);

  /// Begins a graceful stop: transfers leadership, reports the node as not ready, and closes each
  /// connection after its next response.
  void drain();

  /// Last phase of a graceful stop: refuses new requests at once; open requests still finish.
  void refuseNewRequests();

  /// Returns whether no caller's request is open.
  bool isDrained() const;

private:
  struct State;
  explicit Node(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::node
