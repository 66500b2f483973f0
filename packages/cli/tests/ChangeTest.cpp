// Guards against changes that are sent twice under different identifiers, or not as given.
#include "FakeServer.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::cli;
using nlohmann::json;
using test::Answer;
using test::contains;
using test::FakeServer;

namespace {

std::optional<Answer> accept(const banyanrill::http::Request &) {
  return Answer{200, {{"revision", 12}}};
}

} // namespace

TEST_GROUP(Change){};

TEST(Change, SendsTheEditAsGiven) {
  FakeServer server(accept);
  const test::Run result =
      test::run({"--server", server.address(), "set", "/teams/a b/x", R"({"count": 3})",
                 "--if-version", "5", "--change-id", "c1", "--dry-run"});
  LONGS_EQUAL(ExitOk, result.code);
  STRCMP_EQUAL("accepted (dry run), revision 12\n", result.out.c_str());
  STRCMP_EQUAL("/v1/changes", server.requests()[0].path.c_str());
  CHECK(server.body(0) ==
        json({{"change_id", "c1"},
              {"dry_run", true},
              {"edits",
               {{{"path", "/teams/a b/x"}, {"value", {{"count", 3}}}, {"if_version", 5}}}}}));
}

TEST(Change, ReadsTheValueFromAFileOrStandardInput) {
  FakeServer server(accept);
  const std::filesystem::path file =
      std::filesystem::temp_directory_path() / ("banyanrill-cli-" + std::to_string(getpid()));
  std::ofstream(file) << "[1, 2]";
  LONGS_EQUAL(ExitOk,
              test::run({"--server", server.address(), "set", "/a", "@" + file.string()}).code);
  std::filesystem::remove(file);
  LONGS_EQUAL(ExitOk, test::run({"--server", server.address(), "set", "/a", "-"}, "\"text\"").code);
  LONGS_EQUAL(
      ExitOk,
      test::run({"--server", server.address(), "apply", "-"}, R"({"/a":1,"/b":null})").code);
  CHECK(server.body(0)["edits"][0]["value"] == json({1, 2}));
  CHECK(server.body(1)["edits"][0]["value"] == "text");
  CHECK(server.body(2)["edits"] ==
        json({{{"path", "/a"}, {"value", 1}}, {{"path", "/b"}, {"value", nullptr}}}));
}

TEST(Change, IdentifiersAreRandom) {
  FakeServer server(accept);
  for (int index = 0; index < 2; ++index)
    test::run({"--server", server.address(), "delete", "/a"});
  const std::string first = server.body(0)["change_id"];
  LONGS_EQUAL(32, first.size());
  CHECK(first.find_first_not_of("0123456789abcdef") == std::string::npos);
  CHECK(first != server.body(1)["change_id"]);
  CHECK(server.body(0)["edits"][0]["value"].is_null());
  CHECK(!server.body(0)["edits"][0].contains("if_version"));
}

TEST(Change, IsRepeatedAtTheNextServerUnderTheSameIdentifier) {
  FakeServer lost([](const auto &) { return std::nullopt; });
  FakeServer server(accept);
  const test::Run result =
      test::run({"--server", lost.address(), "--server", server.address(), "set", "/a", "1"});
  LONGS_EQUAL(ExitOk, result.code);
  LONGS_EQUAL(1, lost.requests().size());
  LONGS_EQUAL(1, server.requests().size());
  CHECK(lost.body(0) == server.body(0));
}

TEST(Change, GoesOnToTheNextServerAfterARefusalThatDidNotRun) {
  FakeServer busy([](const auto &) {
    return Answer{503, {{"error", {{"message", "no leader"}}}, {"verdict", "did-not-run"}}};
  });
  FakeServer server(accept);
  LONGS_EQUAL(
      ExitOk,
      test::run({"--server", busy.address(), "--server", server.address(), "set", "/a", "1"}).code);
  const test::Run refused = test::run({"--server", busy.address(), "set", "/a", "1"});
  LONGS_EQUAL(ExitRefused, refused.code);
  CHECK(contains(refused.err, "no leader"));
}

TEST(Change, RefusalThatMayHaveRunIsUnknown) {
  FakeServer server([](const auto &) {
    return Answer{503, {{"error", {{"message", "no answer"}}}, {"verdict", "may-have-run"}}};
  });
  LONGS_EQUAL(ExitUnknownOutcome, test::run({"--server", server.address(), "set", "/a", "1"}).code);
}

TEST(Change, TakesServerAndTokenFromTheEnvironment) {
  FakeServer server(accept);
  const std::filesystem::path file =
      std::filesystem::temp_directory_path() / ("banyanrill-token-" + std::to_string(getpid()));
  std::ofstream(file) << "secret\n";
  setenv("BANYANRILL_SERVER", ("127.0.0.1:1," + server.address()).c_str(), 1);
  setenv("BANYANRILL_TOKEN_FILE", file.c_str(), 1);
  const test::Run result = test::run({"set", "/a", "1"});
  unsetenv("BANYANRILL_SERVER");
  unsetenv("BANYANRILL_TOKEN_FILE");
  std::filesystem::remove(file);
  LONGS_EQUAL(ExitOk, result.code);
  STRCMP_EQUAL("Bearer secret",
               banyanrill::http::findHeader(server.requests()[0].headers, "authorization").c_str());
}
