#include "RackLoad.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace banyanrill::jobs::test {

namespace {

constexpr std::size_t Racks = 20;
constexpr std::size_t PlacesPerRack = 48; // 8 workers of 64 cores; a task takes 7 to 10.
constexpr std::int64_t TickMs = 10;
constexpr std::int64_t ReportMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(EndReportDelay).count();

struct Kind {
  double share; ///< Of the work.
  std::uint32_t tasks;
  std::int64_t estimatedMs;
  double error; ///< Largest deviation of a run from its estimate, in parts of it.
  double stretch;
  std::int64_t latencyMs;
  std::int64_t headStartMs; ///< By which less urgent steps wait behind others.
};

/// The queues without gangs of the second deployment.
constexpr Kind Kinds[] = {{0.3, 3, 850, 0.5, 1.5, 300, 0}, {0.7, 25, 2300, 0.9, 4, 3000, 6000}};

struct RackJob {
  const Kind *kind = nullptr;
  std::size_t rack = 0;
  std::int64_t dueMs = 0;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::vector<double> factors; ///< Run time of each task against the estimate.
  std::int64_t heldMs = 0;
  bool isHeld = false;
  base::TimePoint forecast;

  std::int64_t targetMs() const {
    return static_cast<std::int64_t>(this->kind->stretch *
                                     static_cast<double>(this->kind->estimatedMs)) +
           this->kind->latencyMs;
  }
  std::int64_t latestStartMs() const {
    return this->dueMs + this->targetMs() - this->kind->estimatedMs * 3 / 2;
  }
};

struct Rack {
  std::size_t free = PlacesPerRack;
  std::multiset<std::int64_t> expectedEnds;
  std::size_t claimed = 0; ///< Places that held tasks count on, in this round.
};

struct Run {
  std::shared_ptr<RackJob> job;
  std::size_t rack;
  std::int64_t expectedEndMs;
};

base::TimePoint timeOf(std::int64_t milliseconds) {
  return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

/// Not thread-safe.
class Loop {
public:
  Loop(const RackLoadOptions &loadOptions, const HoldPolicy &policy)
      : options(loadOptions), holds(policy), random(loadOptions.seed), racks(Racks) {}

  RackLoadResult run() {
    for (this->nowMs = 0;
         this->nowMs < this->options.milliseconds || !this->waiting.empty() || !this->runs.empty();
         this->nowMs += TickMs) {
      this->endRuns();
      if (this->nowMs < this->options.milliseconds)
        this->submitJobs();
      this->placeAll();
    }
    this->result.meanMs /= static_cast<double>(this->result.jobs);
    this->result.nearShare =
        static_cast<double>(this->nearStarts) / static_cast<double>(this->starts);
    return this->result;
  }

private:
  void submitJobs() {
    const double places = Racks * PlacesPerRack;
    for (std::size_t index = 0; index < std::size(Kinds); ++index) {
      const Kind &kind = Kinds[index];
      const double workMs = static_cast<double>(kind.tasks) * static_cast<double>(kind.estimatedMs);
      const double perTick = kind.share * this->options.utilization * places * TickMs / workMs;
      // A random number of jobs each tick, with this mean.
      if (this->random.unit() >= perTick)
        continue;
      auto job = std::make_shared<RackJob>();
      job->kind = &kind;
      job->rack = this->drawRack();
      job->dueMs = this->nowMs;
      job->waiting = kind.tasks;
      for (std::uint32_t task = 0; task < kind.tasks; ++task)
        job->factors.push_back(1 + kind.error * (2 * this->random.unit() - 1));
      this->waiting.push_back(std::move(job));
    }
  }

  std::size_t drawRack() {
    const double busy = static_cast<double>(this->options.busyRacks) * this->options.busyFactor;
    const double others = static_cast<double>(Racks - this->options.busyRacks);
    if (this->random.unit() * (busy + others) < busy)
      return this->random.below(this->options.busyRacks);
    return this->options.busyRacks + this->random.below(Racks - this->options.busyRacks);
  }

  void endRuns() {
    while (!this->runs.empty() && this->runs.begin()->first <= this->nowMs) {
      const Run run = this->runs.begin()->second;
      this->runs.erase(this->runs.begin());
      Rack &rack = this->racks[run.rack];
      ++rack.free;
      rack.expectedEnds.erase(rack.expectedEnds.find(run.expectedEndMs));
      if (--run.job->running > 0 || run.job->waiting > 0)
        continue;
      const std::int64_t took = this->nowMs - run.job->dueMs;
      ++this->result.jobs;
      this->result.meanMs += static_cast<double>(took);
      this->result.late += took > run.job->targetMs() ? 1 : 0;
    }
  }

  void placeAll() {
    for (Rack &rack : this->racks)
      rack.claimed = 0;
    std::stable_sort(this->waiting.begin(), this->waiting.end(),
                     [](const auto &left, const auto &right) {
                       return left->latestStartMs() + left->kind->headStartMs <
                              right->latestStartMs() + right->kind->headStartMs;
                     });
    for (const std::shared_ptr<RackJob> &job : this->waiting)
      this->place(job);
    std::erase_if(this->waiting, [](const auto &job) { return job->waiting == 0; });
  }

  void place(const std::shared_ptr<RackJob> &job) {
    const bool wasHeld = job->isHeld;
    if (wasHeld)
      job->heldMs += TickMs;
    job->isHeld = false;
    Rack &near = this->racks[job->rack];
    std::optional<base::TimePoint> first;
    std::uint32_t held = 0;
    const std::uint32_t before = job->waiting;
    bool gotNear = false;
    for (std::uint32_t task = 0; task < before; ++task) {
      if (near.free > 0) {
        this->start(job, job->rack, 1);
        gotNear = true;
        continue;
      }
      const auto freest = std::max_element(
          this->racks.begin(), this->racks.end(),
          [](const Rack &left, const Rack &right) { return left.free < right.free; });
      if (freest->free == 0)
        break;
      DelayInput input;
      input.now = timeOf(this->nowMs);
      input.estimate = std::chrono::milliseconds(job->kind->estimatedMs);
      input.remotePenalty = this->options.remotePenalty;
      input.otherIsFree = true;
      input.utilization = this->utilization();
      input.slack = std::chrono::milliseconds(job->latestStartMs() - this->nowMs);
      input.waited = std::chrono::milliseconds(job->heldMs);
      const auto soon = std::find_if(
          near.expectedEnds.begin(), near.expectedEnds.end(), [this](std::int64_t end) {
            return expectedRoom(timeOf(end), timeOf(this->nowMs)).has_value();
          });
      const auto left = static_cast<std::size_t>(std::distance(soon, near.expectedEnds.end()));
      if (near.claimed < left) {
        const std::int64_t end = *std::next(soon, static_cast<std::ptrdiff_t>(near.claimed));
        const base::TimePoint at = *expectedRoom(timeOf(end), input.now);
        first = first.value_or(at);
        input.preferredIn = at - input.now;
        if (wasHeld)
          input.firstForecast = job->forecast + (at - *first);
      } else if (wasHeld) {
        input.firstForecast = job->forecast;
      }
      if (!this->holds(input)) {
        const auto index = static_cast<std::size_t>(std::distance(this->racks.begin(), freest));
        this->start(job, index, this->options.remotePenalty);
        continue;
      }
      ++near.claimed;
      ++held;
    }
    if (held == 0)
      return;
    job->isHeld = true;
    if ((!wasHeld || gotNear) && first)
      job->forecast = *first;
    this->result.longestWaitMs = std::max(this->result.longestWaitMs, job->heldMs + TickMs);
  }

  double utilization() const {
    std::size_t free = 0;
    for (const Rack &rack : this->racks)
      free += rack.free;
    return 1 - static_cast<double>(free) / static_cast<double>(Racks * PlacesPerRack);
  }

  void start(const std::shared_ptr<RackJob> &job, std::size_t index, double factor) {
    Rack &rack = this->racks[index];
    --rack.free;
    const double actual = job->factors[--job->waiting];
    ++job->running;
    ++this->starts;
    this->nearStarts += factor == 1 ? 1 : 0;
    const double estimate = static_cast<double>(job->kind->estimatedMs) * factor;
    const std::int64_t expected = this->nowMs + static_cast<std::int64_t>(estimate);
    const auto takes = static_cast<std::int64_t>(estimate * actual) + ReportMs;
    rack.expectedEnds.insert(expected);
    this->runs.emplace(this->nowMs + takes, Run{job, index, expected});
  }

  RackLoadOptions options;
  const HoldPolicy &holds;
  base::RandomSource random;
  std::vector<Rack> racks;
  std::vector<std::shared_ptr<RackJob>> waiting;
  std::multimap<std::int64_t, Run> runs;
  std::int64_t nowMs = 0;
  std::size_t starts = 0;
  std::size_t nearStarts = 0;
  RackLoadResult result;
};

} // namespace

HoldPolicy neverWait() {
  return [](const DelayInput & /*input*/) { return false; };
}

HoldPolicy waitAtMost(base::Duration limit) {
  return [limit](const DelayInput &input) { return input.waited < limit; };
}

HoldPolicy decideByForecast() {
  return [](const DelayInput &input) { return PlacementDelay::decide(input).waits(); };
}

RackLoadResult runRackLoad(const RackLoadOptions &options, const HoldPolicy &holds) {
  return Loop(options, holds).run();
}

} // namespace banyanrill::jobs::test
