// Percent-encoding of paths and query parameters (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace banyanrill::http {

/// Encodes everything but unreserved characters, '/', ':' and '@'. Thread-safe.
std::string encodePath(std::string_view path);

/// Encodes one name or value of a query; only unreserved characters stay. Thread-safe.
std::string encodeQueryPart(std::string_view part);

/// Decodes "%XX"; an incomplete or invalid sequence stays as it is. Thread-safe.
std::string decodePercent(std::string_view text);

} // namespace banyanrill::http
