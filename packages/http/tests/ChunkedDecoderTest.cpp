// Guards against chunked bodies that depend on how the network splits them.
#include "../src/ChunkedDecoder.h"

#include <rapidcheck.h>
#include <sstream>

#include <CppUTest/TestHarness.h>

using banyanrill::http::ChunkedDecoder;

TEST_GROUP(ChunkedDecoder){};

TEST(ChunkedDecoder, RestoresTheBodyHoweverItIsSplit) {
  CHECK(rc::check("a chunked body is restored from any pieces",
                  [](const std::vector<std::string> &chunks) {
                    std::ostringstream encoded;
                    std::string expected;
                    for (const std::string &chunk : chunks) {
                      if (chunk.empty())
                        continue;
                      encoded << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
                      expected += chunk;
                    }
                    encoded << "0\r\n\r\n";
                    std::string rest = encoded.str();
                    ChunkedDecoder decoder;
                    std::string body;
                    auto state = ChunkedDecoder::State::NeedsMore;
                    while (!rest.empty()) {
                      RC_ASSERT(state == ChunkedDecoder::State::NeedsMore);
                      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
                      state = decoder.feed(std::string_view(rest).substr(0, size), body);
                      rest.erase(0, size);
                    }
                    RC_ASSERT(state == ChunkedDecoder::State::Complete);
                    RC_ASSERT(body == expected);
                  }));
}

TEST(ChunkedDecoder, BoundsTheFraming) {
  ChunkedDecoder decoder;
  std::string body;
  CHECK(decoder.feed("1;" + std::string(10000, 'x'), body) == ChunkedDecoder::State::Malformed);
}
