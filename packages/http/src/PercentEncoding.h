// Percent-encoding (RFC 3986); the encoding of queries is declared in Message.h.
#pragma once

#include <string>
#include <string_view>

namespace banyanrill::http {

/// Encodes everything but unreserved characters, '/', ':' and '@'. Thread-safe.
std::string encodePath(std::string_view path);

/// Decodes "%XX"; an incomplete or invalid sequence stays as it is. Thread-safe.
std::string decodePercent(std::string_view text);

} // namespace banyanrill::http
