// Guards against connections that are not freed when a client stops while calls are in different
// states; the address sanitizer reports them.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

namespace {

/// A loop that only calls, and counts the results.
struct CountingClient {
  CountingClient() {
    LoopHandlers handlers;
    handlers.onCallResult = [this](CallId, const CallResult &) { ++this->results; };
    LoopOptions options;
    options.serve = false;
    this->loop = std::move(Loop::start(options, handlers).value());
  }

  std::atomic<int> results = 0;
  std::unique_ptr<Loop> loop; ///< Last member: its thread uses the others.
};

} // namespace

TEST_GROUP(StopWithCalls){};

TEST(StopWithCalls, ThatWaitForAnAnswer) {
  test::StandIn server([](test::RawSocket &socket) { socket.receiveAll(); });
  std::future<CallResult> result;
  {
    const auto client = std::move(Client::start().value());
    result = test::callLater(*client, test::callTo(server.port, "GET", "/"));
    CHECK(test::eventually([&] { return server.connections.load() == 1; }));
  }
}

TEST(StopWithCalls, ThatUseAnIdleConnection) {
  const test::TestServer server(test::echo);
  CountingClient client;
  client.loop->call(test::callTo(*server.loop, "GET", "/"));
  CHECK(test::eventually([&] { return client.results.load() == 1; }));
  client.loop->call(test::callTo(*server.loop, "GET", "/"));
  client.loop.reset();
  LONGS_EQUAL(2, client.results.load());
}

TEST(StopWithCalls, ThatConnect) {
  const test::TestServer server(test::echo);
  CountingClient client;
  for (int index = 0; index < 20; ++index)
    client.loop->call(test::callTo(*server.loop, "GET", "/"));
  client.loop.reset();
  LONGS_EQUAL(20, client.results.load());
}

TEST(StopWithCalls, ThatMeetAServerThatStopped) {
  auto server = std::make_unique<test::TestServer>(test::echo);
  const std::uint16_t port = server->loop->port();
  CountingClient client;
  for (int index = 0; index < 20; ++index)
    client.loop->call(test::callTo(port, "GET", "/"));
  CHECK(test::eventually([&] { return client.results.load() == 20; }));
  server.reset();
  for (int index = 0; index < 20; ++index)
    client.loop->call(test::callTo(port, "GET", "/"));
  CHECK(test::eventually([&] { return client.results.load() == 40; }));
}
