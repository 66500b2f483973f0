// Decoder of chunked request bodies. libwebsockets 4.1 decodes chunks only on its client side.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanrill::http {

/// Incremental decoder of the chunked transfer coding (RFC 9112, 7.1). Not thread-safe.
class ChunkedDecoder {
public:
  enum class State { NeedsMore, Complete, Malformed };

  /// Appends the payload in `input` to `body`. Bytes after the end of the body are ignored.
  State feed(std::string_view input, std::string &body);

private:
  enum class Step {
    SizeStart,
    Size,
    Extension,
    SizeLineFeed,
    Data,
    DataReturn,
    DataLineFeed,
    TrailerStart,
    Trailer,
    TrailerLineFeed,
    EndLineFeed,
    Done,
    Failed
  };

  Step onSizeCharacter(char character);
  Step onFramingCharacter(char character);

  Step step = Step::SizeStart;
  std::uint64_t remaining = 0;
  std::uint32_t framingBytes = 0;
};

} // namespace banyanrill::http
