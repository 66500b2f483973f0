// Guards against a planned stop that interrupts an open exchange or accepts another one.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

TEST_GROUP(Drain){};

TEST(Drain, FinishesOpenExchangesAndRefusesOthers) {
  std::atomic<ExchangeId> held = 0;
  std::atomic<int> accepted = 0;
  test::TestServer server([&](Loop &, ExchangeId exchange, Request) {
    held = exchange;
    ++accepted;
  });
  const auto client = std::move(Client::start().value());
  auto open = test::callLater(*client, test::callTo(*server.loop, "POST", "/open", "x"));
  CHECK(test::eventually([&] { return held != 0; }));
  test::RawSocket idle = test::RawSocket::connectTo(server.loop->port());

  server.loop->drain();
  const CallResult refused = client->call(test::callTo(*server.loop, "POST", "/late", "x"));
  CHECK(refused.verdict == Verdict::Ran);
  LONGS_EQUAL(503, refused.response.status);
  STRCMP_EQUAL("close", findHeader(refused.response.headers, "connection").c_str());
  STRCMP_EQUAL("did-not-run", findHeader(refused.response.headers, "banyanrill-verdict").c_str());
  CHECK(idle.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
  CHECK(idle.receiveUntil("}").rfind("HTTP/1.1 503", 0) == 0);

  LONGS_EQUAL(1, server.loop->openExchanges());
  Response answer;
  answer.body = "finished";
  server.loop->respond(held, answer);
  const CallResult finished = open.get();
  CHECK(finished.verdict == Verdict::Ran);
  STRCMP_EQUAL("finished", finished.response.body.c_str());
  CHECK(test::eventually([&] { return server.loop->openExchanges() == 0; }));
  LONGS_EQUAL(1, accepted.load());
}
