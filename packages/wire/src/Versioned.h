// A protocol version in front of each encoded value.
#pragma once

#include "Archive.h"
#include "banyanrill/base/Error.h"
#include "banyanrill/wire/Codec.h"

#include <string>
#include <string_view>

namespace banyanrill::wire {

/// Limits nesting and sizes before memory is allocated for them.
inline msgpack::unpack_limit limits() {
  constexpr std::size_t MaxArray = 1 << 20;
  constexpr std::size_t MaxBytes = 64 << 20;
  constexpr std::size_t MaxDepth = 64;
  return {MaxArray, 0, MaxBytes, MaxBytes, 0, MaxDepth};
}

/// Version, then the value.
template <typename T> struct Versioned {
  std::uint32_t version = ProtocolVersion;
  T value;
};

template <typename T> std::string encodeVersioned(const T &value) {
  Writer writer;
  writer(ProtocolVersion, value);
  return writer.take();
}

template <typename T> base::Result<T> decodeVersioned(std::string_view bytes, const char *what) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limits());
    if (offset != bytes.size())
      throw MalformedInput("bytes after the end");
    Versioned<T> decoded;
    Reader reader(handle.get());
    reader(decoded.version, decoded.value);
    if (decoded.version != ProtocolVersion)
      throw MalformedInput("protocol version " + std::to_string(decoded.version));
    return std::move(decoded.value);
  } catch (const MalformedInput &failure) {
    return base::Error{base::Errc::Malformed, what, failure.what()};
  } catch (const msgpack::unpack_error &failure) {
    return base::Error{base::Errc::Malformed, what, failure.what()};
  }
}

} // namespace banyanrill::wire
