#include "banyanrill/wire/Codec.h"

#include "Archive.h"
#include "Fields.h"

namespace banyanrill::wire {

namespace {

/// Bounds nesting and sizes before anything is allocated for them.
msgpack::unpack_limit limits() {
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

} // namespace

std::string encode(const Envelope &envelope) { return encodeVersioned(envelope); }

base::Result<Envelope> decodeEnvelope(std::string_view bytes) {
  return decodeVersioned<Envelope>(bytes, "message");
}

std::string encode(const control::Batch &batch) { return encodeVersioned(batch); }

base::Result<control::Batch> decodeBatch(std::string_view bytes) {
  return decodeVersioned<control::Batch>(bytes, "log entry");
}

std::string encode(const consensus::Snapshot &snapshot) { return encodeVersioned(snapshot); }

base::Result<consensus::Snapshot> decodeSnapshot(std::string_view bytes) {
  return decodeVersioned<consensus::Snapshot>(bytes, "snapshot");
}

} // namespace banyanrill::wire
