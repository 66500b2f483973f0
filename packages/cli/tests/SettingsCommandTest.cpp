// Guards against commands that read or restore another value than the one asked for.
#include "FakeServer.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::cli;
using nlohmann::json;
using test::Answer;
using test::contains;
using test::FakeServer;

namespace {

/// Serves two settings and their history, and accepts every change.
struct SettingsFixture : Utest {
  static std::optional<Answer> answer(const banyanrill::http::Request &request) {
    static const json a = {{"path", "/t/a"}, {"value", {{"n", 2}, {"m", 1}}}, {"version", 5}};
    static const json b = {{"path", "/t/b"}, {"value", "x"}, {"version", 3}};
    if (request.path == "/v1/changes")
      return Answer{200, {{"revision", 6}}};
    if (request.path == "/v1/audit")
      return Answer{
          200,
          {{"records",
            {{{"revision", 5}, {"path", "/t/a"}, {"author", "eva"}, {"after", {{"n", 2}}}},
             {{"revision", 4}, {"path", "/t/a/below"}, {"after", 9}},
             {{"revision", 2}, {"path", "/t/a"}, {"after", {{"n", 1}}}}}}}};
    if (request.path == "/v1/settings/t/a")
      return Answer{200, {{"revision", 5}, {"values", {a}}}};
    if (request.path == "/v1/settings/t" && request.query == "recursive=1")
      return Answer{200, {{"revision", 5}, {"values", {a, b}}}};
    return Answer{404, {{"error", {{"message", "no such path"}}}}};
  }

  test::Run run(std::vector<std::string> arguments, const std::string &input = {}) {
    arguments.insert(arguments.begin(), {"--server", this->server.address()});
    return test::run(arguments, input);
  }

  /// Edits of the last request.
  json lastEdits() {
    const std::size_t count = this->server.requests().size();
    return this->server.body(count - 1).value("edits", json());
  }

  FakeServer server{answer};
};

} // namespace

TEST_GROUP_BASE(SettingsCommand, SettingsFixture){};

TEST(SettingsCommand, GetShowsATable) {
  const test::Run result = this->run({"get", "/t", "--recursive"});
  LONGS_EQUAL(ExitOk, result.code);
  STRCMP_EQUAL("PATH  VERSION  VALUE\n"
               "/t/a  5        {\"m\":1,\"n\":2}\n"
               "/t/b  3        x\n",
               result.out.c_str());
  const test::Run structured = this->run({"--output", "json", "get", "/t/a"});
  LONGS_EQUAL(2, json::parse(structured.out)["values"][0]["value"]["n"].get<int>());
  LONGS_EQUAL(ExitRefused, this->run({"get", "/missing"}).code);
}

TEST(SettingsCommand, ImportChangesOnlyWhatWasEdited) {
  const test::Run exported = this->run({"export", "/t"});
  LONGS_EQUAL(ExitOk, exported.code);
  LONGS_EQUAL(ExitOk, this->run({"import", "-"}, exported.out).code);
  LONGS_EQUAL(2, this->server.requests().size());

  json edited = json::parse(exported.out);
  edited["values"][1]["value"] = "y";
  edited["values"].push_back({{"path", "/t/new"}, {"value", true}});
  LONGS_EQUAL(ExitOk, this->run({"import", "-"}, edited.dump()).code);
  CHECK(this->lastEdits() == json({{{"path", "/t/b"}, {"value", "y"}, {"if_version", 3}},
                                   {{"path", "/t/new"}, {"value", true}, {"if_version", 0}}}));
  LONGS_EQUAL(ExitUsage, this->run({"import", "-"}, R"({"prefix":"/t","values":[3]})").code);
  LONGS_EQUAL(ExitUsage, this->run({"import", "-"}, "[]").code);
}

TEST(SettingsCommand, RollbackSetsTheOldValueUnlessThePathHasChanged) {
  LONGS_EQUAL(ExitOk, this->run({"rollback", "/t/a", "--to", "2"}).code);
  CHECK(this->lastEdits() == json({{{"path", "/t/a"}, {"value", {{"n", 1}}}, {"if_version", 5}}}));
  // Version 4 belongs to a path below.
  const test::Run missing = this->run({"rollback", "/t/a", "--to", "4"});
  LONGS_EQUAL(ExitRefused, missing.code);
  CHECK(contains(missing.err, "version 4 of /t/a"));
}

TEST(SettingsCommand, HistoryLeavesOutPathsBelow) {
  const test::Run result = this->run({"history", "/t/a"});
  CHECK(contains(result.out, "eva"));
  CHECK(!contains(result.out, "/t/a/below"));
  CHECK(contains(this->run({"audit", "--path", "/t/a"}).out, "/t/a/below"));
}

TEST(SettingsCommand, DiffShowsMembers) {
  const test::Run result = this->run({"diff", "/t/a", R"({"n":3,"k":true})"});
  LONGS_EQUAL(ExitOk, result.code);
  CHECK(contains(result.out, "replace  /n      2        3"));
  CHECK(contains(result.out, "remove   /m      1        -"));
  CHECK(contains(result.out, "add      /k      -        true"));
  STRCMP_EQUAL("no difference\n", this->run({"diff", "/t/a", R"({"m":1,"n":2})"}).out.c_str());
  LONGS_EQUAL(ExitOk, this->run({"diff", "/missing", "1"}).code);
}

TEST(SettingsCommand, AnswerOfAnotherFormIsReported) {
  FakeServer odd([](const auto &) { return Answer{200, {{"values", {1, 2}}, {"records", {3}}}}; });
  for (const char *command : {"get", "history"}) {
    const test::Run result = test::run({"--server", odd.address(), command, "/t"});
    LONGS_EQUAL(ExitRefused, result.code);
    CHECK(contains(result.err, "unexpected form"));
  }
}

TEST(SettingsCommand, DrainMarksTheWorker) {
  LONGS_EQUAL(ExitOk, this->run({"drain", "w-7"}).code);
  CHECK(
      this->lastEdits() ==
      json({{{"path", "/cell/workers/w-7"}, {"value", {{"draining", true}}}, {"if_version", 0}}}));
  LONGS_EQUAL(ExitOk, this->run({"drain", "w-7", "--undo"}).code);
  LONGS_EQUAL(3, this->server.requests().size()); // It was not drained, so nothing is changed.
}
