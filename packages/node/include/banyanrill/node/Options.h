// What a node must be told to run.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/http/Loop.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanrill::node {

struct NodeOptions {
  std::string name; ///< In logs.
  std::string dataCentre;
  std::string region;
  http::Listener peer;
  std::string
      advertisedAddress; ///< host:port at which other nodes reach `peer`; empty: as it listens.
  std::optional<http::Listener> control;
  std::optional<http::Listener> front;
  std::optional<http::Listener> ready;
  std::optional<http::Listener> metrics;
  std::vector<std::string> seeds;    ///< host:port of the peer listeners of some daemons.
  std::string dataFolder;            ///< Empty: this node stores nothing and does not vote.
  bool firstStart = false;           ///< The whole system starts for the first time.
  std::size_t toleratedFailures = 0; ///< Nodes with a disk that may be lost at the same time.
  base::Duration stopGrace = std::chrono::milliseconds(400);
  base::Duration gangTimeout = std::chrono::milliseconds(3000);
  base::Duration drainTime = std::chrono::milliseconds(4500); ///< From SIGTERM to the end.
  base::Duration maxLease = std::chrono::milliseconds(10000);

  bool operator==(const NodeOptions &) const = default;
};

} // namespace banyanrill::node
