// Little-endian numbers in byte strings.
#pragma once

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace banyanrill::storage {

template <typename Number> void appendNumber(std::string &bytes, Number number) {
  static_assert(std::is_unsigned_v<Number>);
  const Number ordered = boost::endian::native_to_little(number);
  bytes.append(reinterpret_cast<const char *>(&ordered), sizeof ordered);
}

/// Takes values off the front of a byte string. After the first missing byte `ok` is false, and
/// every value is empty or zero.
class ByteReader {
public:
  explicit ByteReader(std::string_view bytes) : rest(bytes) {}

  bool ok() const { return this->valid; }
  bool atEnd() const { return this->rest.empty(); }

  template <typename Number> Number number() {
    static_assert(std::is_unsigned_v<Number>);
    const std::string_view bytes = this->take(sizeof(Number));
    if (!this->valid)
      return 0;
    return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::little>(
        reinterpret_cast<const unsigned char *>(bytes.data()));
  }

  std::string_view take(std::size_t size) {
    this->valid = this->valid && size <= this->rest.size();
    if (!this->valid)
      return {};
    const std::string_view taken = this->rest.substr(0, size);
    this->rest.remove_prefix(size);
    return taken;
  }

private:
  std::string_view rest;
  bool valid = true;
};

} // namespace banyanrill::storage
