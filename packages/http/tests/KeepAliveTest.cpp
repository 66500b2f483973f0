// Guards against connections that serve one request only, and against calls that share one at once.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

TEST_GROUP(KeepAlive){};

TEST(KeepAlive, ServesSeveralRequestsOnOneConnection) {
  const test::TestServer server(test::echo);
  test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
  for (int index = 0; index < 5; ++index) {
    CHECK(socket.send("POST /n HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nbody-" +
                      std::to_string(index)));
    const std::string answer = socket.receiveUntil("body-" + std::to_string(index));
    CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
    CHECK(!socket.closedByPeer);
  }
}

TEST(KeepAlive, ServesRequestsThatArriveTogether) {
  const test::TestServer server(test::echo);
  test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
  CHECK(socket.send("PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
                    "DELETE /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                    "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  const std::string answers = socket.receiveAll();
  const std::size_t first = answers.find("server: PUT /a");
  const std::size_t second = answers.find("server: DELETE /b");
  const std::size_t third = answers.find("server: GET /c");
  CHECK(first < second && second < third && third != std::string::npos);
  CHECK(socket.closedByPeer);
}

TEST(KeepAlive, ClosesIdleConnections) {
  LoopOptions options;
  options.keepAliveTimeout = std::chrono::milliseconds(300);
  const test::TestServer server(test::echo, options);
  test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
  CHECK(socket.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"));
  socket.receiveAll();
  CHECK(socket.closedByPeer);
}

TEST(KeepAlive, ClientReusesItsConnection) {
  test::StandIn server([](test::RawSocket &socket) {
    while (!socket.receiveUntil("\r\n\r\n", std::chrono::seconds(2)).empty())
      socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const auto client = std::move(Client::start().value());
  for (int index = 0; index < 10; ++index) {
    const CallResult result = client->call(test::callTo(server.port, "GET", "/"));
    CHECK(result.verdict == Verdict::Ran);
    STRCMP_EQUAL("ok", result.response.body.c_str());
  }
  LONGS_EQUAL(1, server.connections.load());
}

TEST(KeepAlive, ClientDoesNotReuseAConnectionThatTheServerCloses) {
  // Enough calls that some start before the close of the connection before them has arrived.
  constexpr int Calls = 100;
  for (const char *rest : {"Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n",
                           "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
    test::StandIn server([rest](test::RawSocket &socket) {
      socket.receiveUntil("\r\n\r\n");
      socket.send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + std::string(rest));
    });
    const auto client = std::move(Client::start().value());
    for (int index = 0; index < Calls; ++index)
      CHECK(client->call(test::callTo(server.port, "GET", "/")).verdict == Verdict::Ran);
    LONGS_EQUAL(Calls, server.connections.load());
  }
}

TEST(KeepAlive, CallDoesNotWaitForALongPollToTheSameAddress) {
  std::atomic<ExchangeId> held = 0;
  test::TestServer server([&held](Loop &loop, ExchangeId exchange, Request request) {
    if (request.path == "/hold")
      held = exchange;
    else
      test::echo(loop, exchange, std::move(request));
  });
  const auto client = std::move(Client::start().value());
  auto poll = test::callLater(*client, test::callTo(*server.loop, "POST", "/hold"));
  CHECK(test::eventually([&held] { return held != 0; }));
  CHECK(client->call(test::callTo(*server.loop, "POST", "/quick", "x")).verdict == Verdict::Ran);
  server.loop->respond(held, Response());
  CHECK(poll.get().verdict == Verdict::Ran);
}

TEST(KeepAlive, ClientSurvivesAServerThatResetsJustBeforeTheNextCalls) {
  constexpr int Rounds = 20;
  constexpr int Calls = 5;
  for (int round = 0; round < Rounds; ++round) {
    std::atomic<bool> end = false;
    std::atomic<bool> ended = false;
    test::StandIn server([&](test::RawSocket &socket) {
      const linger discard = {1, 0};
      setsockopt(socket.fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
      socket.receiveUntil("\r\n\r\n");
      socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      while (!end)
        std::this_thread::yield();
      socket.close();
      ended = true;
    });
    std::atomic<int> results = 0;
    LoopOptions options;
    options.serve = round % 2 == 1;
    LoopHandlers handlers;
    handlers.onCallResult = [&](CallId, CallResult) { ++results; };
    const auto loop = std::move(Loop::start(options, std::move(handlers)).value());
    loop->call(test::callTo(server.port, "GET", "/"));
    CHECK(test::eventually([&] { return results == 1; }));
    // The loop stands still meanwhile, so that it cannot see the reset before the calls.
    loop->run([&] {
      end = true;
      while (!ended)
        std::this_thread::yield();
      for (int index = 0; index < Calls; ++index)
        loop->call(test::callTo(server.port, "GET", "/"));
    });
    CHECK(test::eventually([&] { return results == 1 + Calls; }));
  }
}
