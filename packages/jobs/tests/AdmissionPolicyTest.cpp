// The decision about a submission alone, without a cell.
#include "banyanrill/jobs/AdmissionPolicy.h"
#include "../src/AdmissionLedger.h"
#include "banyanrill/jobs/Table.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using std::chrono::milliseconds;

namespace {

constexpr double Capacity = 1000000;
constexpr std::uint32_t Urgent = 0;
constexpr std::uint32_t Usual = 1;

base::TimePoint at(std::int64_t ms) { return base::TimePoint(milliseconds(ms)); }

/// A full cell in which this much work of a priority waits, as time of the whole room. As much
/// arrives as the room takes.
AdmissionLoad fullCell(std::uint32_t priority, double inTimeMs, double lateMs = 0) {
  AdmissionLoad load;
  load.byPriority[priority] = {inTimeMs * Capacity, lateMs * Capacity, 0, Capacity};
  load.capacity = Capacity;
  load.running = 0.95 * Capacity;
  load.rate = 0.95 * Capacity;
  load.measuredFor = milliseconds(10000);
  load.hasWorkspaces = true;
  return load;
}

/// With a slack of 3 s.
AdmissionJob jobOf(std::uint32_t priority, double work = 1000000) {
  return {priority, milliseconds(1000), milliseconds(4000), work};
}

AdmissionDecision decide(const AdmissionJob &job, const AdmissionLoad &load,
                         const WorkspaceShare *share = nullptr) {
  base::RandomSource random(1);
  return AdmissionPolicy().decide(job, load, share, random, at(1000));
}

JobSpec specOf(const std::string &id, std::uint32_t tasks) {
  JobSpec spec;
  spec.id = id;
  spec.steps.resize(1);
  spec.steps[0].count = tasks;
  spec.steps[0].demand = {1000, 100, 0};
  spec.steps[0].estimatedMs = 1000;
  return spec;
}

Queue queueOf(const std::string &name, std::uint32_t priority) {
  Queue queue;
  queue.name = name;
  queue.priority = priority;
  queue.stretch = 2;
  queue.latencyMs = 1000;
  return queue;
}

} // namespace

TEST_GROUP(AdmissionPolicy){};

/// What could not be done in time was accepted, and its caller waited for nothing.
TEST(AdmissionPolicy, JobThatWouldEndWorthlessIsRefused) {
  CHECK(decide(jobOf(Usual), fullCell(Usual, 1000)).isAccepted());
  const AdmissionDecision decision = decide(jobOf(Usual), fullCell(Usual, 6000));
  CHECK(decision.cause == RefusalCause::Load);
  CHECK(decision.retryAfterMs > 0);
}

/// A job that comes late but within three times its target still has a part of its value.
TEST(AdmissionPolicy, LateJobIsAcceptedWhileTheRoomCatchesUp) {
  AdmissionLoad load = fullCell(Usual, 4000);
  load.byPriority[Usual].arriving = Capacity / 4;
  CHECK(decide(jobOf(Usual), load).isAccepted());
}

TEST(AdmissionPolicy, NothingIsRefusedWhileRoomIsFree) {
  AdmissionLoad load = fullCell(Usual, 60000);
  load.running = Capacity / 2;
  CHECK(decide(jobOf(Usual), load).isAccepted());
}

/// A new leader knows no rates; what it inherits may be served soon.
TEST(AdmissionPolicy, NewLeaderRefusesNothing) {
  AdmissionLoad load = fullCell(Usual, 60000);
  load.measuredFor = AdmissionPolicy::MeasuringTime - milliseconds(1);
  CHECK(decide(jobOf(Usual), load).isAccepted());
  load.measuredFor = AdmissionPolicy::MeasuringTime;
  CHECK(!decide(jobOf(Usual), load).isAccepted());
}

TEST(AdmissionPolicy, UrgentJobIsNeverRefusedForLessUrgentOnes) {
  const AdmissionLoad lessUrgent = fullCell(Usual, 60000, 60000);
  CHECK(decide(jobOf(Urgent), lessUrgent).isAccepted());
  const AdmissionLoad moreUrgent = fullCell(Urgent, 6000);
  CHECK(!decide(jobOf(Usual), moreUrgent).isAccepted());
}

/// The widest jobs of a queue must be served half as often as all at least.
TEST(AdmissionPolicy, WidthDoesNotDecide) {
  for (double waitMs = 0; waitMs < 12000; waitMs += 100) {
    const AdmissionLoad load = fullCell(Usual, waitMs);
    CHECK(decide(jobOf(Usual, 1000), load).cause == decide(jobOf(Usual, 1e9), load).cause);
  }
}

TEST(AdmissionPolicy, WorkspaceOverItsShareIsRefusedBeforeOthers) {
  const WorkspaceShare over{2, 5};
  const WorkspaceShare owed{5, 2};
  const AdmissionLoad some = fullCell(Usual, 2500);
  CHECK(decide(jobOf(Usual), some, &over).cause == RefusalCause::OverShare);
  CHECK(decide(jobOf(Usual), some).isAccepted());
  const AdmissionLoad more = fullCell(Usual, 6000);
  CHECK(!decide(jobOf(Usual), more).isAccepted());
  CHECK(decide(jobOf(Usual), more, &owed).isAccepted());
  const AdmissionLoad hopeless = fullCell(Usual, 60000);
  CHECK(!decide(jobOf(Usual), hopeless, &owed).isAccepted());
}

/// A cell whose configuration has no workspaces is served as before.
TEST(AdmissionPolicy, WithoutWorkspacesOnlyHopelessJobsAreRefused) {
  AdmissionLoad load = fullCell(Usual, 4000, 16000);
  load.hasWorkspaces = false;
  CHECK(decide(jobOf(Usual), load).isAccepted());
  load.byPriority[Usual].late = 30000 * Capacity;
  CHECK(!decide(jobOf(Usual), load).isAccepted());
}

/// Callers that return together are refused together again.
TEST(AdmissionPolicy, CallersReturnInTheOrderInWhichTheyCanBeServed) {
  AdmissionPolicy policy;
  base::RandomSource random(1);
  const AdmissionLoad load = fullCell(Usual, 5000);
  std::vector<std::int64_t> returns;
  for (int caller = 0; caller < 10; ++caller)
    returns.push_back(
        policy.decide(jobOf(Usual, Capacity * 200), load, nullptr, random, at(1000 + caller))
            .retryAfterMs +
        caller);
  // The room takes 200 ms for each, and half of it is for new callers.
  for (std::size_t caller = 1; caller < returns.size(); ++caller) {
    CHECK(returns[caller] - returns[caller - 1] >= 400);
    CHECK(returns[caller] - returns[caller - 1] < 450);
  }
  for (int caller = 0; caller < 1000; ++caller)
    CHECK(
        policy.decide(jobOf(Usual, Capacity * 200), load, nullptr, random, at(1100)).retryAfterMs <=
        AdmissionPolicy::MaxRetryTime / milliseconds(1));
}

TEST_GROUP(AdmissionLedger){};

/// The sums must be those of the table after each change, or refusals would outlast their cause.
TEST(AdmissionLedger, SumsFollowTheJobs) {
  Table table;
  AdmissionLedger ledger(at(0));
  const SpeedTable speeds;
  const Queue queue = queueOf("queue", Usual);
  const auto refresh = [&](std::int64_t ms) {
    ledger.refresh("a", table.findJob("a"), at(ms), ms);
    ledger.refresh("b", table.findJob("b"), at(ms), ms);
    return ledger.load(speeds, at(ms)).byPriority.at(Usual);
  };
  table.apply({0, {AcceptJob{specOf("a", 10), queue, {}}, AcceptJob{specOf("b", 5), queue, {}}}});
  DOUBLES_EQUAL(15e6, refresh(10).inTime, 1);
  // The target is 3 s; with its tail the step has to start by 1.5 s, and by 8 s to be of any use.
  DOUBLES_EQUAL(15e6, refresh(1600).late, 1);
  DOUBLES_EQUAL(15e6, refresh(8100).worthless, 1);
  table.apply({8200, {CancelJob{"a"}}});
  DOUBLES_EQUAL(5e6, refresh(8200).worthless, 1);
  table.apply({8300, {CancelJob{"b"}}});
  const WaitingWork last = refresh(8300);
  DOUBLES_EQUAL(0, last.inTime + last.late + last.worthless, 1);
}

/// A burst comes faster than its jobs reach the table.
TEST(AdmissionLedger, AcceptedJobCountsAtOnceAndIsForgottenIfItIsLost) {
  AdmissionLedger ledger(at(0));
  const SpeedTable speeds;
  ledger.expect(specOf("a", 10), queueOf("queue", Usual), "w", at(100));
  CHECK(ledger.isExpected("a"));
  DOUBLES_EQUAL(10e6, ledger.load(speeds, at(110)).byPriority.at(Usual).inTime, 1);
  CHECK(ledger.acceptedPerSecond("w", at(110)) > 0);
  DOUBLES_EQUAL(0, ledger.load(speeds, at(2200)).byPriority.at(Usual).inTime, 1);
  CHECK(!ledger.isExpected("a"));
}
