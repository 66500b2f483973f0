// Numeric address and port of a daemon.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace banyanrill::standins {

struct Address {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const Address &) const = default;
};

/// Parses "host:port"; empty if the port is missing or not between 1 and 65535.
std::optional<Address> parseAddress(const std::string &text);

std::string toString(const Address &address);

} // namespace banyanrill::standins
