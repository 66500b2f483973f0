// Benchmark of the planner against first fit and random fit on the same workload.
// Its last line is one JSON object.
#include "PlacementBaseline.h"
#include "PlacementSimulation.h"

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace banyanrill;
using namespace banyanrill::bench;

constexpr std::uint64_t Seed = 20261204;

double mean(const std::vector<double> &values) {
  double sum = 0;
  for (const double value : values)
    sum += value;
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(share * last))];
}

/// Resident memory of this process in MiB, the simulation included.
double residentMib() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0)
      return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

SimulationResult runPlanner(const Workload &workload) {
  placement::Planner planner({}, base::RandomSource(Seed));
  return Simulation(workload, planner, Seed).run();
}

SimulationResult runBaseline(const Workload &workload, Fit fit) {
  Baseline baseline(fit, base::RandomSource(Seed));
  return Simulation(workload, baseline, Seed).run();
}

void printSummary(const char *name, const SimulationResult &result) {
  std::printf("%-10s %9.1f %9zu %8.4f %8.4f %8.4f %9.1f %8.0f %7zu %12.0f %8zu\n", name,
              mean(result.allWaits), result.unstarted, result.allocatedShare, result.usefulShare,
              result.usefulAcceleratorShare, result.strandedAccelerators, result.meanRunning,
              result.preemptions, result.lostCoreSeconds, result.failedRuns);
}

void printWaits(const SimulationResult &planner, const SimulationResult &first,
                const SimulationResult &random) {
  std::printf("\nWait of a task until its assignment, seconds: mean / p99\n");
  std::printf("%-22s %8s %22s %22s %22s\n", "kind", "starts", "planner", "first fit", "random");
  for (const auto &[kind, waits] : planner.waits) {
    std::printf("%-22s %8zu", kind.c_str(), waits.size());
    for (const SimulationResult *result : {&planner, &first, &random}) {
      const auto found = result->waits.find(kind);
      const std::vector<double> values =
          found == result->waits.end() ? std::vector<double>() : found->second;
      std::printf("   %9.1f /%9.1f", mean(values), quantile(values, 0.99));
    }
    std::printf("\n");
  }
}

void printScale() {
  std::printf("\nCost at three sizes, 15 minutes of the workload scaled with the workers\n");
  std::printf("%8s %10s %14s %10s %10s %10s\n", "workers", "decisions", "us/decision", "p50 us",
              "p99 us", "max us");
  for (const double scale : {0.1, 1.0, 10.0}) {
    WorkloadOptions options;
    options.scale = scale;
    options.length = std::chrono::minutes(15);
    options.measureFrom = std::chrono::minutes(5);
    const Workload workload = makeWorkload(options);
    const SimulationResult result = runPlanner(workload);
    std::printf("%8zu %10zu %14.1f %10.0f %10.0f %10.0f\n", workload.workers.size(),
                result.decisions, 1e6 * result.seconds / static_cast<double>(result.decisions),
                1e6 * quantile(result.callSeconds, 0.5), 1e6 * quantile(result.callSeconds, 0.99),
                1e6 * quantile(result.callSeconds, 1.0));
  }
}

} // namespace

int main() {
  const Workload workload = makeWorkload({});
  const SimulationResult planner = runPlanner(workload);
  const double memory = residentMib();
  const SimulationResult first = runBaseline(workload, Fit::First);
  const SimulationResult random = runBaseline(workload, Fit::Random);

  std::printf(
      "%zu workers, %zu jobs, %.1f h measured\n\n", workload.workers.size(), workload.jobs.size(),
      std::chrono::duration<double, std::ratio<3600>>(workload.end - workload.measureFrom).count());
  std::printf("%-10s %9s %9s %8s %8s %8s %9s %8s %7s %12s %8s\n", "", "mean wait", "unstarted",
              "alloc.", "useful", "useful", "stranded", "running", "preemp-", "lost by it",
              "failed");
  std::printf("%-10s %9s %9s %8s %8s %8s %9s %8s %7s %12s %8s\n", "", "s", "tasks", "cores",
              "cores", "accel.", "accel.", "tasks", "tions", "core-seconds", "runs");
  printSummary("planner", planner);
  printSummary("first fit", first);
  printSummary("random", random);
  printWaits(planner, first, random);

  const double rate = static_cast<double>(planner.decisions) / planner.seconds;
  const double p50 = 1e6 * quantile(planner.callSeconds, 0.5);
  const double p99 = 1e6 * quantile(planner.callSeconds, 0.99);
  const double max = 1e6 * quantile(planner.callSeconds, 1.0);
  const double urgent = 1e3 * quantile(planner.urgentStarts, 0.99);
  std::printf("\n%zu decisions, %.0f a second in the planner; highest rate of starts %zu/s\n",
              planner.decisions, rate, planner.maxStartsInASecond);
  std::printf("A call of plan that decides: p50 %.0f us, p99 %.0f us, max %.0f us\n", p50, p99,
              max);
  std::printf("Urgent tasks, acceptance to confirmed start: %zu, p50 %.0f ms, p99 %.0f ms\n",
              planner.urgentStarts.size(), 1e3 * quantile(planner.urgentStarts, 0.5), urgent);
  std::printf("Those that were never limited by the quota of their own team: %zu, p99 %.0f ms\n",
              planner.urgentStartsInQuota.size(),
              1e3 * quantile(planner.urgentStartsInQuota, 0.99));
  std::printf("Resident memory %.1f MiB with the simulation of the cell\n", memory);
  printScale();

  const auto packing = [&planner](const SimulationResult &other) {
    return planner.usefulShare / other.usefulShare;
  };
  const auto waiting = [&planner](const SimulationResult &other) {
    return mean(planner.allWaits) / mean(other.allWaits);
  };
  std::printf("{\"decisions_per_second\":%.0f,\"p50_us\":%.0f,\"p99_us\":%.0f,\"max_us\":%.0f,"
              "\"urgent_p99_ms\":%.0f,\"packing_vs_first_fit\":%.4f,\"waiting_vs_first_fit\":%.4f,"
              "\"packing_vs_random\":%.4f,\"waiting_vs_random\":%.4f,\"bytes_per_start\":null,"
              "\"rss_mb\":%.1f}\n",
              rate, p50, p99, max, urgent, packing(first), waiting(first), packing(random),
              waiting(random), memory);
  return 0;
}
