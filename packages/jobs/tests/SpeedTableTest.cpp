// Guards against a slow worker that is not detected, and against inaccurate estimates that make
// workers look slow.
#include "../src/SpeedTable.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::jobs;

namespace {

constexpr std::chrono::milliseconds Usual(1000);

void noteAll(SpeedTable &table, const std::string &worker, int count,
             std::chrono::milliseconds took) {
  for (int index = 0; index < count; ++index)
    table.note(worker, "queue", 1000, took);
}

} // namespace

TEST_GROUP(SpeedTable){};

TEST(SpeedTable, UnknownWorkerIsUsual) { DOUBLES_EQUAL(0, SpeedTable().slowness("w"), 0); }

TEST(SpeedTable, SlowWorkerIsFoundWithinFewTasks) {
  SpeedTable table;
  noteAll(table, "usual", 100, Usual);
  noteAll(table, "slow", 4, 5 * Usual);
  CHECK(table.slowness("slow") > 0.7);
  DOUBLES_EQUAL(0, table.slowness("usual"), 0.05);
}

TEST(SpeedTable, WorkerThatRecoversIsUsualAgain) {
  SpeedTable table;
  noteAll(table, "usual", 100, Usual);
  noteAll(table, "w", 12, 5 * Usual);
  noteAll(table, "w", 30, Usual);
  CHECK(table.slowness("w") < 0.3);
}

TEST(SpeedTable, WrongEstimatesOfAQueueAreNoSlowness) {
  SpeedTable table;
  for (int index = 0; index < 100; ++index) {
    table.note("a", "rough", 100, Usual);
    table.note("b", "rough", 100, Usual);
  }
  DOUBLES_EQUAL(0, table.slowness("a"), 0.05);
}
