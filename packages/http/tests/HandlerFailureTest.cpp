// Guards against an unexpected exception in the handling of one event that ends the process.
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>
#include <stdexcept>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

namespace {

void failOrEcho(Loop &loop, ExchangeId exchange, Request request) {
  if (request.path == "/fail")
    throw std::runtime_error("unexpected");
  test::echo(loop, exchange, std::move(request));
}

} // namespace

TEST_GROUP(HandlerFailure){};

TEST(HandlerFailure, CostsTheRequestOnly) {
  const test::TestServer server(failOrEcho);
  const auto client = std::move(Client::start().value());
  for (int count = 0; count < 3; ++count) {
    const CallResult failed = client->call(test::callTo(*server.loop, "POST", "/fail", "body"));
    CHECK(failed.verdict == Verdict::Ran);
    LONGS_EQUAL(500, failed.response.status);
    LONGS_EQUAL(200, client->call(test::callTo(*server.loop, "GET", "/")).response.status);
  }
}

TEST(HandlerFailure, CostsTheCallOrCommandOnly) {
  const test::TestServer server(test::echo);
  std::atomic<int> results = 0;
  std::atomic<int> wakes = 0;
  LoopHandlers handlers;
  handlers.onCallResult = [&results](CallId, const CallResult &) {
    ++results;
    throw std::runtime_error("unexpected");
  };
  handlers.onWake = [&wakes] {
    ++wakes;
    throw std::runtime_error("unexpected");
  };
  LoopOptions options;
  options.serve = false;
  const std::unique_ptr<Loop> loop = std::move(Loop::start(options, handlers).value());
  for (int count = 1; count <= 3; ++count) {
    loop->run([] { throw std::runtime_error("unexpected"); });
    loop->run([&loop] { loop->wakeAt(banyanrill::base::steadyNow()); });
    loop->call(test::callTo(*server.loop, "GET", "/"));
    CHECK(test::eventually([&] { return results.load() == count && wakes.load() == count; }));
  }
}
