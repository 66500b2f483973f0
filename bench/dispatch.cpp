// Processor time of the leader's decisions: a simulated cell with the large deployment's mix of
// jobs, advisory calls included. Each argument is a number of workers; prints one line of JSON for
// each.
#include "FakeCell.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr int WarmUpMs = 3000;
constexpr int MeasuredMs = 10000;
constexpr int RoundMs = 10;

/// The number of workers that the rates of `Classes` belong to.
constexpr double ReferenceWorkers = 1100;

constexpr base::Resources WorkerCapacity = {16000, 32000, 0};

/// One class of jobs; each has one step.
struct JobClass {
  const char *queue;
  double jobsPerSecond;
  std::uint32_t tasks;
  std::int64_t millicores;
  std::int64_t milliseconds;
  bool gang;
  std::uint32_t priority;
  double stretch;
  std::int64_t latencyMs;
  AdvicePolicy advice;
};

const JobClass Classes[] = {
    {"reconcile", 10, 32, 4500, 5000, true, 1, 2.2, 1200, {390, 5.6, 2500}},
    {"trend", 17, 50, 2700, 2200, false, 2, 4, 3000, {82, 1.2, 2500}},
    {"level-check", 114, 4, 3900, 1000, false, 0, 1.5, 400, {9.3, 0.13, 2500}},
};

Queue queueOf(const JobClass &kind) {
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

void measure(std::size_t workers, double load) {
  CellOptions options;
  options.workers = workers;
  options.advice = true;
  options.advisers = std::max<std::size_t>(workers * 150 / 1100, 3);
  options.permittedShare = 0.5;
  options.capacity = WorkerCapacity;
  FakeCell cell(options);
  cell.run(WarmUpMs);
  const std::chrono::nanoseconds spentBefore = cell.dispatcherTime();
  const double scale = load * static_cast<double>(workers) / ReferenceWorkers;
  double due[std::size(Classes)] = {};
  std::size_t number = 0;
  for (int timeMs = 0; timeMs < MeasuredMs; timeMs += RoundMs) {
    for (std::size_t index = 0; index < std::size(Classes); ++index) {
      const JobClass &kind = Classes[index];
      due[index] += kind.jobsPerSecond * scale * RoundMs / 1000;
      for (; due[index] >= 1; due[index] -= 1) {
        JobSpec spec = makeJob("job-" + std::to_string(1000000000 + ++number), kind.tasks,
                               kind.millicores, kind.milliseconds);
        spec.steps[0].gang = kind.gang;
        cell.submit(std::move(spec), queueOf(kind));
      }
    }
    cell.run(RoundMs);
  }
  const std::chrono::duration<double> spent = cell.dispatcherTime() - spentBefore;
  const DispatcherCounters counters = cell.counters();
  std::printf("{\"workers\": %zu, \"load\": %.2f, \"simulated_s\": %d, \"core_s\": %.3f, "
              "\"starts\": %llu, \"renewals\": %llu, \"advice_calls\": %llu, \"open_steps\": %zu, "
              "\"us_per_start\": %.1f}\n",
              workers, load, MeasuredMs / 1000, spent.count(),
              static_cast<unsigned long long>(counters.starts),
              static_cast<unsigned long long>(counters.renewals),
              static_cast<unsigned long long>(counters.adviceCalls), counters.openSteps,
              spent.count() * 1e6 / static_cast<double>(counters.starts));
  std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv) {
  constexpr double UsualLoad = 1;
  constexpr double Overload = 1.5;
  if (argc < 2) {
    measure(static_cast<std::size_t>(ReferenceWorkers), UsualLoad);
    return 0;
  }
  for (int index = 1; index < argc; ++index) {
    const auto workers = static_cast<std::size_t>(std::max(std::atoi(argv[index]), 1));
    measure(workers, UsualLoad);
    measure(workers, Overload);
  }
  return 0;
}
