// Replays loads for which there is not enough room, with and without decisions about submissions.
#include "../src/AdmissionLedger.h"
#include "FakeCell.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

/// Jobs of one queue, of one step each.
struct Kind {
  std::string name;
  std::uint32_t priority = 0;
  std::uint32_t tasks = 0; ///< Mean; drawn between half and three halves of it.
  std::int64_t millicores = 0;
  std::int64_t milliseconds = 0;
  std::int64_t latencyMs = 0;
  double roomShare = 0; ///< Work submitted, in parts of the whole room.
  bool gang = false;
};

const Kind Checks{"checks", 0, 3, 2000, 800, 300, 0.2, false};
const Kind Gangs{"allocation", 1, 20, 2000, 2500, 1200, 0.2, true};
const Kind Rebalancing{"rebalancing", 2, 25, 1000, 2000, 3000, 0.4, false};

Queue queueOf(const Kind &kind) {
  Queue queue;
  queue.name = kind.name;
  queue.service = "service";
  queue.priority = kind.priority;
  queue.stretch = 2;
  queue.latencyMs = kind.latencyMs;
  queue.maxAttempts = 3;
  return queue;
}

std::int64_t targetOf(const Kind &kind) { return 2 * kind.milliseconds + kind.latencyMs; }

/// Of a configuration with workspaces: a caller of none, and one of a workspace that is owed
/// nothing.
const SubmittingWorkspace NoWorkspace{"", 0, true};
const SubmittingWorkspace OverShare{"w", 0, true};

struct Sent {
  std::string id;
  std::uint32_t tasks = 0;
  std::int64_t firstMs = 0;
  std::size_t refusals = 0;
};

/// What became of the jobs of a queue.
struct Outcome {
  std::size_t jobs = 0;
  std::size_t useful = 0; ///< Ended within `NoValueFactor` times the target of their acceptance.
  std::size_t accepted = 0;
  std::size_t inTime = 0; ///< Within the target.
  double usefulWork = 0;  ///< Millicore-milliseconds.
  double inTimeWork = 0;

  double share() const {
    return static_cast<double>(this->useful) / static_cast<double>(std::max<std::size_t>(jobs, 1));
  }
};

/// Of the simulated cell's log.
constexpr std::int64_t EpochMs = 1000000;

constexpr std::size_t Workers = 40;
constexpr std::int64_t RoundMs = 20;

/// Callers that submit, and return when they are told to. Not thread-safe.
class Callers {
public:
  Callers(std::uint64_t seed, bool mayRefuse) : cell(options(seed)), refuses(mayRefuse) {
    this->cell.run(4000);
  }

  /// Submits each kind at its share of the room times the factor.
  void run(std::int64_t milliseconds, const std::vector<std::pair<Kind, double>> &kinds,
           const SubmittingWorkspace &workspace = NoWorkspace) {
    for (std::int64_t time = 0; time < milliseconds; time += RoundMs) {
      this->returnDue();
      for (const auto &[kind, factor] : kinds) {
        const double work = static_cast<double>(kind.tasks * kind.millicores * kind.milliseconds);
        double &due = this->due[kind.name];
        due += room() * kind.roomShare * factor * static_cast<double>(RoundMs) / work;
        for (; due >= 1; due -= 1) {
          const auto tasks = static_cast<std::uint32_t>((kind.tasks + 1) / 2 +
                                                        this->cell.random().below(kind.tasks));
          this->kinds.insert_or_assign(kind.name, kind);
          this->sent[kind.name].push_back(
              {kind.name + "-" + std::to_string(++this->last), tasks, this->cell.now(), 0});
          this->submit(kind, this->sent[kind.name].size() - 1, workspace);
        }
      }
      this->cell.run(RoundMs);
    }
  }

  /// Lets the accepted jobs end; callers that were refused no longer return.
  void settle(std::int64_t milliseconds) {
    this->returns.clear();
    this->cell.run(milliseconds);
  }

  /// Of the jobs that were first submitted in this time: those between these parts of their order
  /// by width.
  Outcome outcome(const Kind &kind, double fromWidth = 0, double toWidth = 1,
                  std::int64_t fromMs = 0, std::int64_t toMs = INT64_MAX) const {
    std::vector<Sent> all = this->sent.at(kind.name);
    std::erase_if(all,
                  [=](const Sent &one) { return one.firstMs < fromMs || one.firstMs >= toMs; });
    std::stable_sort(all.begin(), all.end(),
                     [](const Sent &left, const Sent &right) { return left.tasks < right.tasks; });
    const auto count = static_cast<double>(all.size());
    Outcome outcome;
    for (auto index = static_cast<std::size_t>(fromWidth * count);
         index < static_cast<std::size_t>(toWidth * count); ++index) {
      ++outcome.jobs;
      const Job *job = this->cell.jobTable().findJob(all[index].id);
      if (job == nullptr)
        continue;
      ++outcome.accepted;
      if (job->phase != JobPhase::Succeeded ||
          job->endedMs - job->acceptedMs > NoValueFactor * targetOf(kind))
        continue;
      const auto work = static_cast<double>(all[index].tasks * kind.millicores * kind.milliseconds);
      ++outcome.useful;
      outcome.usefulWork += work;
      if (job->endedMs - job->acceptedMs > targetOf(kind))
        continue;
      ++outcome.inTime;
      outcome.inTimeWork += work;
    }
    return outcome;
  }

  std::size_t refusalsOf(const Kind &kind) const {
    std::size_t count = 0;
    for (const Sent &one : this->sent.at(kind.name))
      count += one.refusals;
    return count;
  }

  std::size_t refusals() const {
    std::size_t count = 0;
    for (const auto &[name, kind] : this->kinds)
      count += this->refusalsOf(kind);
    return count;
  }

  /// Work of the jobs that succeeded in this time.
  double finishedWork(std::int64_t fromMs, std::int64_t toMs) const {
    double work = 0;
    for (const auto &[name, all] : this->sent) {
      const Kind &kind = this->kinds.at(name);
      for (const Sent &one : all) {
        const Job *job = this->cell.jobTable().findJob(one.id);
        const std::int64_t endedMs = job == nullptr ? 0 : job->endedMs - EpochMs;
        if (job != nullptr && job->phase == JobPhase::Succeeded && endedMs >= fromMs &&
            endedMs < toMs)
          work += static_cast<double>(one.tasks * kind.millicores * kind.milliseconds);
      }
    }
    return work;
  }

  static double room() { return static_cast<double>(Workers) * 16000; }

  FakeCell cell;

private:
  static CellOptions options(std::uint64_t seed) {
    CellOptions options;
    options.seed = seed;
    options.workers = Workers;
    options.capacity = {16000, 64000, 0};
    return options;
  }

  void submit(const Kind &kind, std::size_t index, const SubmittingWorkspace &workspace) {
    Sent &one = this->sent[kind.name][index];
    JobSpec spec = makeJob(one.id, one.tasks, kind.millicores, kind.milliseconds);
    spec.steps[0].gang = kind.gang;
    if (!this->refuses) {
      this->cell.submit(std::move(spec), queueOf(kind));
      return;
    }
    const AdmissionDecision decision =
        this->cell.submitIfAdmitted(std::move(spec), queueOf(kind), workspace);
    if (decision.isAccepted() || ++one.refusals > 4)
      return;
    // The wire carries whole seconds.
    const std::int64_t seconds = (decision.retryAfterMs + 999) / 1000;
    this->returns.emplace(this->cell.now() + seconds * 1000, Return{kind.name, index, workspace});
  }

  void returnDue() {
    while (!this->returns.empty() && this->returns.begin()->first <= this->cell.now()) {
      const Return one = this->returns.begin()->second;
      this->returns.erase(this->returns.begin());
      this->submit(this->kinds.at(one.kind), one.index, one.workspace);
    }
  }

  struct Return {
    std::string kind;
    std::size_t index = 0;
    SubmittingWorkspace workspace;
  };

  bool refuses;
  std::map<std::string, Kind> kinds;
  std::map<std::string, double> due;
  std::map<std::string, std::vector<Sent>> sent;
  std::multimap<std::int64_t, Return> returns;
  std::uint64_t last = 0;
};

} // namespace

TEST_GROUP(Admission){};

/// Jobs that are accepted beyond the room turn late on their way, and what they have done is thrown
/// away.
TEST(Admission, TwiceTheRoomIsAskedFor) {
  constexpr double Factor = 2.5;
  constexpr std::int64_t WarmUpMs = 8000;
  constexpr std::int64_t WindowMs = 25000;
  const auto play = [&](Callers &callers, const std::vector<Kind> &kinds,
                        const SubmittingWorkspace &workspace) {
    std::vector<std::pair<Kind, double>> load;
    for (const Kind &kind : kinds)
      load.emplace_back(kind, Factor);
    const std::int64_t start = callers.cell.now();
    callers.run(WarmUpMs + WindowMs + WarmUpMs, load, workspace);
    callers.settle(WarmUpMs);
    return start + WarmUpMs;
  };
  // What the cell does in this time if no job can be late.
  std::vector<Kind> patient = {Checks, Gangs, Rebalancing};
  for (Kind &kind : patient)
    kind.latencyMs = 3600000;
  Callers reference(1, false);
  const std::int64_t referenceStart = play(reference, patient, NoWorkspace);
  const double room = reference.finishedWork(referenceStart, referenceStart + WindowMs);

  for (const SubmittingWorkspace &workspace : {NoWorkspace, OverShare}) {
    Callers callers(1, true);
    const std::int64_t start = play(callers, {Checks, Gangs, Rebalancing}, workspace);
    double useful = 0;
    std::size_t accepted = 0;
    std::size_t done = 0;
    for (const Kind &kind : {Checks, Gangs, Rebalancing}) {
      const Outcome outcome = callers.outcome(kind, 0, 1, start, start + WindowMs);
      useful += outcome.usefulWork;
      accepted += outcome.accepted;
      done += outcome.useful;
    }
    CHECK(useful >= 0.95 * room);
    CHECK(static_cast<double>(done) >= 0.98 * static_cast<double>(accepted));
    // Less urgent work is refused, and no urgent job is for it.
    LONGS_EQUAL(0, callers.refusalsOf(Checks));
    CHECK(callers.refusalsOf(Rebalancing) > callers.refusalsOf(Gangs));
    CHECK(callers.cell.findViolations().empty());
  }
}

/// After a burst its backlog made the jobs of the following seconds late.
TEST(Admission, BurstOfOneQueueDelaysItsNextJobsLess) {
  const auto jobsInTime = [](bool refuses, const SubmittingWorkspace &workspace) {
    Outcome sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Callers callers(seed, refuses);
      callers.run(5000, {{Checks, 1}, {Gangs, 1}, {Rebalancing, 1}}, workspace);
      callers.run(7000, {{Checks, 1}, {Gangs, 1}, {Rebalancing, 2.5}}, workspace);
      callers.run(16000, {{Checks, 1}, {Gangs, 1}, {Rebalancing, 1}}, workspace);
      callers.settle(15000);
      const Outcome bursting = callers.outcome(Rebalancing);
      sum.jobs += bursting.jobs;
      sum.inTime += bursting.inTime;
      for (const Kind &kind : {Checks, Gangs}) {
        LONGS_EQUAL(callers.outcome(kind).jobs, callers.outcome(kind).inTime);
        LONGS_EQUAL(0, callers.refusalsOf(kind));
      }
    }
    return static_cast<double>(sum.inTime) / static_cast<double>(sum.jobs);
  };
  const double before = jobsInTime(false, NoWorkspace);
  CHECK(jobsInTime(true, NoWorkspace) > before + 0.02);
  CHECK(jobsInTime(true, OverShare) > 0.95);
}

/// If the width decided, the widest jobs of a queue would be refused first.
TEST(Admission, WideJobsAreServedHalfAsOftenAsTheirQueue) {
  constexpr double Factor = 1.9;
  std::array<Outcome, 3> sums;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Callers callers(seed, true);
    const std::int64_t start = callers.cell.now();
    callers.run(45000, {{Checks, Factor}, {Gangs, Factor}, {Rebalancing, Factor}});
    callers.settle(5000);
    const std::array<Outcome, 3> found = {
        callers.outcome(Rebalancing, 0, 1, start, start + 38000),
        callers.outcome(Rebalancing, 0.9, 1, start, start + 38000),
        callers.outcome(Rebalancing, 0.7, 0.9, start, start + 38000)};
    for (std::size_t part = 0; part < sums.size(); ++part) {
      sums.at(part).jobs += found.at(part).jobs;
      sums.at(part).useful += found.at(part).useful;
    }
  }
  CHECK(sums[0].share() < 0.5);
  CHECK(sums[1].share() >= sums[0].share() / 2);
  CHECK(sums[2].share() >= sums[0].share() / 2);
}

/// Rates of a former leader are unknown to its successor, which must neither refuse by chance nor
/// lose the work that it has taken over.
TEST(Admission, NewLeaderMeasuresBeforeItRefuses) {
  Callers callers(1, true);
  const std::vector<std::pair<Kind, double>> load = {
      {Checks, 2.5}, {Gangs, 2.5}, {Rebalancing, 2.5}};
  callers.run(12000, load);
  const std::size_t before = callers.refusals();
  CHECK(before > 0);
  callers.cell.changeLeader();
  callers.run(1900, load);
  LONGS_EQUAL(before, callers.refusals());
  callers.run(6000, load);
  CHECK(callers.refusals() > before);
  callers.settle(60000);
  CHECK(callers.cell.findViolations().empty());
  const AdmissionLoad rest = callers.cell.admissionLoad();
  DOUBLES_EQUAL(0, rest.running, 1);
  for (const auto &[priority, work] : rest.byPriority)
    DOUBLES_EQUAL(0, work.inTime + work.late + work.worthless, 1);
}

/// The repetition of a submission whose job is on its way into the table was told that it will not
/// run.
TEST(Admission, RepeatedSubmissionIsAcceptedWhateverTheLoad) {
  Callers callers(1, true);
  callers.run(12000, {{Checks, 2.5}, {Gangs, 2.5}, {Rebalancing, 2.5}});
  const SubmittingWorkspace &workspace = OverShare;
  const Queue queue = queueOf(Rebalancing);
  // Urgent work first, so that one of the queue would be refused now.
  const AdmissionDecision other =
      callers.cell.submitIfAdmitted(makeJob("other", 5, 1000, 2000), queue, workspace);
  CHECK(!other.isAccepted());
  const JobSpec spec = makeJob("repeated", 5, 1000, 2000);
  CHECK(callers.cell.submitIfAdmitted(spec, queueOf(Checks), workspace).isAccepted());
  CHECK(callers.cell.submitIfAdmitted(spec, queue, workspace).isAccepted());
}

/// A cell whose configuration has no workspaces is served as before.
TEST(Admission, WithoutWorkspacesABurstIsAccepted) {
  const SubmittingWorkspace none;
  Callers callers(1, true);
  callers.run(5000, {{Checks, 1}, {Gangs, 1}, {Rebalancing, 1}}, none);
  callers.run(7000, {{Checks, 2.5}, {Gangs, 2.5}, {Rebalancing, 2.5}}, none);
  callers.run(5000, {{Checks, 1}, {Gangs, 1}, {Rebalancing, 1}}, none);
  LONGS_EQUAL(0, callers.refusals());
}
