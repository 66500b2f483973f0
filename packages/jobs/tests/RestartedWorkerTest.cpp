// Guards against what holds for one life of a worker and is used in its next one under the same
// identifier: leases, counts of ends, orders and placements.
#include "FakeCell.h"
#include "ManualCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::int64_t FormerStartMs = 7;
constexpr std::int64_t NextStartMs = 9000;
const TaskKey OnlyTask{"job", 0, 0, 0};

RenewLeaseAnswer answerOf(std::int64_t startTimeMs, std::int64_t clockMs) {
  return {OrderOutcome::Accepted, clockMs, startTimeMs, {}, {}};
}

/// Answers the next renewal of the lease. \returns the renewal.
RenewLeaseOrder renew(ManualCell &cell, const RenewLeaseAnswer &answer) {
  for (int round = 0; round < 20; ++round) {
    const std::vector<Action> orders = cell.step(10);
    if (const RenewLeaseOrder *hold = cell.find<RenewLeaseOrder>(orders)) {
      cell.dispatcher->onRenewLeaseAnswer(hold->id, answer, cell.now);
      return *hold;
    }
  }
  FAIL("the lease is not renewed");
  return {};
}

/// The next order of a type within 200 ms.
template <typename Order> std::optional<Order> next(ManualCell &cell) {
  for (int round = 0; round < 20; ++round) {
    const std::vector<Action> orders = cell.step(10);
    if (const Order *order = cell.find<Order>(orders))
      return *order;
  }
  return std::nullopt;
}

WorkerProfile nextLife(const ManualCell &cell) {
  WorkerProfile profile = cell.table.findWorker("w")->profile;
  profile.incarnation.startTimeMs = NextStartMs;
  return profile;
}

} // namespace

TEST_GROUP(RestartedWorker){};

/// A lease that was meant for the former life lasts longer on the next one's clock.
TEST(RestartedWorker, CutSoonAfterItsReturnRunsNoTaskTwice) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CellOptions options;
    options.seed = seed;
    FakeCell cell(options);
    cell.run(6000);
    cell.restart(0, true);
    cell.run(300);
    cell.submit(makeJob("job", 40, 1000, 16000));
    cell.run(700);
    cell.cut(0, true);
    cell.run(20000);
    cell.cut(0, false);
    cell.run(40000);
    CHECK(cell.allEnded());
    for (const std::string &violation : cell.findViolations())
      FAIL(violation.c_str());
  }
}

/// An order of the former life that is late was carried out after the next one had been listed.
TEST(RestartedWorker, RefusesLateOrdersOfItsFormerLife) {
  ManualCell cell;
  const auto tokenNow = [&cell] {
    const std::optional<RenewLeaseOrder> order = next<RenewLeaseOrder>(cell);
    CHECK(order.has_value());
    return order->target.fencingToken;
  };
  std::uint64_t highest = tokenNow();
  const auto checkRise = [&](const char *text) {
    const std::uint64_t token = tokenNow();
    CHECK_TEXT(token > highest, text);
    highest = token;
  };
  const WorkerProfile former = cell.table.findWorker("w")->profile;
  cell.apply({RestartWorker{former.incarnation, nextLife(cell)}});
  checkRise("restart");
  cell.apply({RemoveWorker{{"w", NextStartMs}, {}}});
  cell.apply({RegisterWorker{former}});
  checkRise("removal and registration");
  cell.lead(6);
  checkRise("new leader");
  cell.apply({RemoveWorker{former.incarnation, {}}});
  cell.apply({RegisterWorker{former}});
  checkRise("removal and registration at a new leader");
}

/// The question who answers carried a lease and a count of ends of the life in doubt.
TEST(RestartedWorker, InDoubtIsAskedWithoutLeaseAndCount) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  cell.apply({RecordEnds{{"w", FormerStartMs}, {{5, {OnlyTask, 1}, EndKind::Stopped, ""}}}});
  cell.dispatcher->onWorkerClaim(nextLife(cell), cell.now);
  const std::optional<RenewLeaseOrder> question = next<RenewLeaseOrder>(cell);
  CHECK(question.has_value());
  CHECK(!question->leaseUntilMs.has_value());
  CHECK_EQUAL(0U, question->recordedEnds);
}

/// The same after a silence, in which it may have restarted.
TEST(RestartedWorker, AfterASilenceIsAskedWithoutCount) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  cell.apply({RecordEnds{{"w", FormerStartMs}, {{5, {OnlyTask, 1}, EndKind::Stopped, ""}}}});
  renew(cell, RenewLeaseAnswer());
  const std::optional<RenewLeaseOrder> question = next<RenewLeaseOrder>(cell);
  CHECK(question.has_value());
  CHECK(!question->leaseUntilMs.has_value());
  CHECK_EQUAL(0U, question->recordedEnds);
}

/// A new leader's first call made a worker forget ends that nobody had recorded.
TEST(RestartedWorker, IsAskedByANewLeaderWithoutLeaseAndCount) {
  ManualCell cell;
  cell.apply({RecordEnds{{"w", FormerStartMs}, {{5, {OnlyTask, 1}, EndKind::Stopped, ""}}}});
  cell.lead(6);
  cell.dispatcher->onWorkerReport({cell.table.findWorker("w")->profile, 1000, 1}, cell.now);
  const std::optional<RenewLeaseOrder> question = next<RenewLeaseOrder>(cell);
  CHECK(question.has_value());
  CHECK(!question->leaseUntilMs.has_value());
  CHECK_EQUAL(0U, question->recordedEnds);
}

/// Between the answer that shows the restart and its commit, orders with the former clock left.
TEST(RestartedWorker, GetsNoOrderUntilItsRestartIsRecorded) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  cell.apply({PlaceRuns{5, {{{OnlyTask, 1}, "w"}}}});
  const std::optional<StartOrder> start = next<StartOrder>(cell);
  CHECK(start.has_value());
  cell.dispatcher->onStartAnswer(start->id, OrderAnswer(), cell.now);
  std::optional<RenewLeaseOrder> question;
  std::vector<Command> uncommitted;
  for (int round = 0; round < 60; ++round) {
    cell.now += std::chrono::milliseconds(10);
    for (const Action &action : cell.dispatcher->takeActions(cell.now, EpochMs)) {
      if (const auto *command = std::get_if<Command>(&action)) {
        if (std::holds_alternative<RestartWorker>(*command))
          uncommitted.push_back(*command);
        continue;
      }
      CHECK_TEXT(uncommitted.empty() || std::holds_alternative<RenewLeaseOrder>(action),
                 "an order left after the restart was seen");
      if (const auto *hold = std::get_if<RenewLeaseOrder>(&action)) {
        CHECK(uncommitted.empty() || !hold->leaseUntilMs.has_value());
        cell.dispatcher->onRenewLeaseAnswer(hold->id, answerOf(NextStartMs, 20), cell.now);
      }
    }
  }
  CHECK(!uncommitted.empty());
}

/// A run that was ordered before the restart and carried out after it was done, and was started
/// again elsewhere.
TEST(RestartedWorker, SuccessOfARunThatWasOrderedBeforeTheRestartIsRecorded) {
  ManualCell cell;
  const RunKey run{OnlyTask, 1};
  cell.apply({PlaceRuns{5, {{run, "w"}}}});
  cell.apply({RestartWorker{{"w", FormerStartMs}, nextLife(cell)}});
  cell.apply({RecordEnds{{"w", NextStartMs}, {{1, run, EndKind::Succeeded, ""}}}});
  CHECK(cell.table.findJob("job")->phase == JobPhase::Succeeded);
}

/// The capacity and the labels for which the place was chosen may have changed with the life.
TEST(RestartedWorker, GetsNoRunThatWasPlannedForItsFormerLife) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  std::optional<PlaceRuns> planned;
  for (int round = 0; round < 20 && !planned; ++round) {
    cell.now += std::chrono::milliseconds(10);
    for (const Action &action : cell.dispatcher->takeActions(cell.now, EpochMs)) {
      if (const auto *command = std::get_if<Command>(&action);
          command != nullptr && std::holds_alternative<PlaceRuns>(*command))
        planned = std::get<PlaceRuns>(*command);
    }
  }
  CHECK(planned.has_value());
  cell.apply({RestartWorker{{"w", FormerStartMs}, nextLife(cell)}});
  cell.apply({*planned});
  renew(cell, answerOf(NextStartMs, 20));
  const std::optional<StartOrder> start = next<StartOrder>(cell);
  CHECK(!start || start->run.run != planned->runs.front().run.run);
}

/// The answer to a start names no life, but its clock shows that another one gave it.
TEST(RestartedWorker, IsNoticedByTheClockInItsAnswerToAStart) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 60000));
  cell.apply({PlaceRuns{5, {{{OnlyTask, 1}, "w"}}}});
  const std::optional<StartOrder> start = next<StartOrder>(cell);
  CHECK(start.has_value());
  cell.dispatcher->onStartAnswer(start->id, {OrderOutcome::Accepted, 200}, cell.now);
  const std::vector<Action> orders = cell.step(1);
  const RenewLeaseOrder *question = cell.find<RenewLeaseOrder>(orders);
  CHECK(question != nullptr);
  CHECK(!question->leaseUntilMs.has_value());
}

/// The start may have reached an incarnation that nobody has spoken to, which runs it for the
/// longest lease; a run that had answered before ended with the former one.
TEST(RestartedWorker, SilentSinceAStartWithoutAnswerKeepsTheRunForTheLongestLease) {
  for (const bool isAnswered : {true, false}) {
    ManualCell cell;
    const base::TimePoint begin = cell.now;
    const auto clockMs = [&cell, begin] {
      return std::chrono::duration_cast<std::chrono::milliseconds>(cell.now - begin).count();
    };
    std::optional<OrderId> start;
    const auto isHeldFor = [&](std::int64_t milliseconds, bool isSilent) {
      for (std::int64_t passed = 0; passed < milliseconds; passed += 10) {
        for (const Action &order : cell.step(10)) {
          if (const auto *sent = std::get_if<StartOrder>(&order); sent != nullptr && !start)
            start = sent->id;
          if (const auto *hold = std::get_if<RenewLeaseOrder>(&order))
            cell.dispatcher->onRenewLeaseAnswer(
                hold->id, isSilent ? RenewLeaseAnswer() : answerOf(FormerStartMs, clockMs()),
                cell.now);
        }
      }
      const Worker *worker = cell.table.findWorker("w");
      return worker != nullptr && worker->placements.count(OnlyTask) != 0;
    };
    isHeldFor(12000, false); // The bound of a new session passes.
    CHECK(start.has_value());
    const OrderAnswer answer = {OrderOutcome::Accepted, clockMs()};
    cell.dispatcher->onStartAnswer(*start, isAnswered ? answer : OrderAnswer(), cell.now);
    CHECK(isHeldFor(5000, true));
    CHECK_EQUAL(!isAnswered, isHeldFor(1500, true));
    CHECK_EQUAL(!isAnswered, isHeldFor(4000, true));
    CHECK(!isHeldFor(1000, true));
  }
}

/// Each renewal carried the count, so that the one that met the next life made it forget its ends.
TEST(RestartedWorker, GetsTheCountOfItsEndsOnce) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  cell.apply({RecordEnds{{"w", FormerStartMs}, {{5, {OnlyTask, 1}, EndKind::Stopped, ""}}}});
  CHECK_EQUAL(5U, renew(cell, RenewLeaseAnswer()).recordedEnds);
  CHECK_EQUAL(0U, renew(cell, answerOf(FormerStartMs, 2000)).recordedEnds);
  CHECK_EQUAL(5U, renew(cell, answerOf(FormerStartMs, 2100)).recordedEnds);
  CHECK_EQUAL(0U, renew(cell, answerOf(FormerStartMs, 2200)).recordedEnds);
}

/// The next run of a task whose success was listed late was no longer counted on its worker, so too
/// many tasks of the step ran there, and it was not stopped.
TEST(RestartedWorker, LateSuccessLeavesTheNextRunInItsPlaceUntilItIsStopped) {
  ManualCell cell(2, 1);
  cell.apply({PlaceRuns{5, {{{OnlyTask, 1}, "w"}}}});
  cell.apply({ReleaseRuns{{{{OnlyTask, 1}, "w", ""}}}});
  cell.apply({PlaceRuns{5, {{{OnlyTask, 2}, "w"}}}});
  renew(cell, answerOf(FormerStartMs, 1000));
  const std::optional<StartOrder> start = next<StartOrder>(cell);
  CHECK(start.has_value() && start->run.run == 2);
  cell.dispatcher->onStartAnswer(start->id, {OrderOutcome::Accepted, 1010}, cell.now);
  cell.apply({RecordEnds{{"w", FormerStartMs}, {{1, {OnlyTask, 1}, EndKind::Succeeded, ""}}}});
  std::optional<StopOrder> stop;
  for (int round = 0; round < 20; ++round) {
    for (const Action &order : cell.step(10)) {
      CHECK(!std::holds_alternative<StartOrder>(order));
      if (const auto *sent = std::get_if<StopOrder>(&order))
        stop = *sent;
    }
  }
  CHECK(stop.has_value() && stop->run.task == OnlyTask && stop->run.run == 2);
  CHECK_EQUAL(1U, cell.table.findWorker("w")->placements.size());
}

/// A worker that came back just after its lease had ended was not asked any more and had to wait
/// for its own report, while what it had to list was started again elsewhere.
TEST(RestartedWorker, SilentBeyondItsLeaseIsAskedOn) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  cell.apply({PlaceRuns{5, {{{OnlyTask, 1}, "w"}}}});
  const auto isPlaced = [&cell] {
    return cell.table.findWorker("w")->placements.count(OnlyTask) != 0;
  };
  for (int round = 0; round < 2000 && isPlaced(); ++round)
    renew(cell, RenewLeaseAnswer());
  CHECK(!isPlaced());
  RenewLeaseAnswer listed = answerOf(FormerStartMs, 15000);
  listed.ended = {{1, {OnlyTask, 1}, EndKind::Succeeded, ""}};
  renew(cell, listed);
  cell.step(10);
  CHECK(cell.table.findJob("job")->phase == JobPhase::Succeeded);
}

/// A success that was listed late was being recorded while the next run of the task left.
TEST(RestartedWorker, StartsNoRunOfATaskWhoseSuccessIsBeingRecorded) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  const RunKey next{OnlyTask, 2};
  RenewLeaseAnswer answer = answerOf(FormerStartMs, 1020);
  answer.ended = {{1, {OnlyTask, 1}, EndKind::Succeeded, ""}};
  std::vector<Command> uncommitted;
  const auto countStarts = [&cell, &uncommitted, &answer] {
    std::size_t starts = 0;
    for (int round = 0; round < 30; ++round) {
      cell.now += std::chrono::milliseconds(10);
      for (const Action &action : cell.dispatcher->takeActions(cell.now, EpochMs)) {
        if (const auto *command = std::get_if<Command>(&action))
          uncommitted.push_back(*command);
        else if (const auto *hold = std::get_if<RenewLeaseOrder>(&action))
          cell.dispatcher->onRenewLeaseAnswer(hold->id, answer, cell.now);
        starts += std::holds_alternative<StartOrder>(action) ? 1 : 0;
      }
    }
    return starts;
  };
  cell.apply({PlaceRuns{5, {{{OnlyTask, 1}, "w"}}}});
  cell.apply({ReleaseRuns{{{{OnlyTask, 1}, "w", ""}}}});
  countStarts(); // The worker lists the end.
  cell.apply({PlaceRuns{5, {{next, "w"}}}});
  const std::size_t startsBeforeCommit = countStarts();
  CHECK_EQUAL(0U, startsBeforeCommit);
  for (const Command &command : uncommitted) {
    if (std::holds_alternative<RecordEnds>(command))
      cell.apply({command});
  }
  CHECK(cell.table.findJob("job")->phase == JobPhase::Succeeded);
  const std::size_t startsAfterCommit = countStarts();
  CHECK_EQUAL(0U, startsAfterCommit);
}

/// A start of an earlier session was under way when the worker restarted again; the bound of the
/// new session did not count it.
TEST(RestartedWorker, SilentAfterOneAnswerKeepsARunOfAnEarlierSession) {
  ManualCell cell;
  renew(cell, answerOf(FormerStartMs, 1000));
  cell.apply({PlaceRuns{5, {{{OnlyTask, 1}, "w"}}}});
  CHECK(next<StartOrder>(cell).has_value());
  cell.lead(6);
  const base::TimePoint begin = cell.now;
  RenewLeaseAnswer listed = answerOf(FormerStartMs, 1500);
  listed.running = {{{OnlyTask, 1}, "", 10, 0}};
  renew(cell, listed);
  while (cell.table.findWorker("w")->placements.count(OnlyTask) != 0)
    renew(cell, RenewLeaseAnswer());
  // The former leader may have sent it for 2 s, and the longest lease follows.
  CHECK(cell.now - begin >= std::chrono::seconds(12));
}

/// Until the restart was recorded the worker took late orders of its former incarnation, whose
/// token was the same.
TEST(RestartedWorker, RefusesLateOrdersOnceItsRestartIsSeen) {
  ManualCell cell;
  const std::uint64_t former = renew(cell, answerOf(FormerStartMs, 1000)).target.fencingToken;
  std::vector<std::uint64_t> tokens;
  for (int round = 0; round < 60; ++round) {
    cell.now += std::chrono::milliseconds(10);
    // Nothing is committed meanwhile.
    for (const Action &action : cell.dispatcher->takeActions(cell.now, EpochMs)) {
      const auto *hold = std::get_if<RenewLeaseOrder>(&action);
      if (hold == nullptr)
        continue;
      tokens.push_back(hold->target.fencingToken);
      cell.dispatcher->onRenewLeaseAnswer(hold->id, answerOf(NextStartMs, 20), cell.now);
    }
  }
  CHECK(tokens.size() > 1);
  CHECK_EQUAL(former, tokens.front());
  CHECK(tokens[1] > former);
}
