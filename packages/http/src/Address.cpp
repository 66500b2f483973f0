#include "banyanrill/http/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace banyanrill::http {

std::optional<Address> parseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  Address address;
  address.host = std::string(text.substr(0, colon));
  in_addr numeric = {};
  if (inet_pton(AF_INET, address.host.c_str(), &numeric) != 1)
    return std::nullopt;
  const char *end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error != std::errc() || stop != end || address.port == 0)
    return std::nullopt;
  return address;
}

} // namespace banyanrill::http
