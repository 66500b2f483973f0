#include "PercentEncoding.h"

#include "banyanrill/http/Message.h"

namespace banyanrill::http {

namespace {

bool isUnreserved(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '.' ||
         character == '_' || character == '~';
}

std::string encode(std::string_view text, std::string_view alsoKept) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    if (isUnreserved(character) || alsoKept.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += Digits[byte >> 4];
    encoded += Digits[byte & 15];
  }
  return encoded;
}

int hexValue(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F')
    return digit - 'A' + 10;
  return -1;
}

} // namespace

std::string encodePath(std::string_view path) { return encode(path, "/:@"); }

std::string encodeQueryPart(std::string_view part) { return encode(part, ""); }

std::string decodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      const int high = hexValue(text[at + 1]);
      const int low = hexValue(text[at + 2]);
      if (high >= 0 && low >= 0) {
        decoded += static_cast<char>(high * 16 + low);
        at += 2;
        continue;
      }
    }
    decoded += text[at];
  }
  return decoded;
}

} // namespace banyanrill::http
