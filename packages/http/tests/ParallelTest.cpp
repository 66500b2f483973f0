// Guards against answers that reach another caller when they come late or out of order.
#include "TestLoop.h"

#include <mutex>
#include <unordered_map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

namespace {

/// Starts the calls on one client loop and collects the results.
struct Callers {
  Callers() {
    LoopOptions options;
    options.serve = false;
    LoopHandlers handlers;
    handlers.onCallResult = [this](CallId id, CallResult result) {
      std::lock_guard lock(this->mutex);
      this->results.emplace(id, std::move(result));
    };
    this->loop = std::move(Loop::start(options, std::move(handlers)).value());
  }

  std::size_t count() {
    std::lock_guard lock(this->mutex);
    return this->results.size();
  }

  std::mutex mutex;
  std::unordered_map<CallId, CallResult> results;
  std::unique_ptr<Loop> loop;
};

} // namespace

TEST_GROUP(Parallel){};

TEST(Parallel, EachCallerGetsItsOwnAnswerInReverseOrder) {
  constexpr std::size_t Count = 200;
  std::mutex mutex;
  std::vector<std::pair<ExchangeId, std::string>> waiting;
  test::TestServer server([&](Loop &, ExchangeId exchange, Request request) {
    std::lock_guard lock(mutex);
    waiting.emplace_back(exchange, std::move(request.body));
  });
  Callers callers;
  std::unordered_map<CallId, std::string> sent;
  for (std::size_t index = 0; index < Count; ++index) {
    const std::string body = "request " + std::to_string(index);
    sent.emplace(callers.loop->call(test::callTo(*server.loop, "POST", "/p", body)), body);
  }
  CHECK(test::eventually([&] {
    std::lock_guard lock(mutex);
    return waiting.size() == Count;
  }));
  LONGS_EQUAL(Count, server.loop->openExchanges());
  for (auto next = waiting.rbegin(); next != waiting.rend(); ++next) {
    Response response;
    response.body = "answer to " + next->second;
    server.loop->respond(next->first, std::move(response));
  }
  CHECK(test::eventually([&] { return callers.count() == Count; }));
  for (const auto &[id, body] : sent) {
    CHECK(callers.results.at(id).verdict == Verdict::Ran);
    STRCMP_EQUAL(("answer to " + body).c_str(), callers.results.at(id).response.body.c_str());
  }
  CHECK(test::eventually([&] { return server.loop->openExchanges() == 0; }));
}

TEST(Parallel, RefusesMoreExchangesThanTheLimit) {
  LoopOptions options;
  options.maxExchanges = 3;
  test::TestServer server([](Loop &, ExchangeId, Request) {}, options);
  Callers callers;
  for (int index = 0; index < 5; ++index)
    callers.loop->call(test::callTo(*server.loop, "GET", "/p"));
  CHECK(test::eventually([&] { return callers.count() == 2; }));
  std::lock_guard lock(callers.mutex);
  for (const auto &[id, result] : callers.results) {
    LONGS_EQUAL(503, result.response.status);
    STRCMP_EQUAL("did-not-run", findHeader(result.response.headers, "banyanrill-verdict").c_str());
  }
}
