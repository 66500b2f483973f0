// Options of a node.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/http/Loop.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanrill::node {

struct NodeOptions {
  std::string name; ///< Appears in log lines.
  std::string dataCentre;
  std::string region;
  http::Listener peer;
  std::string advertisedAddress; ///< host:port at which other nodes reach `peer`; empty: the
                                 ///< listener's own address.
  std::optional<http::Listener> control;
  std::optional<http::Listener> front;
  std::optional<http::Listener> ready;
  std::optional<http::Listener> metrics;
  std::vector<std::string> seeds;    ///< host:port of the peer listeners of some daemons.
  std::string dataFolder;            ///< Empty: this node stores nothing and does not vote.
  bool firstStart = false;           ///< The whole system starts for the first time (bootstrap).
  std::size_t toleratedFailures = 0; ///< Simultaneous losses of nodes with a disk to tolerate.
  base::Duration stopGrace = std::chrono::milliseconds(400);
  base::Duration gangTimeout = std::chrono::milliseconds(3000);
  base::Duration drainTime = std::chrono::milliseconds(4500); ///< From SIGTERM to the exit.
  base::Duration maxLease = std::chrono::milliseconds(10000);
  std::size_t memoryBytes = 0; ///< That the process may use; 0: not known.
  std::size_t descriptors = 0; ///< That the process may open; 0: not known.

  bool operator==(const NodeOptions &) const = default;
};

} // namespace banyanrill::node
