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
  double remotePenalty = 1.5;  ///< As in the dispatcher's options.

  /// Whether a withdrawn key is out everywhere after `revocationTime`, also at nodes that are cut
  /// off; without it, after `configurationTime` at nodes in touch.
  bool strictRevocation = false;
  base::Duration revocationTime = std::chrono::milliseconds(5000);
  base::Duration configurationTime = std::chrono::milliseconds(3000);
  double quotaTolerance = 0.1; ///< Share of a workspace's limit that gangs may use beyond it.

  /// How old the proof of its leadership may be when a leader answers a request with a key: 0.4 of
  /// the time allowed, since the rest has to cover the differences of the machines' clocks.
  base::Duration authorityMaxAge() const {
    return (this->strictRevocation ? this->revocationTime : this->configurationTime) * 2 / 5;
  }

  bool operator==(const NodeOptions &) const = default;
};

} // namespace banyanrill::node
