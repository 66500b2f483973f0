// Guards against a watch that skips or repeats changes, or goes on after the history has ended.
#include "FakeServer.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::cli;
using nlohmann::json;
using test::Answer;
using test::contains;
using test::FakeServer;

TEST_GROUP(Watch){};

TEST(Watch, ContinuesFromTheLastRevision) {
  FakeServer server([](const banyanrill::http::Request &request) -> std::optional<Answer> {
    const std::string from = banyanrill::http::findQuery(request.query, "from");
    const int next = std::stoi(from) + 1;
    if (next == 5)
      return Answer{200, {{"revision", 5}, {"changes", json::array()}}};
    return Answer{200,
                  {{"revision", next},
                   {"changes", {{{"revision", next}, {"path", "/t/a"}, {"value", nullptr}}}}}};
  });
  const test::Run result =
      test::run({"--server", server.address(), "watch", "/t", "--from", "2", "--limit", "3"});
  LONGS_EQUAL(ExitOk, result.code);
  STRCMP_EQUAL("3  /t/a  (deleted)\n4  /t/a  (deleted)\n6  /t/a  (deleted)\n", result.out.c_str());
  STRCMP_EQUAL("/t", banyanrill::http::findQuery(server.requests()[0].query, "prefix").c_str());
}

TEST(Watch, StartsAtTheCurrentRevision) {
  FakeServer server([](const banyanrill::http::Request &request) -> std::optional<Answer> {
    if (request.path == "/v1/settings/")
      return Answer{200, {{"revision", 9}, {"values", json::array()}}};
    return Answer{410, {{"error", {{"message", "beyond the history"}, {"rule", "from"}}}}};
  });
  const test::Run result = test::run({"--server", server.address(), "watch"});
  LONGS_EQUAL(ExitRefused, result.code);
  CHECK(contains(result.err, "beyond the history; rule: from"));
  STRCMP_EQUAL("9", banyanrill::http::findQuery(server.requests()[1].query, "from").c_str());
}
