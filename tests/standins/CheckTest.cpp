// Guards against a check that overlooks a fault, or that reports one where there is none.
#include "Check.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using banyanrill::standins::Check;
using banyanrill::standins::Summary;

namespace {

const std::string Execution =
    R"({"event":"request_start","t_us":1,"key":"k","request_id":"r","upstream":"u"})";

std::string request(const std::string &verdict, const std::string &own,
                    const std::string &requestId = "r") {
  return R"({"key":"k","repeatable":false,"request_id":")" + requestId + R"(","verdict":")" +
         verdict + R"(","own":)" + own + "}";
}

std::string task(const std::string &event, int time, int attempt, const std::string &worker) {
  return R"({"event":"task_)" + event + R"(","t_us":)" + std::to_string(time) +
         R"(,"task":"t","attempt":)" + std::to_string(attempt) + R"(,"worker":")" + worker +
         R"("})";
}

Summary judge(const std::vector<std::string> &journal, const std::vector<std::string> &requests,
              const std::vector<std::string> &secondJournal = {}) {
  Check check;
  const auto join = [](const std::vector<std::string> &lines) {
    std::string text;
    for (const std::string &line : lines)
      text += line + "\n";
    return std::istringstream(text);
  };
  auto first = join(journal);
  auto second = join(secondJournal);
  auto sent = join(requests);
  check.addJournal(first);
  check.addJournal(second);
  check.addRequests(sent);
  return check.judge();
}

} // namespace

TEST_GROUP(Check){};

TEST(Check, CleanRunHasNoFault) {
  const Summary summary = judge(
      {Execution, task("start", 1, 1, "a"), task("end", 5, 1, "a"), task("start", 5, 2, "b"),
       R"({"event":"job_finished","t_us":6,"tasks":["t"]})"},
      {request("ran", "true"), request("did-not-run", "null", "other"), request("", "null", "")});
  CHECK(!summary.hasFault());
  LONGS_EQUAL(3, summary.sent);
  LONGS_EQUAL(1, summary.accepted);
  LONGS_EQUAL(1, summary.answeredOnce);
  LONGS_EQUAL(1, summary.refused.at("did-not-run"));
  LONGS_EQUAL(1, summary.refused.at("none"));
}

TEST(Check, Doubled) {
  LONGS_EQUAL(1, judge({Execution, Execution}, {request("ran", "true")}).doubled);
}

TEST(Check, LostRequest) { LONGS_EQUAL(1, judge({}, {request("ran", "null")}).lost); }

TEST(Check, LostTask) {
  LONGS_EQUAL(1, judge({R"({"event":"job_finished","t_us":6,"tasks":["t"]})"}, {}).lost);
}

TEST(Check, FalseDidNotRun) {
  LONGS_EQUAL(1, judge({Execution}, {request("did-not-run", "null")}).falseDidNotRun);
  LONGS_EQUAL(1, judge({Execution}, {request("did-not-run", "null", "")}).falseDidNotRun);
  LONGS_EQUAL(
      0, judge({Execution}, {request("did-not-run", "null", ""), request("may-have-run", "null")})
             .falseDidNotRun);
}

TEST(Check, TwoPlaces) {
  LONGS_EQUAL(1, judge({task("start", 1, 1, "a"), task("end", 5, 1, "a")}, {},
                       {task("start", 4, 2, "b"), task("end", 9, 2, "b")})
                     .twoPlaces);
}

TEST(Check, TasksEndWithAKilledProcess) {
  LONGS_EQUAL(0, judge({task("start", 1, 1, "a"), R"({"event":"cell_start","t_us":9})"}, {},
                       {task("start", 2, 2, "b")})
                     .twoPlaces);
}

TEST(Check, OverMeansAndOverSlots) {
  const Summary summary = judge({R"({"event":"over","t_us":1,"kind":"worker","id":"w"})",
                                 R"({"event":"over","t_us":1,"kind":"upstream","id":"u"})"},
                                {});
  LONGS_EQUAL(1, summary.overMeans);
  LONGS_EQUAL(1, summary.overSlots);
}

TEST(Check, WrongAnswer) {
  LONGS_EQUAL(1, judge({Execution}, {request("ran", "false")}).wrongAnswers);
}

TEST(Check, OnlyTheLastLineMayBeIncomplete) {
  Check check;
  std::istringstream cut(Execution + "\n{\"event\":");
  check.addJournal(cut);
  std::istringstream broken("{\"event\":\n" + Execution + "\n");
  CHECK_THROWS(std::runtime_error, check.addJournal(broken));
}

TEST(Check, RequestAfterLeavingIsFound) {
  const auto leaving = R"({"event":"upstream_leaving","t_us":0,"upstream":"u"})";
  const auto start = [](int time) {
    return R"({"event":"request_start","key":"k","upstream":"u","t_us":)" + std::to_string(time) +
           "}";
  };
  LONGS_EQUAL(0, judge({leaving, start(3000000)}, {}).afterLeaving);
  LONGS_EQUAL(1, judge({leaving, start(3000001)}, {}).afterLeaving);
  // An instance that returned under the same name.
  const auto restart = R"({"event":"cell_start","t_us":1})";
  LONGS_EQUAL(0, judge({leaving, restart, start(3000001)}, {}).afterLeaving);
}

TEST(Check, InterruptedConnectionIsFoundInPlannedPhases) {
  const auto unanswered = [](const std::string &planned, const std::string &verdict) {
    return R"({"key":"k","status":0,"planned":)" + planned + R"(,"verdict":")" + verdict + R"("})";
  };
  LONGS_EQUAL(1, judge({}, {unanswered("true", "")}).interrupted);
  LONGS_EQUAL(0, judge({}, {unanswered("false", ""), unanswered("true", "not-sent")}).interrupted);
  CHECK(judge({}, {unanswered("true", "")}).hasFault());
}
