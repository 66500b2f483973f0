// Guards against a token that opens more than its own subtree, or that still works once revoked.
#include "banyanrill/daemon/Digest.h"
#include "banyanrill/daemon/Operators.h"

#include <algorithm>
#include <cctype>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::daemon;

TEST_GROUP(Token) {
  Config config;
  settings::Tree tree;
  std::uint64_t changes = 0;
  int answered = 0;
  std::string body;

  void setup() override {
    this->config.daemon = 1;
    this->config.adminTokenSha256 = sha256Hex("root");
    this->config.peers.push_back({1, "r", "d", "127.0.0.1", 1, 2, false});
    this->put("/teams/riga/notes/n", "\"riga\"");
    this->put("/teams/tejo/notes/n", "\"tejo\"");
    this->put("/cell/tokens/riga", token("one"));
  }
  static std::string token(const std::string &secret) {
    std::string digest = sha256Hex(secret);
    std::transform(digest.begin(), digest.end(), digest.begin(),
                   [](unsigned char digit) { return static_cast<char>(std::toupper(digit)); });
    return R"({"sha256":")" + digest + R"(","role":"team","team":"riga"})";
  }
  void put(const std::string &path, std::optional<std::string> value) {
    const settings::Outcome outcome = this->tree.apply(
        {"c" + std::to_string(++this->changes), "a", 0, {{path, std::move(value), {}}}});
    CHECK_TEXT(outcome.accepted, outcome.errorMessage.c_str());
  }
  int get(const std::string &secret, const std::string &path, const std::string &query = "") {
    Context context{this->config, base::TimePoint{}, 0, base::RandomSource(1), {}, 0};
    Proposals proposals(context);
    Operators operators(context, proposals, nullptr, nullptr);
    http::Request request{"GET", path, query, {}, ""};
    if (!secret.empty())
      request.headers.emplace_back("authorization", "Bearer " + secret);
    operators.onRequest(1, request, this->tree, {});
    const http::Response &response = std::get<RespondExchange>(context.actions.at(0)).response;
    this->body = response.body;
    return response.status;
  }
};

TEST(Token, RefusesNoneAndUnknownOnes) {
  for (const char *path : {"/v1/settings", "/v1/changes", "/v1/audit", "/v1/status", "/v1/jobs"}) {
    LONGS_EQUAL(401, this->get("", path));
    LONGS_EQUAL(401, this->get("unknown", path));
  }
}

TEST(Token, ReadsAndWatchesOnlyItsTeam) {
  LONGS_EQUAL(200, this->get("one", "/v1/settings/teams/riga/notes/n"));
  LONGS_EQUAL(404, this->get("one", "/v1/settings/teams/tejo/notes/n"));
  LONGS_EQUAL(404, this->get("one", "/v1/settings/cell/tokens/riga"));
  LONGS_EQUAL(200, this->get("one", "/v1/settings", "recursive=1"));
  CHECK(this->body.find("tejo") == std::string::npos);
  CHECK(this->body.find("sha256") == std::string::npos);
  LONGS_EQUAL(200, this->get("one", "/v1/changes", "prefix=/teams/riga&from=0"));
  for (const char *prefix : {"", "/teams/tejo", "/teams", "/cell", "/system", "/teams/rig"})
    LONGS_EQUAL(403, this->get("one", "/v1/changes", std::string("from=0&prefix=") + prefix));
}

TEST(Token, EndsWhenRevokedOrRotated) {
  this->put("/cell/tokens/riga", token("two"));
  LONGS_EQUAL(401, this->get("one", "/v1/status"));
  LONGS_EQUAL(200, this->get("two", "/v1/status"));
  this->put("/cell/tokens/riga", std::nullopt);
  LONGS_EQUAL(401, this->get("two", "/v1/status"));
}
