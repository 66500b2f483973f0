// Guards against exchanges that stay open after their caller has gone, and against an aborted
// answer that looks complete.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

TEST_GROUP(Disconnect){};

TEST(Disconnect, IsReportedOnce) {
  std::atomic<ExchangeId> held = 0;
  test::TestServer server([&held](Loop &, ExchangeId exchange, Request) { held = exchange; });
  {
    const test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
    CHECK(socket.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"));
    CHECK(test::eventually([&] { return held != 0; }));
    LONGS_EQUAL(1, server.loop->openExchanges());
  }
  CHECK(test::eventually([&] { return server.disconnects == 1; }));
  LONGS_EQUAL(0, server.loop->openExchanges());
  server.loop->respond(held, Response());
  server.loop->abort(held);
  const auto client = std::move(Client::start().value());
  server.handler = test::echo;
  CHECK(client->call(test::callTo(*server.loop, "GET", "/")).verdict == Verdict::Ran);
  LONGS_EQUAL(1, server.disconnects.load());
}

TEST(Disconnect, IsReportedForARequestWithoutABody) {
  test::TestServer server([](Loop &, ExchangeId, Request) {});
  {
    const test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
    CHECK(socket.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"));
    CHECK(test::eventually([&] { return server.loop->openExchanges() == 1; }));
  }
  CHECK(test::eventually([&] { return server.disconnects == 1; }));
  LONGS_EQUAL(0, server.loop->openExchanges());
}

TEST(Disconnect, AbortGivesAnIncompleteAnswer) {
  test::TestServer server([](Loop &loop, ExchangeId exchange, Request) { loop.abort(exchange); });
  const auto client = std::move(Client::start().value());
  const CallResult result = client->call(test::callTo(*server.loop, "POST", "/", "x"));
  CHECK(result.verdict == Verdict::MayHaveRun);
  LONGS_EQUAL(0, server.loop->openExchanges());
}

TEST(Disconnect, AbortCutsOffAnAnswerThatIsBeingWritten) {
  constexpr std::size_t Size = std::size_t(64) << 20;
  std::atomic<ExchangeId> held = 0;
  test::TestServer server([&held](Loop &loop, ExchangeId exchange, Request) {
    held = exchange;
    Response response;
    response.body.assign(Size, 'x');
    loop.respond(exchange, std::move(response));
  });
  test::RawSocket socket = test::RawSocket::connectTo(server.loop->port());
  CHECK(socket.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  const std::string start = socket.receiveUntil("xxxx");
  CHECK(start.find("content-length: " + std::to_string(Size)) != std::string::npos);
  server.loop->abort(held);
  const std::size_t received = start.size() + socket.receiveAll().size();
  CHECK(socket.closedByPeer);
  CHECK(received < Size);
  CHECK(test::eventually([&] { return server.loop->openExchanges() == 0; }));
}
