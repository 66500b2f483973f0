#include "Address.h"

#include <charconv>

namespace banyanrill::standins {

std::optional<Address> parseAddress(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  Address address{text.substr(0, colon), 0};
  const char *end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error != std::errc() || last != end || address.port == 0)
    return std::nullopt;
  return address;
}

std::string toString(const Address &address) {
  return address.host + ":" + std::to_string(address.port);
}

} // namespace banyanrill::standins
