// HTTP requests and responses as plain values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyanrill::http {

/// Header names are in lower case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header with this lower-case name; empty if there is none.
std::string findHeader(const Headers &headers, const std::string &name);

/// Value of a query parameter, percent-decoded; empty if there is none.
std::string findQuery(const std::string &query, const std::string &name);

/// Percent-encodes a name or value of a query; the inverse of what `findQuery` decodes.
std::string encodeQueryPart(std::string_view part);

struct Request {
  std::string method;
  std::string path;  ///< Percent-decoded, without the query.
  std::string query; ///< As received, without the question mark.
  Headers headers;
  std::string body;
  std::uint16_t listener = 0; ///< Server side: 0, or 1 + index in `LoopOptions::moreListeners`.

  bool operator==(const Request &) const = default;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;

  bool operator==(const Response &) const = default;
};

} // namespace banyanrill::http
