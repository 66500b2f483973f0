// A server for the tests of the client: a loop whose answers a function gives.
#pragma once

#include "banyanrill/cli/Program.h"
#include "banyanrill/http/Loop.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace banyanrill::cli::test {

struct Answer {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
};

/// Answers requests one after the other and records them. Without an answer, the connection closes.
class FakeServer {
public:
  using Handler = std::function<std::optional<Answer>(const http::Request &)>;

  explicit FakeServer(Handler answering) : handler(std::move(answering)) {
    http::LoopHandlers handlers;
    handlers.onRequest = [this](http::ExchangeId exchange, http::Request request) {
      this->onRequest(exchange, request);
    };
    this->loop = std::move(http::Loop::start({}, std::move(handlers)).value());
    this->running = this->loop.get();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(this->loop->port()); }

  std::vector<http::Request> requests() {
    std::lock_guard lock(this->mutex);
    return this->received;
  }

  /// Body of the request with this index.
  nlohmann::json body(std::size_t index) {
    const std::vector<http::Request> all = this->requests();
    return index < all.size() ? nlohmann::json::parse(all[index].body) : nlohmann::json();
  }

private:
  void onRequest(http::ExchangeId exchange, const http::Request &request) {
    {
      std::lock_guard lock(this->mutex);
      this->received.push_back(request);
    }
    const std::optional<Answer> answer = this->handler(request);
    if (!answer) {
      this->running.load()->abort(exchange);
      return;
    }
    http::Response response;
    response.status = answer->status;
    response.body = answer->body.dump();
    this->running.load()->respond(exchange, std::move(response));
  }

  Handler handler;
  std::mutex mutex;
  std::vector<http::Request> received;
  std::atomic<http::Loop *> running = nullptr;
  std::unique_ptr<http::Loop> loop; ///< Last member: its thread uses the others.
};

struct Run {
  int code = 0;
  std::string out;
  std::string err;
};

inline Run run(const std::vector<std::string> &arguments, const std::string &input = {}) {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  Run result;
  result.code = runProgram(arguments, "1.2.3", {in, out, err});
  result.out = out.str();
  result.err = err.str();
  return result;
}

inline bool contains(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

} // namespace banyanrill::cli::test
