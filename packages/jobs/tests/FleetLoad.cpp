#include "FleetLoad.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::jobs::test {

namespace {

constexpr std::int64_t RoundMs = 20;

/// A job that takes longer than this many times its target was not served.
constexpr double LateFactor = 3;

} // namespace

Queue queueOf(const LoadClass &kind) {
  Queue queue;
  queue.name = kind.queue;
  queue.service = "service";
  queue.timeoutMs = 3000;
  queue.priority = kind.priority;
  queue.maxAttempts = 4;
  queue.stretch = kind.stretch;
  queue.latencyMs = kind.latencyMs;
  queue.advice = kind.advice;
  return queue;
}

std::vector<LoadClass> fleetClasses() {
  return {
      {"reconcile", 10, 32, 0.6, 160, 4500, 5000, 1, 0.35, 1, 2.2, 1200, {390, 5.6, 2500}},
      {"trend", 17, 50, 0.8, 300, 2700, 2200, 0, 0.45, 2, 4, 3000, {140, 2, 2500}},
      {"level-check", 114, 4.5, 0.8, 27, 3900, 1000, 0.3, 0.7, 0, 1.5, 400, {14, 0.2, 2500}},
  };
}

CellOptions fleetOptions(std::uint64_t seed, std::size_t workers) {
  CellOptions options;
  options.seed = seed;
  options.workers = workers;
  options.capacity = FleetCapacity;
  options.advice = true;
  options.advisers = std::max<std::size_t>(workers * ReferenceAdvisers / ReferenceWorkers, 3);
  for (const LoadClass &kind : fleetClasses())
    options.permittedShares.emplace(kind.queue, kind.permittedShare);
  return options;
}

FleetLoad::FleetLoad(FakeCell &fleet, std::uint64_t seed, std::size_t workspaceCount)
    : cell(fleet), random(seed), classes(fleetClasses()), workspaces(workspaceCount),
      due(classes.size(), 0), jobs(classes.size()) {}

std::uint32_t FleetLoad::drawWidth(const LoadClass &kind) {
  // The sum of twelve uniform numbers is close to a normal distribution.
  constexpr int Draws = 12;
  double normal = -Draws / 2.0;
  for (int draw = 0; draw < Draws; ++draw)
    normal += this->random.unit();
  const double spread = kind.widthSpread;
  const double width = kind.width * std::exp(spread * normal - spread * spread / 2);
  return std::clamp(static_cast<std::uint32_t>(std::lround(width)), 1U, kind.maxWidth);
}

void FleetLoad::submit(std::size_t index) {
  const LoadClass &kind = this->classes.at(index);
  const std::uint32_t width = this->drawWidth(kind);
  const std::string id = kind.queue + "-" + std::to_string(1000000 + ++this->lastJob);
  JobSpec spec = makeJob(id, width, kind.millicores, kind.milliseconds);
  spec.steps[0].gang = this->random.unit() < kind.gangShare;
  this->jobs.at(index).push_back({id, width});
  std::string workspace;
  if (this->workspaces > 0)
    workspace = "workspace" + std::to_string(this->lastJob % this->workspaces);
  this->cell.submit(std::move(spec), queueOf(kind), workspace);
}

void FleetLoad::run(std::int64_t milliseconds) {
  for (std::int64_t time = 0; time < milliseconds; time += RoundMs) {
    for (std::size_t index = 0; index < this->classes.size(); ++index) {
      this->due[index] +=
          this->classes[index].jobsPerSecond * this->factor * static_cast<double>(RoundMs) / 1000;
      for (; this->due[index] >= 1; this->due[index] -= 1)
        this->submit(index);
    }
    this->cell.run(RoundMs);
  }
}

Served FleetLoad::served(std::size_t index, double fromShare) const {
  const LoadClass &kind = this->classes.at(index);
  const double targetMs =
      kind.stretch * static_cast<double>(kind.milliseconds) + static_cast<double>(kind.latencyMs);
  std::vector<Submitted> sorted = this->jobs.at(index);
  std::stable_sort(sorted.begin(), sorted.end(), [](const Submitted &left, const Submitted &right) {
    return left.width < right.width;
  });
  Served served;
  const auto first = static_cast<std::size_t>(fromShare * static_cast<double>(sorted.size()));
  for (std::size_t position = first; position < sorted.size(); ++position) {
    ++served.jobs;
    const Job *job = this->cell.jobTable().findJob(sorted[position].id);
    if (job == nullptr || job->phase != JobPhase::Succeeded)
      continue;
    const auto tookMs = static_cast<double>(job->endedMs - job->acceptedMs);
    served.inTarget += tookMs <= targetMs ? 1 : 0;
    served.late += tookMs > targetMs && tookMs <= LateFactor * targetMs ? 1 : 0;
  }
  return served;
}

} // namespace banyanrill::jobs::test
