// One daemon of a cell that learns its members: requests come in at its doors and are answered by
// the leader, wherever it is; the leader gives orders to workers.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/node/Dialect.h"
#include "banyanrill/node/Options.h"

#include <memory>

namespace banyanrill::node {

/// Owns the event loop and the data folder. All member functions are thread-safe.
class Node {
public:
  /// Opens the data folder and the doors. Errors: Unavailable, and those of `storage::LogStore`.
  static base::Result<std::unique_ptr<Node>> start(NodeOptions options, Dialect dialect);
  ~Node();

  /// Puts changed settings in force: the seeds; others need a restart.
  void reload(NodeOptions options);

  /// Begins a graceful stop: passes leadership on, takes no new channels, finishes open requests.
  void drain();

  /// Whether a graceful stop has nothing more to wait for.
  bool isDrained() const;

private:
  struct State;
  explicit Node(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::node
