// Digests and random identifiers, through OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace banyanrill::daemon {

/// SHA-256 in 64 lower-case hexadecimal digits. Thread-safe.
std::string sha256Hex(std::string_view data);

/// 128 bits of the system's randomness in 32 hexadecimal digits. Thread-safe.
std::string randomIdentifier();

} // namespace banyanrill::daemon
