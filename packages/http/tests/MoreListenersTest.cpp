// Guards against a server that answers on its first listener only, and against names of listeners
// that do not outlive the start of the loop although libwebsockets reads them for each request.
#include "RawSocket.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;

namespace {

std::uint16_t freePort() {
  const test::TestServer probe(test::echo);
  return probe.loop->port();
}

} // namespace

TEST_GROUP(MoreListeners){};

TEST(MoreListeners, ServesEachWithItsNumber) {
  LoopOptions options;
  for (int index = 0; index < 3; ++index)
    options.moreListeners.push_back({"127.0.0.1", freePort()});
  const std::vector<Listener> listeners = options.moreListeners;
  const test::TestServer server(
      [](Loop &loop, ExchangeId exchange, const Request &request) {
        loop.respond(exchange, {200, {}, "listener=" + std::to_string(request.listener)});
      },
      options);
  const auto client = std::move(Client::start().value());
  for (std::size_t index = 0; index < listeners.size(); ++index) {
    const CallResult result = client->call(test::callTo(listeners[index].port, "GET", "/"));
    STRCMP_EQUAL(("listener=" + std::to_string(index + 1)).c_str(), result.response.body.c_str());
  }
}
