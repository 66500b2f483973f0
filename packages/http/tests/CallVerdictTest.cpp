// Guards against calls that are reported as not run although the server may have run them, and
// against incomplete answers that are taken for complete ones.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

namespace {

struct VerdictFixture : Utest {
  /// Calls a server that answers with these bytes and closes.
  CallResult callWithAnswer(const std::string &answer) {
    test::StandIn server([&answer](test::RawSocket &socket) {
      socket.receiveUntil("\r\n\r\n");
      socket.send(answer);
    });
    return this->client->call(test::callTo(server.port, "GET", "/"));
  }

  std::unique_ptr<Client> client = std::move(Client::start().value());
};

} // namespace

TEST_GROUP_BASE(CallVerdict, VerdictFixture){};

TEST(CallVerdict, RefusedConnectionDidNotRun) {
  std::uint16_t port = 0;
  {
    const test::StandIn closed([](test::RawSocket &) {});
    port = closed.port;
  }
  // More calls than there are lanes, to show that each returns its own.
  for (int index = 0; index < 100; ++index) {
    const CallResult result = this->client->call(test::callTo(port, "POST", "/", "x"));
    CHECK(result.verdict == Verdict::DidNotRun);
    CHECK(!result.failure.empty());
  }
}

TEST(CallVerdict, MalformedCallDidNotRun) {
  const test::TestServer server(test::echo);
  Call name = test::callTo(*server.loop, "GET", "/");
  name.host = "localhost";
  Call path = test::callTo(*server.loop, "GET", "no-slash");
  Call header = test::callTo(*server.loop, "GET", "/");
  header.request.headers = {{"if-match", "1\r\nx: y"}};
  Call large = test::callTo(*server.loop, "GET", "/" + std::string(20000, 'x'));
  for (const Call &call : {name, path, header, large})
    CHECK(this->client->call(call).verdict == Verdict::DidNotRun);
}

TEST(CallVerdict, TimeoutMayHaveRun) {
  test::TestServer server([](Loop &, ExchangeId, Request) {});
  Call call = test::callTo(*server.loop, "GET", "/");
  call.timeout = std::chrono::milliseconds(100);
  const auto start = std::chrono::steady_clock::now();
  CHECK(this->client->call(call).verdict == Verdict::MayHaveRun);
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  // The lane of the call that timed out must not harm later ones.
  server.handler = test::echo;
  for (int index = 0; index < 5; ++index)
    CHECK(this->client->call(test::callTo(*server.loop, "GET", "/")).verdict == Verdict::Ran);
}

TEST(CallVerdict, CompleteAnswersRan) {
  const CallResult sized = this->callWithAnswer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour");
  CHECK(sized.verdict == Verdict::Ran);
  STRCMP_EQUAL("four", sized.response.body.c_str());
  const CallResult chunked = this->callWithAnswer(
      "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n");
  CHECK(chunked.verdict == Verdict::Ran);
  LONGS_EQUAL(409, chunked.response.status);
  STRCMP_EQUAL("four", chunked.response.body.c_str());
  const CallResult empty = this->callWithAnswer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CHECK(empty.verdict == Verdict::Ran);
  CHECK(this->callWithAnswer("HTTP/1.1 204 No Content\r\n\r\n").verdict == Verdict::Ran);
}

TEST(CallVerdict, IncompleteAnswersMayHaveRun) {
  for (const char *answer : {
           "",
           "HTTP/1.1 200",
           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfour",
           "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfour",
           "HTTP/1.1 200 OK\r\n\r\nends with the connection",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfo",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nfour\r\n0\r\n\r\n",
           "not HTTP at all\r\n\r\n",
       }) {
    const CallResult result = this->callWithAnswer(answer);
    CHECK_TEXT(result.verdict == Verdict::MayHaveRun, answer);
    CHECK(result.response == Response());
    CHECK(!result.failure.empty());
  }
}

TEST(CallVerdict, TooLargeAnswerMayHaveRun) {
  test::TestServer server([](Loop &loop, ExchangeId exchange, Request) {
    Response response;
    response.body.assign(1000, 'x');
    loop.respond(exchange, std::move(response));
  });
  Call call = test::callTo(*server.loop, "GET", "/");
  call.maxResponseBytes = 999;
  CHECK(this->client->call(call).verdict == Verdict::MayHaveRun);
  call.maxResponseBytes = 1000;
  CHECK(this->client->call(call).verdict == Verdict::Ran);
}

TEST(CallVerdict, LostReusedConnectionIsNotTriedAgain) {
  std::atomic<int> received = 0;
  test::StandIn server([&received](test::RawSocket &socket) {
    socket.receiveUntil("\r\n\r\n");
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    if (!socket.receiveUntil("\r\n\r\n", std::chrono::seconds(2)).empty())
      ++received;
  });
  CHECK(this->client->call(test::callTo(server.port, "POST", "/", "x")).verdict == Verdict::Ran);
  CHECK(this->client->call(test::callTo(server.port, "POST", "/", "x")).verdict ==
        Verdict::MayHaveRun);
  LONGS_EQUAL(1, server.connections.load());
  CHECK(test::eventually([&] { return received == 1; }));
}

TEST(CallVerdict, CancelledCallIsReportedOnce) {
  test::TestServer server([](Loop &, ExchangeId, Request) {});
  std::atomic<int> results = 0;
  std::atomic<Verdict> verdict = Verdict::Ran;
  LoopOptions options;
  options.serve = false;
  LoopHandlers handlers;
  handlers.onCallResult = [&](CallId, CallResult result) {
    verdict = result.verdict;
    ++results;
  };
  const auto loop = std::move(Loop::start(options, std::move(handlers)).value());
  const CallId id = loop->call(test::callTo(*server.loop, "GET", "/"));
  CHECK(test::eventually([&] { return server.loop->openExchanges() == 1; }));
  loop->cancel(id);
  loop->cancel(id);
  CHECK(test::eventually([&] { return results == 1; }));
  CHECK(verdict.load() == Verdict::MayHaveRun);
  CHECK(test::eventually([&] { return server.disconnects == 1; }));
  LONGS_EQUAL(1, results.load());
}

TEST(CallVerdict, AnswerOfAServingLoopMayTakeLongerThanARequest) {
  test::StandIn server([](test::RawSocket &socket) {
    socket.receiveUntil("\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  std::atomic<int> results = 0;
  std::atomic<Verdict> verdict = Verdict::DidNotRun;
  LoopOptions options;
  options.receiveTimeout = std::chrono::milliseconds(200);
  LoopHandlers handlers;
  handlers.onCallResult = [&](CallId, CallResult result) {
    verdict = result.verdict;
    ++results;
  };
  const auto loop = std::move(Loop::start(options, std::move(handlers)).value());
  loop->call(test::callTo(server.port, "GET", "/"));
  CHECK(test::eventually([&] { return results == 1; }));
  CHECK(verdict.load() == Verdict::Ran);
}
