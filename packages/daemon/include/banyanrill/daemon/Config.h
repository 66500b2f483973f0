// The daemon's settings file.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/EventLog.h"
#include "banyanrill/base/Identifier.h"
#include "banyanrill/http/Loop.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanrill::daemon {

/// One daemon of the cell.
struct Peer {
  base::DaemonId daemon = base::NoDaemon;
  std::string region;
  std::string dataCentre;
  std::string address; ///< Numeric; for daemons.
  std::uint16_t peerPort = 0;
  std::uint16_t httpPort = 0;
  bool replica = false; ///< Has a disk and votes.

  bool operator==(const Peer &) const = default;
};

struct Config {
  std::string cell;
  base::DaemonId daemon = base::NoDaemon;
  std::vector<Peer> peers; ///< All daemons of the cell, this one included.
  std::string dataFolder;  ///< Needed by replicas only.
  http::TlsFiles tls;
  std::string adminTokenSha256; ///< Digest of the first administrator's token, in hexadecimal.
  base::Severity logLevel = base::Severity::Info;

  bool operator==(const Config &) const = default;

  /// Precondition: `daemon` is one of `peers`, as parsing guarantees.
  const Peer &self() const;

  /// Null if the cell has no such daemon.
  const Peer *find(base::DaemonId id) const;
};

/// Parses and checks a settings file. Errors: Malformed or SchemaViolation with the path in the
/// file and the rule. Pure and thread-safe.
base::Result<Config> parseConfig(const std::string &text);

/// Reads a settings file. Errors: NotFound, and those of `parseConfig`.
base::Result<Config> readConfig(const std::string &fileName);

} // namespace banyanrill::daemon
