// Guards against scripts that take a refused or lost change for a successful one.
#include "FakeServer.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::cli;
using nlohmann::json;
using test::Answer;
using test::contains;
using test::FakeServer;

TEST_GROUP(ExitCode){};

TEST(ExitCode, UsageErrors) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"get"},
      {"get", "/a"},
      {"unknown"},
      {"--server", "localhost:1", "get", "/a"},
      {"--server", "127.0.0.1", "get", "/a"},
      {"--server", "127.0.0.1:99999", "get", "/a"},
      {"--server", "127.0.0.1:1", "get", "no-slash"},
      {"--server", "127.0.0.1:1", "set", "/a", "{broken"},
      {"--server", "127.0.0.1:1", "set", "/a", "null"},
      {"--server", "127.0.0.1:1", "set", "/a", "@/nowhere"},
      {"--server", "127.0.0.1:1", "set", "/a", "1", "--if-version", "x"},
      {"--server", "127.0.0.1:1", "--output", "xml", "get", "/a"},
      {"--server", "127.0.0.1:1", "--token-file", "/nowhere", "get", "/a"},
      {"--server", "127.0.0.1:1", "--ca", "/nowhere", "get", "/a"},
  };
  for (const std::vector<std::string> &arguments : wrong) {
    const test::Run result = test::run(arguments);
    LONGS_EQUAL_TEXT(ExitUsage, result.code, result.err.c_str());
    CHECK(!result.err.empty());
  }
  LONGS_EQUAL(ExitOk, test::run({"--help"}).code);
  STRCMP_EQUAL("1.2.3\n", test::run({"--version"}).out.c_str());
}

TEST(ExitCode, NoServerIsReachable) {
  const test::Run result =
      test::run({"--server", "127.0.0.1:1", "--server", "127.0.0.1:2", "set", "/a", "1"});
  LONGS_EQUAL(ExitUnreachable, result.code);
  CHECK(contains(result.err, "no server can be reached"));
}

TEST(ExitCode, RefusalNamesPathRuleAndCurrentValue) {
  FakeServer server([](const auto &) {
    return Answer{409,
                  {{"error",
                    {{"code", "version-conflict"},
                     {"message", "the version is not current"},
                     {"path", "/a"},
                     {"rule", "if_version"}}},
                   {"current", {{"path", "/a"}, {"value", {{"x", 1}}}, {"version", 7}}}}};
  });
  const test::Run result =
      test::run({"--server", server.address(), "set", "/a", "2", "--if-version", "6"});
  LONGS_EQUAL(ExitRefused, result.code);
  STRCMP_EQUAL("banyanrill: the version is not current; path: /a; rule: if_version; "
               "current version 7: {\"x\":1}\n",
               result.err.c_str());
  STRCMP_EQUAL("", result.out.c_str());
  LONGS_EQUAL(1, server.requests().size());
}

TEST(ExitCode, LostAnswerHasAnUnknownOutcome) {
  FakeServer server([](const auto &) { return std::nullopt; });
  const test::Run result = test::run({"--server", server.address(), "set", "/a", "1"});
  LONGS_EQUAL(ExitUnknownOutcome, result.code);
  LONGS_EQUAL(2, server.requests().size());
  const std::string id = server.body(0)["change_id"];
  CHECK(contains(result.err, "change-id: " + id));
}

TEST(ExitCode, AnswerThatIsNotAnObjectIsNotASuccess) {
  FakeServer server([](const auto &) { return Answer{200, json("not an object")}; });
  LONGS_EQUAL(ExitUnknownOutcome, test::run({"--server", server.address(), "set", "/a", "1"}).code);
  LONGS_EQUAL(ExitUnreachable, test::run({"--server", server.address(), "get", "/a"}).code);
}

TEST(ExitCode, LostAnswerToAReadIsNotAnUnknownOutcome) {
  FakeServer server([](const auto &) { return std::nullopt; });
  LONGS_EQUAL(ExitUnreachable, test::run({"--server", server.address(), "status"}).code);
}
