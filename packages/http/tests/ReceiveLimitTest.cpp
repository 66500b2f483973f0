// Guards against clients that hold a listener's memory or connections with requests that do not
// end, so that others are not served, and against handing on a body that is not whole.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t BodyBytes = 100 * KiB;
constexpr std::size_t Crowd = 8;

struct ReceiveLimitFixture : Utest {
  /// Starts a server whose limit holds about three bodies of the crowd.
  std::unique_ptr<test::TestServer> start(std::size_t connections) {
    LoopOptions options;
    options.receive = {500 * KiB, connections};
    return std::make_unique<test::TestServer>(
        [this](Loop &loop, ExchangeId exchange, Request request) {
          ++this->handedOn;
          test::echo(loop, exchange, std::move(request));
        },
        options);
  }

  /// Connects a crowd whose bodies lack their last byte.
  std::vector<test::RawSocket> connectCrowd(std::uint16_t port) {
    const std::string start =
        "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n";
    std::vector<test::RawSocket> sockets;
    for (std::size_t index = 0; index < Crowd; ++index) {
      sockets.push_back(test::RawSocket::connectTo(port));
      sockets.back().send(start + std::string(BodyBytes - 1, 'x'));
    }
    return sockets;
  }

  std::atomic<int> handedOn = 0;
};

int statusOf(const Loop &loop, const std::string &body) {
  const auto client = std::move(Client::start().value());
  return client->call(test::callTo(loop, "POST", "/", body)).response.status;
}

} // namespace

TEST_GROUP_BASE(ReceiveLimit, ReceiveLimitFixture){};

TEST(ReceiveLimit, BodiesBeyondItAreRefusedAndOthersServed) {
  const auto server = this->start(100);
  std::vector<test::RawSocket> sockets = this->connectCrowd(server->loop->port());
  std::size_t refused = 0;
  for (test::RawSocket &socket : sockets) {
    const std::string answer = socket.receiveUntil("\"}", std::chrono::milliseconds(300));
    if (answer.empty())
      continue;
    ++refused;
    CHECK(answer.find("HTTP/1.1 503 ") == 0);
    CHECK(answer.find("banyanrill-verdict: did-not-run\r\n") != std::string::npos);
    CHECK(answer.find("retry-after: ") != std::string::npos);
  }
  CHECK(refused >= Crowd / 2);
  CHECK(refused < Crowd);
  LONGS_EQUAL(0, this->handedOn);
  LONGS_EQUAL(200, statusOf(*server->loop, "small"));
  LONGS_EQUAL(1, this->handedOn);
}

TEST(ReceiveLimit, IsGivenBackWhenConnectionsEnd) {
  const auto server = this->start(100);
  this->connectCrowd(server->loop->port());
  const auto holdsNothing = [&] {
    std::promise<ReceiveUsage> usage;
    server->loop->run([&] { usage.set_value(server->loop->receiveUsage().at(0)); });
    const ReceiveUsage now = usage.get_future().get();
    return now.bytes == 0 && now.connections == 0 && now.refused > 0;
  };
  CHECK(test::eventually(holdsNothing));
}

TEST(ReceiveLimit, SilentConnectionsGiveWayToNewOnes) {
  constexpr std::size_t Connections = 4;
  const auto server = this->start(Connections);
  std::vector<test::RawSocket> silent;
  for (std::size_t index = 0; index < 3 * Connections; ++index)
    silent.push_back(test::RawSocket::connectTo(server->loop->port()));
  LONGS_EQUAL(200, statusOf(*server->loop, "small"));
  silent.front().receiveUntil({}, std::chrono::seconds(1));
  CHECK(silent.front().closedByPeer);
}

TEST(ReceiveLimit, AnswerThatDoesNotFitIsInDoubt) {
  LoopOptions options;
  options.receive = {500 * KiB, 100};
  const test::TestServer server(
      [](Loop &loop, ExchangeId exchange, const Request &) {
        loop.respond(exchange, {200, {}, std::string(KiB * KiB, 'x')});
      },
      options);
  const auto client = std::move(Client::start().value());
  LONGS_EQUAL(504, client->call(test::callTo(*server.loop, "POST", "/")).response.status);
  LONGS_EQUAL(503, client->call(test::callTo(*server.loop, "GET", "/")).response.status);
}
