#include "PlacementWorkload.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::bench {

using base::Duration;
using base::Resources;
using base::TimePoint;
using placement::JobKind;

namespace {

constexpr double JobsPerDay = 3900;
constexpr int TeamCount = 330;
constexpr double SecondsPerDay = 86400;

struct WorkerClass {
  int count;
  Resources capacity;
};

// 610 workers with 970 accelerators.
constexpr WorkerClass Classes[] = {
    {232, {16000, 65536, 0}}, {232, {32000, 65536, 0}}, {14, {16000, 65536, 1}},
    {61, {32000, 131072, 4}}, {53, {64000, 262144, 8}}, {18, {96000, 393216, 16}},
};

class Generator {
public:
  explicit Generator(const WorkloadOptions &settings) : options(settings), random(settings.seed) {}

  Workload make() {
    this->result.begin = TimePoint(std::chrono::hours(1));
    this->result.measureFrom = this->result.begin + this->options.measureFrom;
    this->result.end = this->result.begin + this->options.length;
    this->addWorkers();
    this->addTeams();
    this->addServices();
    this->addArrivals();
    this->addPeaks();
    std::stable_sort(this->result.jobs.begin(), this->result.jobs.end(),
                     [](const BenchJob &a, const BenchJob &b) { return a.arrival < b.arrival; });
    return std::move(this->result);
  }

private:
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(
                     this->random.below(static_cast<std::uint64_t>(high - low + 1)));
  }

  /// Lognormal with the given median; the spread is the standard deviation of the logarithm.
  double lognormal(double median, double spread) {
    const double u = std::max(this->random.unit(), 1e-12);
    const double v = this->random.unit();
    return median * std::exp(spread * std::sqrt(-2 * std::log(u)) * std::cos(6.283185307 * v));
  }

  static Duration seconds(double value) { return Duration(static_cast<std::int64_t>(value * 1e6)); }

  int scaled(double value) const {
    return std::max(1, static_cast<int>(std::lround(value * this->options.scale)));
  }

  void addWorkers() {
    int number = 0;
    for (const WorkerClass &kind : Classes) {
      for (int index = 0; index < this->scaled(kind.count); ++index, ++number) {
        placement::WorkerView worker;
        worker.id = {"w" + std::to_string(number)};
        // Accelerators are uneven over the data centres: two of five hold most of them.
        const std::int64_t zone =
            kind.capacity.accelerators > 0 && number % 3 != 0 ? number % 2 : number % 5;
        worker.region = zone < 3 ? "region-a" : "region-b";
        worker.dataCentre = "dc" + std::to_string(zone);
        worker.rack = "r" + std::to_string(number / 8);
        worker.capacity = kind.capacity;
        // Every sixth worker carries upstream instances, whose requests take 2 cores.
        if (number % 6 == 0)
          worker.requestLoad = {2000, 4096, 0};
        this->total = this->total + worker.capacity;
        if (number % 200 == 7)
          this->result.failingWorkers.insert(worker.id.value);
        this->result.workers.push_back(worker);
      }
    }
    for (std::size_t last = this->result.workers.size(); last > 1; --last)
      std::swap(this->result.workers[last - 1], this->result.workers[this->random.below(last)]);
  }

  void addTeams() {
    double weights = 0;
    for (int team = 0; team < TeamCount; ++team)
      weights += 1.0 / (team + 10);
    for (int team = 0; team < TeamCount; ++team) {
      // Quotas add up to 1.2 times the cell, with a floor for small teams.
      const double share = 1.2 * (1.0 / (team + 10)) / weights;
      const Resources quota{std::max<std::int64_t>(
                                64000, std::llround(share * static_cast<double>(total.millicores))),
                            std::max<std::int64_t>(
                                262144, std::llround(share * static_cast<double>(total.memoryMib))),
                            std::max<std::int64_t>(
                                16, std::llround(share * static_cast<double>(total.accelerators)))};
      this->result.quotas.emplace_back("team" + std::to_string(team), quota);
      this->bias.push_back(this->lognormal(1.0, 1.0));
    }
  }

  /// A team that could run the job; large teams submit more.
  int pickTeam(const placement::JobSpec &spec) {
    // Gangs must fit in the quota; urgent work is planned by its team to fit.
    const bool whole = spec.kind == JobKind::Gang || spec.priority >= UrgentPriority;
    const std::int64_t together = whole ? spec.count : 1;
    for (int tries = 0; tries < 100; ++tries) {
      const double u = this->random.unit();
      const int team = static_cast<int>(u * u * TeamCount);
      if ((spec.demand * together).fitsIn(this->result.quotas[team].second))
        return team;
    }
    return 0;
  }

  void add(BenchJob job, double median, double spread) {
    const int team = this->pickTeam(job.spec);
    job.spec.team = this->result.quotas[team].first;
    job.spec.id = {"/teams/" + job.spec.team + "/batches/j" + std::to_string(this->numbers++)};
    const double typical = this->lognormal(median, spread);
    for (int task = 0; task < job.spec.count; ++task)
      job.runTimes.push_back(seconds(std::clamp(this->lognormal(typical, 0.3), 1.0, 14400.0)));
    // Declarations are wrong by a factor of the team and one of the job.
    job.spec.runTime = seconds(std::max(1.0, typical * this->bias[team] * lognormal(1.0, 0.5)));
    this->result.jobs.push_back(std::move(job));
  }

  Resources plainDemand() {
    const std::int64_t cores[] = {1, 1, 2, 2, 4, 4, 4, 6, 8, 12};
    const std::int64_t millicores = 1000 * cores[this->random.below(10)];
    return {millicores, millicores * this->between(1000, 4000) / 1000, 0};
  }

  Resources acceleratedDemand() {
    const std::int64_t counts[] = {1, 1, 1, 2, 2, 4, 8};
    const std::int64_t accelerators = counts[this->random.below(7)];
    return {accelerators * this->between(2, 6) * 1000, accelerators * this->between(8, 24) * 1024,
            accelerators};
  }

  void addServices() {
    // A fifth of 4,200 running tasks.
    for (int number = 0; number < this->scaled(84); ++number) {
      BenchJob job;
      job.spec.kind = JobKind::Service;
      job.spec.count = 10;
      job.spec.demand = {1000 * this->between(1, 4), 1024 * this->between(2, 8), 0};
      job.spec.priority = 5;
      job.spec.preemptible = false;
      job.arrival = this->result.begin;
      this->add(job, 3600, 0.0);
      for (Duration &run : this->result.jobs.back().runTimes)
        run = std::chrono::hours(1000);
    }
  }

  void addArrivals() {
    // The arrivals of the hour before the start come first, so that the cell is loaded.
    const double hours = std::chrono::duration<double, std::ratio<3600>>(options.length).count();
    const int count = this->scaled(JobsPerDay / 24 * (hours + 1));
    for (int number = 0; number < count; ++number) {
      BenchJob job;
      const double at = this->random.unit() * (hours + 1) - 1;
      job.arrival = this->result.begin + seconds(std::max(0.0, at) * 3600);
      job.failing = this->random.below(100) < 2;
      job.spec.checkpointable = this->random.below(2) == 0;
      const std::uint64_t kind = this->random.below(100);
      if (kind < 20) {
        job.spec.priority = UrgentPriority;
        job.spec.preemptible = false;
        job.spec.count = static_cast<std::int32_t>(this->between(1, 12));
        job.spec.demand = this->plainDemand();
        this->add(job, 25, 0.6);
        continue;
      }
      job.spec.priority = static_cast<std::int32_t>(this->between(0, 3));
      job.spec.preemptible = this->random.below(10) != 0;
      const bool accelerated = this->random.below(100) < 25;
      if (kind < 30) {
        job.spec.kind = JobKind::Gang;
        job.spec.count =
            static_cast<std::int32_t>(accelerated ? this->between(2, 12) : this->between(4, 48));
        job.spec.demand = accelerated ? this->acceleratedDemand() : this->plainDemand();
        this->add(job, 1200, 0.8);
        continue;
      }
      job.spec.demand = accelerated ? this->acceleratedDemand() : this->plainDemand();
      job.spec.count = static_cast<std::int32_t>(
          std::clamp(this->lognormal(accelerated ? 12 : 45, 1.0), 1.0, accelerated ? 60.0 : 400.0));
      this->add(job, 1200, 0.8);
    }
  }

  void addPeaks() {
    // Each hour 4,500 short tasks arrive within 10 s: 450 starts a second.
    const Duration interval = std::chrono::hours(1);
    for (TimePoint peak = this->result.begin + interval / 2; peak < this->result.end;
         peak += interval) {
      const int jobs = this->scaled(10);
      for (int number = 0; number < jobs; ++number) {
        BenchJob job;
        job.arrival = peak + std::chrono::milliseconds(10000LL * number / jobs);
        job.spec.count =
            this->options.scale < 1 ? static_cast<std::int32_t>(450 * options.scale * 10) : 450;
        job.spec.demand = {250, 256, 0};
        job.spec.priority = 6;
        this->add(job, 5, 0.3);
      }
    }
  }

  WorkloadOptions options;
  base::RandomSource random;
  Workload result;
  Resources total;
  std::vector<double> bias;
  int numbers = 0;
};

} // namespace

Workload makeWorkload(const WorkloadOptions &options) { return Generator(options).make(); }

} // namespace banyanrill::bench
