// Checks random combinations of faults: no task runs twice at the same time, no worker is
// overloaded, and every job ends after the faults are repaired.
#include "FakeCell.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>
#include <array>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

/// Which faults and tasks a random history contains.
struct FaultModel {
  bool cutsAfterRestart = false; ///< Workers restart under their identifiers and are cut off soon.
  bool longTasks = false;        ///< Some tasks last longer than a lease.
  int settleSeconds = 90;        ///< For the jobs to end after the faults are repaired.
  bool workspaces = false;       ///< Jobs of two workspaces with limits, which change.
};

constexpr FaultModel AnyFaults;
constexpr FaultModel RestartFaults{true, true, 240};
constexpr FaultModel WorkspaceFaults{true, true, 400, true};

/// The widest gang of `randomJob`, with the tolerance, fits into the lower one.
constexpr std::int64_t LowLimit = 30000;
constexpr std::int64_t HighLimit = 40000;

std::vector<Workspace> workspacesWith(std::int64_t limit) {
  return {{"large", {"a"}, 3, {limit, 0, 0}}, {"small", {"b"}, 1, {limit, 0, 0}}};
}

JobSpec randomJob(const std::string &id, base::RandomSource &random, const FaultModel &model) {
  JobSpec spec = makeJob(id, 1 + static_cast<std::uint32_t>(random.below(8)),
                         500 + static_cast<std::int64_t>(random.below(3500)),
                         200 + static_cast<std::int64_t>(random.below(3000)));
  constexpr std::int64_t LeastLongMs = 6000;
  constexpr std::uint64_t LongSpreadMs = 8000;
  if (model.longTasks && random.below(4) == 0)
    spec.steps[0].estimatedMs = LeastLongMs + static_cast<std::int64_t>(random.below(LongSpreadMs));
  spec.steps[0].gang = random.below(5) == 0;
  if (random.below(3) == 0) {
    Step second = spec.steps[0];
    second.gang = false;
    second.after = {0};
    spec.steps.push_back(second);
  }
  return spec;
}

void injectFault(FakeCell &cell, std::size_t workers, const FaultModel &model) {
  base::RandomSource &random = cell.random();
  const std::size_t worker = random.below(workers);
  if (model.cutsAfterRestart && random.below(2) == 0) {
    const auto cutAfterMs = static_cast<std::int64_t>(random.below(2000));
    const auto cutForMs = static_cast<std::int64_t>(1000 + random.below(14000));
    cell.restartAndCut(worker, cutAfterMs, cutForMs);
    return;
  }
  switch (random.below(7)) {
  case 0:
    cell.changeLeader();
    return;
  case 1:
    cell.cut(worker, true);
    return;
  case 2:
    cell.cut(worker, false);
    return;
  case 3:
    cell.kill(worker);
    return;
  case 4:
    cell.restart(worker, true);
    return;
  case 5:
    cell.restart(worker, false);
    return;
  default:
    cell.drain(worker);
    return;
  }
}

std::vector<std::string> runSeed(std::uint64_t seed, const FaultModel &model) {
  CellOptions options;
  options.seed = seed;
  base::RandomSource choice(seed);
  options.lateShare = choice.below(2) == 0 ? 0 : 0.3 * choice.unit();
  options.lostShare = choice.below(2) == 0 ? 0 : 0.2 * choice.unit();
  options.failShare = choice.below(2) == 0 ? 0 : 0.2 * choice.unit();
  options.advice = choice.below(2) == 0;
  options.checkUse = true;
  if (model.workspaces)
    options.workspaces = workspacesWith(LowLimit);
  FakeCell cell(options);
  cell.run(2500);
  for (int round = 0; round < 25; ++round) {
    for (int number = 0; number < 2; ++number) {
      JobSpec spec = randomJob("j" + std::to_string(round) + "-" + std::to_string(number),
                               cell.random(), model);
      const auto priority = static_cast<std::uint32_t>(cell.random().below(3));
      if (model.workspaces)
        cell.submitFor(std::array{"large", "small", ""}.at(cell.random().below(3)), std::move(spec),
                       priority);
      else
        cell.submit(std::move(spec), priority);
    }
    if (model.workspaces && cell.random().below(6) == 0)
      cell.configure(workspacesWith(cell.random().below(2) == 0 ? LowLimit : HighLimit));
    if (cell.random().below(3) == 0)
      injectFault(cell, options.workers, model);
    if (cell.random().below(6) == 0)
      cell.cancel("j" + std::to_string(cell.random().below(25)) + "-0");
    cell.run(200 + static_cast<std::int64_t>(cell.random().below(600)));
  }
  cell.heal();
  for (int second = 0; second < model.settleSeconds && !cell.allEnded(); ++second)
    cell.run(1000);
  std::vector<std::string> violations = cell.findViolations();
  for (const auto &[id, job] : cell.jobTable().state().jobs) {
    if (job.phase != JobPhase::Active)
      continue;
    std::string text = "job did not end: " + id;
    for (const auto &[number, occurrence] : job.occurrences) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        text += "; step " + std::to_string(step) + (job.spec.steps[step].gang ? " (gang)" : "") +
                " of " + std::to_string(job.spec.steps[step].demand.millicores) + " millicores:";
        for (const Task &task : occurrence.steps[step].tasks)
          text += " " + std::to_string(static_cast<int>(task.phase)) + "/" +
                  std::to_string(task.lastRun) + "@" + task.worker;
      }
    }
    violations.push_back(text);
  }
  return violations;
}

void checkRandomHistories(const char *description, const FaultModel &model) {
  CHECK(rc::check(description, [&model](std::uint32_t seed) {
    const std::vector<std::string> violations = runSeed(seed, model);
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  }));
}

} // namespace

TEST_GROUP(DispatcherProperty){};

TEST(DispatcherProperty, NothingRunsTwiceAndEveryJobEnds) {
  checkRandomHistories("under random faults", AnyFaults);
}

/// Also checks that the use of each workspace equals the sum over the table after each event.
TEST(DispatcherProperty, NoWorkspacePassesItsLimit) {
  checkRandomHistories("with workspaces under random faults", WorkspaceFaults);
}

TEST(DispatcherProperty, NothingRunsTwiceOnWorkersCutOffAfterTheirRestart) {
  checkRandomHistories("under restarts and cuts", RestartFaults);
}
