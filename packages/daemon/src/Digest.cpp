#include "banyanrill/daemon/Digest.h"

#include <array>
#include <cstdlib>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace banyanrill::daemon {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t size) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text += Digits[bytes[i] >> 4];
    text += Digits[bytes[i] & 15];
  }
  return text;
}

} // namespace

std::string sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
  return toHex(digest.data(), digest.size());
}

std::string randomIdentifier() {
  std::array<unsigned char, 16> bytes{};
  // Without randomness identifiers could repeat, and a late answer could reach the wrong caller.
  if (RAND_bytes(bytes.data(), bytes.size()) != 1)
    std::abort();
  return toHex(bytes.data(), bytes.size());
}

} // namespace banyanrill::daemon
