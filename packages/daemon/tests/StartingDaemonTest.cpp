// Guards against a daemon that denies an existing operation before its settings have arrived.
#include "banyanrill/daemon/Core.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::daemon;

TEST_GROUP(StartingDaemon){};

TEST(StartingDaemon, RefusesRequestsAsUnavailable) {
  Config config;
  config.daemon = 1;
  Peer self;
  self.daemon = 1;
  config.peers.push_back(self);
  Peer replica;
  replica.daemon = 2;
  replica.replica = true;
  config.peers.push_back(replica);
  const base::TimePoint now{};
  auto core = Core::create(config, std::nullopt, 1, 1, now);
  CHECK(static_cast<bool>(core));

  http::Request request;
  request.method = "POST";
  request.path = "/v1/requests/team/service/operation";
  const std::vector<Action> actions = core.value()->handle(RequestEvent{7, request}, now, 0);

  LONGS_EQUAL(1, actions.size());
  const auto &respond = std::get<RespondExchange>(actions.front());
  LONGS_EQUAL(503, respond.response.status);
  STRCMP_EQUAL("did-not-run",
               http::findHeader(respond.response.headers, "banyanrill-verdict").c_str());
}
