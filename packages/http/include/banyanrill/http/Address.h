// Addresses of other processes as text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanrill::http {

/// Where a process listens.
struct Address {
  std::string host; ///< Numeric, so that no call waits for a name server.
  std::uint16_t port = 0;

  bool operator==(const Address &) const = default;
};

/// Parses host:port. Empty if the host is not a numeric IPv4 address, or the port is not a number
/// from 1 to 65535. Pure and thread-safe.
std::optional<Address> parseAddress(std::string_view text);

} // namespace banyanrill::http
