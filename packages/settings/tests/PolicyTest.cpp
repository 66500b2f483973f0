// Guards against policies that are accepted although they break a rule, and errors that do not
// name the place.
#include "banyanrill/settings/Policy.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::settings;
using banyanrill::base::Errc;

TEST_GROUP(Policy){
    static void refused(const std::string &path, const std::string &json, Errc code,
                        const std::string &where){const auto status = checkSetting(path, json);
CHECK_TEXT(!status.ok(), (path + " " + json).c_str());
CHECK_TEXT(status.error().code == code, status.error().message.c_str());
STRCMP_EQUAL(where.c_str(), status.error().path.c_str());
}
static void accepted(const std::string &path, const std::string &json) {
  const auto status = checkSetting(path, json);
  CHECK_TEXT(status.ok(), status.ok() ? "" : (path + ": " + status.error().message).c_str());
}
}
;

TEST(Policy, OperationHasDefaults) {
  OperationPolicy expected;
  expected.repeatable = true;
  CHECK(parseOperationPolicy(R"({"repeatable":true})").value() == expected);
}

TEST(Policy, OperationFieldsAreRead) {
  const auto policy = parseOperationPolicy(
      R"({"repeatable":false,"millicores":5,"memory_mib":6,"accelerators":7,"deadline_ms":8,)"
      R"("priority":-9,"cross_region":"when_full"})");
  CHECK(policy.value() == (OperationPolicy{false, {5, 6, 7}, 8, -9, true}));
}

TEST(Policy, JobFieldsAreRead) {
  const auto policy =
      parseJobPolicy("/teams/riga/gangs/model",
                     R"({"count":4,"millicores":5,"memory_mib":6,"accelerators":1,"priority":2,)"
                     R"("data_centres":["riga-a"],"max_attempts":9,"run_ms":10,"deadline_ms":11,)"
                     R"("preemptible":false,"checkpointable":true,"on_isolation":"keep"})");
  const JobPolicy expected = {JobKind::Gang, "riga", 4,    {5, 6, 1}, 2, {"riga-a"}, 9, 10, 11,
                              false,         true,   false};
  CHECK(policy.value() == expected);
}

TEST(Policy, ErrorsNameThePlace) {
  const std::string job = "/teams/riga/batches/b";
  refused(job, R"({"count":0,"millicores":1,"memory_mib":1})", Errc::SchemaViolation,
          job + "#/count");
  refused(job, R"({"count":1,"millicores":1,"memory_mib":1,"data_centres":["a",7]})",
          Errc::SchemaViolation, job + "#/data_centres/1");
  refused(job, R"({"count":1,"millicores":1,"memory_mib":1,"colour":1})", Errc::SchemaViolation,
          job);
  refused(job, R"({"count":1,"millicores":1})", Errc::SchemaViolation, job);
  refused(job, R"({"count":1,"count":2,"millicores":1,"memory_mib":1})", Errc::Malformed, job);
  refused(job, R"({"count":1)", Errc::Malformed, job);
  STRCMP_EQUAL("/repeatable", parseOperationPolicy(R"({"repeatable":1})").error().path.c_str());
}

TEST(Policy, SubtreesHaveTheirSchemas) {
  accepted("/teams/riga/notes/n", R"([1,{"a":null}])");
  accepted("/cell/quotas/riga", R"({"millicores":1,"memory_mib":2,"accelerators":3})");
  const std::string digest(64, 'a');
  accepted("/cell/tokens/t", R"({"sha256":")" + digest + R"(","role":"admin"})");
  accepted("/cell/tokens/t", R"({"sha256":")" + digest + R"(","role":"team","team":"riga"})");
  refused("/cell/tokens/t", R"({"sha256":")" + digest + R"(","role":"team"})",
          Errc::SchemaViolation, "/cell/tokens/t#/team");
  refused("/cell/tokens/t", R"({"sha256":")" + digest + R"(0","role":"admin"})",
          Errc::SchemaViolation, "/cell/tokens/t#/sha256");
  accepted("/cell/workers/w1", R"({"draining":true})");
  accepted("/cell/data-centres/riga-a", R"({"lost":true})");
  accepted("/system/owners/w1", R"({"daemon":3,"epoch":4})");
  refused("/system/owners/w1", R"({"daemon":3,"epoch":18446744073709551615})",
          Errc::SchemaViolation, "/system/owners/w1#/epoch");
}

TEST(Policy, PathsOutsideTheSubtreesAreRefused) {
  for (const std::string path : {"/teams/riga/colours/x", "/teams/riga/notes", "/cell/x/y",
                                 "/teams/riga/operations/level", "/teams/riga/operations/a.b.c"})
    refused(path, "{}", Errc::NotFound, path);
  for (const std::string path : {"", "/", "teams/riga", "/teams//notes/x", "/teams/riga/notes/x/",
                                 "/teams/riga/notes/a b", "/1/2/3/4/5/6/7/8/9"})
    refused(path, "{}", Errc::Malformed, path);
}

TEST(Policy, DeepNestingIsRefused) {
  const auto nested = [](std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  accepted("/teams/riga/notes/n", nested(64));
  refused("/teams/riga/notes/n", nested(65), Errc::Malformed, "/teams/riga/notes/n");
}
