// Replays loads that exceed what the cell or one part of it can take at once.
#include "../src/StepQueue.h"
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

Queue queueOf(std::uint32_t priority, double stretch, std::int64_t latencyMs) {
  Queue queue;
  queue.name = "queue-" + std::to_string(priority);
  queue.service = "service";
  queue.priority = priority;
  queue.stretch = stretch;
  queue.latencyMs = latencyMs;
  queue.maxAttempts = 3;
  return queue;
}

/// Accepts a job at this time, in ms.
void accept(Table &table, StepQueue &steps, const std::string &id, const Queue &queue,
            std::int64_t timeMs, std::uint32_t tasks = 1) {
  table.apply({timeMs, {AcceptJob{makeJob(id, tasks, 1000, 1000), queue, {}}}});
  steps.refresh(id, base::TimePoint(std::chrono::milliseconds(timeMs)), timeMs);
}

std::string firstAt(const StepQueue &steps, std::int64_t timeMs) {
  return steps.ordered(base::TimePoint(std::chrono::milliseconds(timeMs))).front()->key.job;
}

} // namespace

TEST_GROUP(Overload){};

/// A burst of less urgent work that has waited long must not delay fresh urgent work.
TEST(Overload, UrgentWorkComesBeforeAnAgedBacklog) {
  Table table;
  ShareLedger ledger{0};
  StepQueue steps(table, ledger);
  accept(table, steps, "backlog", queueOf(2, 1, 5000), 0);   // Must start at 5 s.
  accept(table, steps, "urgent", queueOf(0, 1, 1000), 4500); // Must start at 5.5 s.
  STRCMP_EQUAL("urgent", firstAt(steps, 4500).c_str());
}

/// Less urgent work gets its turn by its age, however much urgent work there is.
TEST(Overload, LessUrgentWorkIsNotBehindForGood) {
  Table table;
  ShareLedger ledger{0};
  StepQueue steps(table, ledger);
  accept(table, steps, "backlog", queueOf(2, 1, 5000), 0);    // Must start at 5 s.
  accept(table, steps, "urgent", queueOf(0, 1, 20000), 4500); // Must start at 24.5 s.
  STRCMP_EQUAL("backlog", firstAt(steps, 4500).c_str());
}

/// The last of many parallel tasks ends later than their estimate. A step that started too late for
/// that took the room of fresh work and missed its target all the same.
TEST(Overload, StepThatMissesItsTargetByItsLastTaskComesAfterFreshWork) {
  constexpr std::uint32_t Tasks = 50;
  Table table;
  ShareLedger ledger{0};
  StepQueue steps(table, ledger);
  const Queue queue = queueOf(1, 2, 0);
  accept(table, steps, "late", queue, 0, Tasks); // Its estimate says that it may start until 1 s.
  accept(table, steps, "fresh", queue, 700, Tasks);
  STRCMP_EQUAL("late", firstAt(steps, 400).c_str());
  STRCMP_EQUAL("fresh", firstAt(steps, 700).c_str());
}

/// A wide gang takes longer to collect its places than a narrow one; in the order of their ages it
/// was late before it had them, and behind all others from then on.
TEST(Overload, WideGangCollectsBeforeANarrowOneOfItsAge) {
  Table table;
  ShareLedger ledger{0};
  StepQueue steps(table, ledger);
  const auto acceptGang = [&](const std::string &id, std::uint32_t members, std::int64_t timeMs) {
    JobSpec spec = makeJob(id, members, 1000, 5000);
    spec.steps[0].gang = true;
    table.apply({timeMs, {AcceptJob{std::move(spec), queueOf(1, 2, 1000), {}}}});
    steps.refresh(id, base::TimePoint(std::chrono::milliseconds(timeMs)), timeMs);
  };
  acceptGang("narrow", 10, 0);
  acceptGang("wide", 100, 500);
  STRCMP_EQUAL("wide", firstAt(steps, 500).c_str());
  // Age still counts: no width makes another gang wait for good.
  acceptGang("widest", 160, 4000);
  STRCMP_EQUAL("wide", firstAt(steps, 4000).c_str());
}

/// A burst of gangs: all ask for advice at once, instead of one group after the other.
TEST(Overload, ManyGangsCollectAtTheSameTime) {
  CellOptions options;
  options.workers = 60;
  options.advice = true;
  options.advisers = 64;
  FakeCell cell(options);
  cell.run(2000);
  constexpr int Gangs = 48;
  for (int number = 0; number < Gangs; ++number) {
    JobSpec spec = makeJob("gang-" + std::to_string(number), 4, 1500, 3000);
    spec.steps[0].gang = true;
    Queue queue = queueOf(1, 2, 1000);
    queue.advice = AdvicePolicy{700, 1, 2500};
    cell.submit(std::move(spec), queue);
  }
  // One advisory call, and what a start takes.
  cell.run(1300);
  for (int number = 0; number < Gangs; ++number)
    CHECK(cell.jobTable().findJob("gang-" + std::to_string(number))->started);
  CHECK(cell.findViolations().empty());
}

/// A step that may run once on each worker was advised again and again about the workers that ran
/// its other tasks, and the last tasks never started.
TEST(Overload, AdviceNamesNoWorkerThatHasItsShareOfAStep) {
  CellOptions options;
  options.workers = 120;
  options.advice = true;
  options.permittedShare = 0.3;
  FakeCell cell(options);
  cell.run(2000);
  constexpr std::uint32_t Tasks = 24;
  JobSpec spec = makeJob("spread", Tasks, 1000, 20000);
  spec.steps[0].maxPerWorker = 1;
  cell.submit(std::move(spec));
  cell.run(3000);
  const StepProgress &step = cell.jobTable().findJob("spread")->occurrences.at(0).steps[0];
  LONGS_EQUAL(Tasks, step.placements);
}
