#include "ChunkedDecoder.h"

#include <algorithm>

namespace banyanrill::http {

namespace {

/// Bounds what extensions and trailers may add to one chunk, so that a body of framing alone ends.
constexpr std::uint32_t MaxFramingBytes = 8192;

/// Larger sizes are refused before the addition below could overflow.
constexpr std::uint64_t MaxChunkBytes = std::uint64_t(1) << 40;

int hexValue(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  const char lower = static_cast<char>(digit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

ChunkedDecoder::Step ChunkedDecoder::onSizeCharacter(char character) {
  const int digit = hexValue(character);
  if (digit >= 0) {
    this->remaining = this->remaining * 16 + static_cast<std::uint64_t>(digit);
    return this->remaining > MaxChunkBytes ? Step::Failed : Step::Size;
  }
  if (this->step == Step::SizeStart)
    return Step::Failed;
  if (character == '\r')
    return Step::SizeLineFeed;
  return character == ';' || character == ' ' || character == '\t' ? Step::Extension : Step::Failed;
}

ChunkedDecoder::Step ChunkedDecoder::onFramingCharacter(char character) {
  switch (this->step) {
  case Step::SizeStart:
  case Step::Size:
    return this->onSizeCharacter(character);
  case Step::Extension:
    if (character == '\n')
      return Step::Failed;
    return character == '\r' ? Step::SizeLineFeed : Step::Extension;
  case Step::SizeLineFeed:
    if (character != '\n')
      return Step::Failed;
    return this->remaining == 0 ? Step::TrailerStart : Step::Data;
  case Step::DataReturn:
    return character == '\r' ? Step::DataLineFeed : Step::Failed;
  case Step::DataLineFeed:
    this->framingBytes = 0;
    return character == '\n' ? Step::SizeStart : Step::Failed;
  case Step::TrailerStart:
    return character == '\r' ? Step::EndLineFeed : Step::Trailer;
  case Step::Trailer:
    return character == '\r' ? Step::TrailerLineFeed : Step::Trailer;
  case Step::TrailerLineFeed:
    return character == '\n' ? Step::TrailerStart : Step::Failed;
  case Step::EndLineFeed:
    return character == '\n' ? Step::Done : Step::Failed;
  case Step::Data:
  case Step::Done:
  case Step::Failed:
    break;
  }
  return Step::Failed;
}

ChunkedDecoder::State ChunkedDecoder::feed(std::string_view input, std::string &body) {
  while (!input.empty() && this->step != Step::Done && this->step != Step::Failed) {
    if (this->step == Step::Data) {
      const auto taken =
          static_cast<std::size_t>(std::min<std::uint64_t>(this->remaining, input.size()));
      body.append(input.substr(0, taken));
      input.remove_prefix(taken);
      this->remaining -= taken;
      if (this->remaining == 0)
        this->step = Step::DataReturn;
      continue;
    }
    this->step = this->onFramingCharacter(input.front());
    input.remove_prefix(1);
    if (++this->framingBytes > MaxFramingBytes)
      this->step = Step::Failed;
  }
  if (this->step == Step::Failed)
    return State::Malformed;
  return this->step == Step::Done ? State::Complete : State::NeedsMore;
}

} // namespace banyanrill::http
