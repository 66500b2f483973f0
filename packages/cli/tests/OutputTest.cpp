// Guards against tables that lose members or pass control characters to the terminal.
#include "../src/Output.h"
#include "FakeServer.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::cli;
using nlohmann::json;
using test::Answer;
using test::contains;
using test::FakeServer;

TEST_GROUP(Output){};

TEST(Output, ShowsArraysOfObjectsAsTables) {
  FakeServer server([](const auto &) {
    return Answer{200,
                  {{"leader", 2},
                   {"daemons", {{{"id", 1}, {"role", "replica"}}, {{"id", 2}, {"lag", 3}}}},
                   {"empty", json::array()}}};
  });
  const test::Run result = test::run({"--server", server.address(), "status"});
  STRCMP_EQUAL(
      "empty: []\nleader: 2\n\ndaemons:\nID  ROLE     LAG\n1   replica  -\n2   -        3\n",
      result.out.c_str());
  test::run({"--server", server.address(), "explain", "/teams/a/gangs/g&x"});
  STRCMP_EQUAL("/teams/a/gangs/g&x",
               banyanrill::http::findQuery(server.requests()[1].query, "job").c_str());
}

TEST(Output, ReplacesControlCharacters) {
  std::ostringstream out;
  writeTable(out, json::array({{{"name", "a\x1b[2Jb\n"}}}), {"name"});
  STRCMP_EQUAL("NAME\na?[2Jb?\n", out.str().c_str());
}
