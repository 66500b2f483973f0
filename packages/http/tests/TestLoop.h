// Helpers of the tests: a server whose handler is a function, and calls to it.
#pragma once

#include "banyanrill/http/Client.h"
#include "banyanrill/http/Loop.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace banyanrill::http::test {

/// A loop on a free loopback port. The handler runs on the loop's thread.
struct TestServer {
  using Handler = std::function<void(Loop &, ExchangeId, Request)>;

  explicit TestServer(Handler onRequest, LoopOptions options = {}) : handler(std::move(onRequest)) {
    LoopHandlers handlers;
    handlers.onRequest = [this](ExchangeId exchange, Request request) {
      this->handler(*this->running.load(), exchange, std::move(request));
    };
    handlers.onDisconnect = [this](ExchangeId) { ++this->disconnects; };
    auto started = Loop::start(std::move(options), std::move(handlers));
    if (started) {
      this->loop = std::move(started.value());
      this->running = this->loop.get();
    }
  }

  Handler handler;
  std::atomic<Loop *> running = nullptr;
  std::atomic<int> disconnects = 0;
  std::unique_ptr<Loop> loop; ///< Last member: its thread uses the others.
};

/// Answers with the request's headers and body, and its first line in the header "server".
inline void echo(Loop &loop, ExchangeId exchange, Request request) {
  Response response;
  response.headers = std::move(request.headers);
  response.headers.emplace_back("server",
                                request.method + ' ' + request.path + ' ' + request.query);
  response.body = std::move(request.body);
  loop.respond(exchange, std::move(response));
}

inline Call callTo(std::uint16_t port, std::string method, std::string path,
                   std::string body = {}) {
  Call call;
  call.host = "127.0.0.1";
  call.port = port;
  call.request.method = std::move(method);
  call.request.path = std::move(path);
  call.request.body = std::move(body);
  call.timeout = std::chrono::seconds(5);
  return call;
}

inline Call callTo(const Loop &loop, std::string method, std::string path, std::string body = {}) {
  return callTo(loop.port(), std::move(method), std::move(path), std::move(body));
}

inline std::future<CallResult> callLater(Client &client, Call call) {
  return std::async(std::launch::async,
                    [&client, request = std::move(call)] { return client.call(request); });
}

/// Waits until the condition holds; false after 5 s.
template <typename Condition> bool eventually(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

} // namespace banyanrill::http::test
