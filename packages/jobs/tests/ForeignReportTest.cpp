// Guards against a report of another writer that is taken as evidence about a worker: its runs were
// started again elsewhere while they ran, or were given up.
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::uint32_t Tasks = 24;
constexpr std::int64_t Later = 5000000;

/// Six workers that run one job.
struct BusyCell {
  FakeCell cell{{}};

  BusyCell() {
    this->cell.run(2000);
    this->cell.submit(makeJob("job", Tasks, 1000, 9000));
    this->cell.run(1000);
  }

  WorkerProfile profile() { return this->cell.worker(0).profile; }

  /// All tasks have run once, each on the worker that had it first.
  void checkNothingMoved() {
    this->cell.run(20000);
    for (const std::string &violation : this->cell.findViolations())
      FAIL(violation.c_str());
    CHECK(this->cell.phaseOf("job") == JobPhase::Succeeded);
    CHECK_EQUAL(Tasks, this->cell.counters().starts);
    CHECK_EQUAL(0U, this->cell.counters().runsReleased);
  }
};

} // namespace

TEST_GROUP(ForeignReport) { BusyCell busy; };

TEST(ForeignReport, AtTheAddressOfAWorkerMovesNoTask) {
  WorkerProfile foreign = busy.profile();
  foreign.incarnation = {"foreign", Later};
  busy.cell.reportFrom(foreign);
  busy.checkNothingMoved();
  CHECK(busy.cell.jobTable().findWorker("foreign") == nullptr);
}

TEST(ForeignReport, AtTheAddressOfAWorkerAgainAndAgainMovesNoTask) {
  WorkerProfile foreign = busy.profile();
  foreign.incarnation = {"foreign", Later};
  for (int report = 0; report < 40; ++report) {
    busy.cell.reportFrom(foreign);
    busy.cell.run(50);
  }
  busy.checkNothingMoved();
}

TEST(ForeignReport, UnderTheIdOfAWorkerMovesNoTask) {
  for (const std::int64_t startTimeMs : {std::int64_t{0}, Later}) {
    WorkerProfile foreign = busy.profile();
    foreign.incarnation.startTimeMs = startTimeMs;
    busy.cell.reportFrom(foreign);
    busy.cell.run(300);
  }
  busy.checkNothingMoved();
}

TEST(ForeignReport, UnderTheIdOfAWorkerWithAnotherAddressMovesNoTask) {
  WorkerProfile foreign = busy.profile();
  foreign.address = "10.0.0.2:80";
  busy.cell.reportFrom(foreign);
  busy.checkNothingMoved();
}

/// Two lives at one address, the later one known first.
TEST(ForeignReport, BeforeTheWorkerIsKnownKeepsItNotFromWork) {
  WorkerProfile foreign = busy.profile();
  foreign.incarnation = {"foreign", Later};
  busy.cell.restart(0, false);
  busy.cell.reportFrom(foreign);
  busy.cell.run(3000);
  CHECK(busy.cell.jobTable().findWorker(busy.profile().incarnation.id) != nullptr);
  CHECK(busy.cell.jobTable().findWorker("foreign") == nullptr);
}

/// A crash is still noticed at once: the next life at the address answers for itself.
TEST(ForeignReport, RunsOfACrashedWorkerMoveWhenItsSuccessorAnswers) {
  const std::size_t running = busy.cell.worker(0).runningCount();
  CHECK(running > 0);
  busy.cell.restart(0, false);
  busy.cell.reportNow(0);
  busy.cell.run(600);
  CHECK(busy.cell.jobTable().findWorker("w0") == nullptr);
  busy.cell.run(30000);
  CHECK(busy.cell.phaseOf("job") == JobPhase::Succeeded);
  for (const std::string &violation : busy.cell.findViolations())
    FAIL(violation.c_str());
}

TEST(ForeignReport, RestartUnderTheSameIdIsNoticedAtOnce) {
  busy.cell.restart(0, true);
  busy.cell.reportNow(0);
  busy.cell.run(600);
  CHECK(busy.cell.jobTable().findWorker("w0")->profile == busy.profile());
  busy.cell.run(30000);
  CHECK(busy.cell.phaseOf("job") == JobPhase::Succeeded);
  for (const std::string &violation : busy.cell.findViolations())
    FAIL(violation.c_str());
}
