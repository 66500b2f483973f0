// Guards against connections that are not freed when a client stops while calls are in different
// states; the address sanitizer reports them.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

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
  LoopHandlers handlers;
  std::atomic<int> results = 0;
  handlers.onCallResult = [&](CallId, const CallResult &) { ++results; };
  LoopOptions options;
  options.serve = false;
  auto loop = std::move(Loop::start(options, handlers).value());
  loop->call(test::callTo(*server.loop, "GET", "/"));
  CHECK(test::eventually([&] { return results.load() == 1; }));
  loop->call(test::callTo(*server.loop, "GET", "/"));
  loop.reset();
  LONGS_EQUAL(2, results.load());
}

TEST(StopWithCalls, ThatConnect) {
  const test::TestServer server(test::echo);
  LoopHandlers handlers;
  std::atomic<int> results = 0;
  handlers.onCallResult = [&](CallId, const CallResult &) { ++results; };
  LoopOptions options;
  options.serve = false;
  auto loop = std::move(Loop::start(options, handlers).value());
  for (int index = 0; index < 20; ++index)
    loop->call(test::callTo(*server.loop, "GET", "/"));
  loop.reset();
  LONGS_EQUAL(20, results.load());
}

TEST(StopWithCalls, ThatMeetAServerThatStopped) {
  auto server = std::make_unique<test::TestServer>(test::echo);
  const std::uint16_t port = server->loop->port();
  LoopHandlers handlers;
  std::atomic<int> results = 0;
  handlers.onCallResult = [&](CallId, const CallResult &) { ++results; };
  LoopOptions options;
  options.serve = false;
  auto loop = std::move(Loop::start(options, handlers).value());
  for (int index = 0; index < 20; ++index)
    loop->call(test::callTo(port, "GET", "/"));
  CHECK(test::eventually([&] { return results.load() == 20; }));
  server.reset();
  for (int index = 0; index < 20; ++index)
    loop->call(test::callTo(port, "GET", "/"));
  CHECK(test::eventually([&] { return results.load() == 40; }));
}
