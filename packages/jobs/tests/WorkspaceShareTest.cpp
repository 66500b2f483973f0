// Guards against workspaces that delay each other's work when they ask for more than there is, and
// against any effect of workspaces on a cell whose configuration has none.
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr std::size_t Workers = 10;
constexpr std::int64_t Cores = 8; ///< Of each worker.

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

std::string nameOfWorkspace(std::size_t index) { return "w" + std::to_string(index); }

CellOptions cellWith(const std::vector<double> &weights) {
  CellOptions options;
  options.workers = Workers;
  options.capacity = {Cores * 1000, 64000, 0};
  options.checkUse = true;
  options.workspaces.emplace();
  for (std::size_t index = 0; index < weights.size(); ++index)
    options.workspaces->push_back(
        {nameOfWorkspace(index), {"key" + std::to_string(index)}, weights[index], {}});
  return options;
}

/// Submits jobs of several workspaces and finds out how many of each ended in time.
class Callers {
public:
  explicit Callers(FakeCell &fakeCell) : cell(fakeCell) {}

  /// Submits jobs at a rate from now on, when `run` is called. A rate of 0 ends it.
  void setRate(const std::string &workspace, const Queue &queue, const JobSpec &shape,
               double jobsPerSecond) {
    this->streams[{workspace, queue.name}] = {queue, shape, jobsPerSecond, 0};
  }

  void run(std::int64_t milliseconds) {
    constexpr std::int64_t RoundMs = 20;
    for (std::int64_t time = 0; time < milliseconds; time += RoundMs) {
      for (auto &[key, stream] : this->streams) {
        stream.due += stream.jobsPerSecond * static_cast<double>(RoundMs) / 1000;
        for (; stream.due >= 1; stream.due -= 1) {
          JobSpec spec = stream.shape;
          spec.id = "job" + std::to_string(++this->lastJob);
          this->submitted[key].push_back(spec.id);
          this->cell.submit(std::move(spec), stream.queue, key.first);
        }
      }
      this->cell.run(RoundMs);
    }
  }

  /// Share of the jobs that ended within their target. Call when all others are late.
  double inTime(const std::string &workspace, const Queue &queue) const {
    std::size_t jobs = 0;
    std::size_t good = 0;
    for (const std::string &id : this->submitted.at({workspace, queue.name})) {
      ++jobs;
      const Job *job = this->cell.jobTable().findJob(id);
      if (job == nullptr || job->phase != JobPhase::Succeeded)
        continue;
      const double targetMs = queue.stretch * static_cast<double>(job->spec.steps[0].estimatedMs) +
                              static_cast<double>(queue.latencyMs);
      good += static_cast<double>(job->endedMs - job->acceptedMs) <= targetMs ? 1 : 0;
    }
    return static_cast<double>(good) / static_cast<double>(jobs);
  }

private:
  struct Stream {
    Queue queue;
    JobSpec shape;
    double jobsPerSecond = 0;
    double due = 0;
  };
  using Key = std::pair<std::string, std::string>; ///< Workspace and queue.

  FakeCell &cell;
  std::map<Key, Stream> streams;
  std::map<Key, std::vector<std::string>> submitted;
  std::uint64_t lastJob = 0;
};

} // namespace

TEST_GROUP(WorkspaceShare){};

/// One workspace sends 7.5 times its usual load for 6 s: the urgent work of the others stays in
/// time, and so does their less urgent work.
TEST(WorkspaceShare, FloodOfOneDelaysNoOther) {
  constexpr std::size_t Workspaces = 6;
  constexpr double Usual = 2.5; // Jobs a second of each kind; 70% of the capacity in all.
  constexpr double Large = 3;   // Weight and usual load of the workspace that floods.
  constexpr double Flood = 7.5;
  FakeCell cell(cellWith({Large, 1, 1, 1, 1, 1}));
  cell.run(2000);
  Callers callers(cell);
  const Queue urgent = queueOf(0, 2, 300);
  const Queue batch = queueOf(2, 3, 3000);
  const JobSpec urgentShape = makeJob("", 2, 1000, 400);
  const JobSpec batchShape = makeJob("", 2, 1000, 1000);
  const auto setRates = [&](std::size_t index, double factor) {
    callers.setRate(nameOfWorkspace(index), urgent, urgentShape, Usual * factor);
    callers.setRate(nameOfWorkspace(index), batch, batchShape, Usual * factor);
  };
  setRates(0, Large);
  for (std::size_t index = 1; index < Workspaces; ++index)
    setRates(index, 1);
  callers.run(3000);
  setRates(0, Large * Flood);
  callers.run(6000);
  setRates(0, Large);
  callers.run(6000);
  cell.run(15000);
  for (std::size_t index = 1; index < Workspaces; ++index) {
    CHECK(callers.inTime(nameOfWorkspace(index), urgent) >= 0.97);
    CHECK(callers.inTime(nameOfWorkspace(index), batch) >= 0.97);
  }
  // Of the flood, fresh work comes first: by age all of it would be late.
  CHECK(callers.inTime(nameOfWorkspace(0), urgent) >= 0.5);
  CHECK(cell.findViolations().empty());
}

/// Three times the room is asked for: each workspace gets room in proportion to its weight, and
/// what one does not ask for goes to the others by weight.
TEST(WorkspaceShare, RoomIsDividedByWeight) {
  const std::vector<double> weights = {4, 2, 1, 1};
  FakeCell cell(cellWith(weights));
  cell.run(2000);
  Callers callers(cell);
  const Queue batch = queueOf(1, 3, 60000);
  // The last one asks for half of its share, of 10 cores.
  const double ratePerCore = 1 / 2.0; // Two tasks of 1 s each.
  for (std::size_t index = 0; index < 3; ++index)
    callers.setRate(nameOfWorkspace(index), batch, makeJob("", 2, 1000, 1000), 80 * ratePerCore);
  callers.setRate(nameOfWorkspace(3), batch, makeJob("", 2, 1000, 1000), 5 * ratePerCore);
  callers.run(4000);
  std::vector<double> used(weights.size(), 0);
  constexpr int Samples = 80;
  for (int sample = 0; sample < Samples; ++sample) {
    callers.run(100);
    for (std::size_t index = 0; index < weights.size(); ++index)
      used[index] +=
          static_cast<double>(cell.runningOf(nameOfWorkspace(index)).millicores) / 1000 / Samples;
  }
  // 75 cores are left for weights of 4, 2 and 1; starts and ends take a part of the time.
  const double all = used[0] + used[1] + used[2] + used[3];
  CHECK(all >= 0.85 * Workers * Cores);
  DOUBLES_EQUAL(4.0 / 7, used[0] / (all - used[3]), 0.05);
  DOUBLES_EQUAL(2.0 / 7, used[1] / (all - used[3]), 0.05);
  DOUBLES_EQUAL(1.0 / 7, used[2] / (all - used[3]), 0.05);
  CHECK(used[3] >= 4);
  CHECK(cell.findViolations().empty());
}

/// A workspace may use all that nobody else asks for.
TEST(WorkspaceShare, NobodyWaitsForAShareWhileThereIsRoom) {
  FakeCell cell(cellWith({1, 1, 1, 1, 1, 1, 1, 1}));
  cell.run(2000);
  cell.submit(makeJob("all", Workers * Cores, 1000, 3000), queueOf(1, 2, 1000), "w0");
  cell.run(500);
  CHECK_EQUAL(static_cast<std::int64_t>(Workers) * Cores * 1000, cell.runningOf("w0").millicores);
}

/// Jobs of a workspace that no configuration names come last, and still run.
TEST(WorkspaceShare, RemovedWorkspaceComesLastAndEnds) {
  FakeCell cell(cellWith({1}));
  cell.run(2000);
  cell.submit(makeJob("all", Workers * Cores, 1000, 1000), queueOf(1, 2, 20000), "w0");
  cell.run(200);
  cell.submit(makeJob("removed", Workers * Cores, 1000, 1000), queueOf(1, 2, 20000), "gone");
  cell.submit(makeJob("named", Workers * Cores, 1000, 1000), queueOf(1, 2, 20000), "w0");
  cell.run(12000);
  const Job *removed = cell.jobTable().findJob("removed");
  const Job *named = cell.jobTable().findJob("named");
  CHECK(removed->phase == JobPhase::Succeeded);
  CHECK(named->phase == JobPhase::Succeeded);
  CHECK(named->endedMs < removed->endedMs);
}

/// The share of a workspace, and how much it may start until it passes it.
TEST(WorkspaceShare, SharesAreFilledUpByWeight) {
  Configuration configuration;
  configuration.workspaces = {
      {{"a", {"a"}, 2, {}}, {"b", {"b"}, 1, {}}, {"c", {"c"}, 1, {}}, {"idle", {"i"}, 4, {}}}};
  ShareLedger ledger(0.1);
  ledger.configure(configuration);
  const WorkspaceNumber a = ledger.numberOf("a");
  const WorkspaceNumber b = ledger.numberOf("b");
  const WorkspaceNumber c = ledger.numberOf("c");
  const base::Resources task = {1000, 0, 0};
  ledger.add(c, task * 5);
  ledger.beginRound({100000, 1000, 0});
  ledger.want(a, task * 200);
  ledger.want(b, task * 200);
  ledger.computeShares();
  LONGS_EQUAL(50, ledger.placesWithin(ShareBound::Weighted, a, task, 1000));
  LONGS_EQUAL(25, ledger.placesWithin(ShareBound::Weighted, b, task, 1000));
  // c asks for no more than its share, and leaves 20 of its 25.
  LONGS_EQUAL(1000, ledger.placesWithin(ShareBound::Weighted, c, task, 1000));
  LONGS_EQUAL(64, ledger.placesWithin(ShareBound::Filled, a, task, 1000));
  LONGS_EQUAL(32, ledger.placesWithin(ShareBound::Filled, b, task, 1000));
  LONGS_EQUAL(1000, ledger.placesWithin(ShareBound::Any, a, task, 1000));
  // What a gang reserves counts for the share, and not for the limit.
  ledger.reserve(b, task * 25);
  LONGS_EQUAL(0, ledger.placesWithin(ShareBound::Weighted, b, task, 1000));
  LONGS_EQUAL(1000, ledger.placesFor(b, task, 1000));
  ledger.clearReservations();
  LONGS_EQUAL(25, ledger.placesWithin(ShareBound::Weighted, b, task, 1000));
}

/// Without workspaces in the configuration every decision is the one of the code before there were
/// shares: the digests are those of commit 07a5187 with these loads.
TEST(WorkspaceShare, DecisionsWithoutWorkspacesAreAsBefore) {
  const std::vector<std::uint64_t> expected = {5145822850224209177ULL,  11576223749521280688ULL,
                                               1290952414266884532ULL,  3635805012162219940ULL,
                                               18359996974578323145ULL, 15229128221023548693ULL};
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    CellOptions options;
    options.seed = seed;
    options.workers = 30;
    options.advice = seed % 2 == 0;
    options.lateShare = 0.02;
    options.lostShare = 0.02;
    FakeCell cell(options);
    cell.run(2500);
    for (int number = 0; number < 300; ++number) {
      JobSpec spec = makeJob("j" + std::to_string(number),
                             1 + static_cast<std::uint32_t>(cell.random().below(12)),
                             500 + static_cast<std::int64_t>(cell.random().below(3500)),
                             200 + static_cast<std::int64_t>(cell.random().below(3000)));
      spec.steps[0].gang = cell.random().below(4) == 0;
      cell.submit(std::move(spec), static_cast<std::uint32_t>(cell.random().below(3)));
      cell.run(40);
      if (number % 100 == 99)
        cell.changeLeader();
    }
    cell.run(20000);
    CHECK_EQUAL(expected.at(seed - 1), cell.decisionDigest());
  }
}
