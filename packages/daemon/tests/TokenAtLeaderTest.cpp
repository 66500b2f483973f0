// Guards against a token that changes, audits or lists more than its own subtree at the leader.
#include "banyanrill/daemon/Core.h"
#include "banyanrill/daemon/Digest.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::daemon;

TEST_GROUP(TokenAtLeader) {
  Config config;
  std::unique_ptr<Core> core;
  base::TimePoint now = base::TimePoint{} + std::chrono::hours(1);
  http::ExchangeId exchanges = 0;
  int changes = 0;
  int status = 0;
  std::string body;

  void setup() override {
    this->config.cell = "c";
    this->config.daemon = 1;
    this->config.dataFolder = "memory";
    this->config.adminTokenSha256 = sha256Hex("root");
    this->config.peers.push_back({1, "r", "d", "127.0.0.1", 1, 2, true});
    this->core =
        std::move(Core::create(this->config, consensus::StoredState{}, 1, 1, this->now).value());
    this->advance();
    LONGS_EQUAL(
        200, this->put("root", "/cell/tokens/riga",
                       R"({"sha256":")" + sha256Hex("one") + R"(","role":"team","team":"riga"})"));
    LONGS_EQUAL(200, this->put("root", "/teams/tejo/notes/n", "\"x\""));
  }
  void take(std::vector<Action> actions) {
    for (Action &action : actions) {
      if (auto *answer = std::get_if<RespondExchange>(&action)) {
        this->status = answer->response.status;
        this->body = answer->response.body;
      } else if (auto *batch = std::get_if<StoreBatch>(&action); batch && batch->confirm) {
        this->take(this->core->handle(StorageDone{batch->index, batch->term}, this->now, 0));
      }
    }
  }
  void advance() {
    for (int i = 0; i < 200; ++i) {
      this->now += std::chrono::milliseconds(20);
      this->take(this->core->tick(this->now, 0));
    }
  }
  int send(const std::string &secret, http::Request request) {
    request.headers = {{"authorization", "Bearer " + secret}};
    this->status = 0;
    this->take(this->core->handle(RequestEvent{++this->exchanges, request}, this->now, 0));
    if (this->status == 0)
      this->advance();
    return this->status;
  }
  int put(const std::string &secret, const std::string &path, const std::string &value) {
    return this->send(secret,
                      {"POST",
                       "/v1/changes",
                       "",
                       {},
                       R"({"change_id":"c)" + std::to_string(++this->changes) +
                           R"(","edits":[{"path":")" + path + R"(","value":)" + value + "}]}"});
  }
  int get(const std::string &secret, const std::string &path, const std::string &query) {
    return this->send(secret, {"GET", path, query, {}, ""});
  }
};

TEST(TokenAtLeader, ChangesOnlyItsTeam) {
  LONGS_EQUAL(200, this->put("one", "/teams/riga/notes/n", "\"x\""));
  for (const char *path : {"/teams/tejo/notes/n", "/teams/rigas/notes/n", "/cell/tokens/riga",
                           "/cell/workers/w", "/system/owners/w"})
    LONGS_EQUAL(403, this->put("one", path, "null"));
  LONGS_EQUAL(401, this->put("unknown", "/teams/riga/notes/n", "null"));
}

TEST(TokenAtLeader, LeavesTheSystemToTheCell) {
  LONGS_EQUAL(403, this->put("root", "/system/owners/w", R"({"daemon":1,"epoch":1})"));
}

TEST(TokenAtLeader, AuditsOnlyItsTeamAndNeverShowsTokens) {
  LONGS_EQUAL(200, this->get("one", "/v1/audit", "path=/teams/riga"));
  for (const char *query : {"", "path=/teams/tejo", "path=/cell/tokens", "path=/system"})
    LONGS_EQUAL(403, this->get("one", "/v1/audit", query));
  LONGS_EQUAL(200, this->get("root", "/v1/audit", ""));
  CHECK(this->body.find(sha256Hex("one")) != std::string::npos);
  CHECK(this->body.find("\"one\"") == std::string::npos);
}

TEST(TokenAtLeader, ListsOnlyJobsOfItsTeam) {
  // Proposed past the operators' interface, which refuses jobs while no worker is known.
  wire::Propose propose;
  propose.command = control::ChangeSettings{
      {"c",
       "a",
       0,
       {{"/teams/tejo/batches/b", R"({"count":1,"millicores":1,"memory_mib":1})", {}}}}};
  this->take(this->core->handle(PeerEvent{{1, 1, 1, propose}}, this->now, 0));
  this->advance();
  LONGS_EQUAL(200, this->get("root", "/v1/jobs/explain", "job=/teams/tejo/batches/b"));
  LONGS_EQUAL(200, this->get("one", "/v1/jobs", ""));
  CHECK(this->body.find("tejo") == std::string::npos);
  LONGS_EQUAL(404, this->get("one", "/v1/jobs/explain", "job=/teams/tejo/batches/b"));
}
