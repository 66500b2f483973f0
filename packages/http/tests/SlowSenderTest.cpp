// Guards against callers that hold a connection by sending their request slowly.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;

namespace {

struct SlowSenderFixture : Utest {
  SlowSenderFixture() { this->options.receiveTimeout = std::chrono::milliseconds(400); }

  /// Sends the text, then one byte each 50 ms. True if the server has disconnected after 5 s.
  bool isCutOff(const char *start) {
    const test::TestServer server(test::echo, this->options);
    test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
    socket.send(start);
    for (int index = 0; index < 100 && !socket.closedByPeer; ++index) {
      socket.receiveUntil({}, std::chrono::milliseconds(50));
      if (*start != '\0')
        socket.send("x");
    }
    return socket.closedByPeer;
  }

  LoopOptions options;
};

} // namespace

TEST_GROUP_BASE(SlowSender, SlowSenderFixture){};

TEST(SlowSender, IsCutOffWithoutAnyByte) { CHECK(this->isCutOff("")); }

TEST(SlowSender, IsCutOffInTheHead) {
  CHECK(this->isCutOff("GET / HTTP/1.1\r\nHost: h\r\nAuthorization: "));
}

TEST(SlowSender, IsCutOffInTheBody) {
  CHECK(this->isCutOff("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"));
}

TEST(SlowSender, IsCutOffInAChunk) {
  CHECK(this->isCutOff("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n"));
}

TEST(SlowSender, IsCutOffInALaterHead) {
  this->options.keepAliveTimeout = std::chrono::milliseconds(400);
  CHECK(this->isCutOff("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nAccept: "));
}

TEST(SlowSender, WaitsForTheAnswerWithoutLimit) {
  test::TestServer server([](Loop &, ExchangeId, Request) {}, this->options);
  test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
  CHECK(socket.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"));
  socket.receiveUntil({}, std::chrono::milliseconds(1500));
  CHECK(!socket.closedByPeer);
}
