// Hashes that are the same in every build and on every processor, unlike std::hash.
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanrill::base {

/// FNV-1a. Pure and thread-safe. Not for input chosen by an attacker.
inline std::uint64_t stableHash(std::string_view text) {
  std::uint64_t hash = 14695981039346656037U;
  for (const char character : text)
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211U;
  return hash;
}

/// The finalizer of splitmix64: spreads values that differ in few bits. Pure and thread-safe.
inline std::uint64_t mixBits(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

} // namespace banyanrill::base
