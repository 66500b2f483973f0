#include "banyanrill/http/Message.h"

#include "PercentEncoding.h"

#include <algorithm>
#include <string_view>

namespace banyanrill::http {

std::string findHeader(const Headers &headers, const std::string &name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&name](const auto &header) { return header.first == name; });
  return found == headers.end() ? std::string() : found->second;
}

std::string findQuery(const std::string &query, const std::string &name) {
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    if (decodePercent(part.substr(0, equals)) != name)
      continue;
    return equals == std::string_view::npos ? std::string()
                                            : decodePercent(part.substr(equals + 1));
  }
  return {};
}

} // namespace banyanrill::http
