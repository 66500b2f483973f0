// Processor time of the leader's decisions: a simulated cell with the large deployment's mix of
// jobs, advisory calls included. Each argument is a number of workers; prints one line of JSON for
// each.
#include "FleetLoad.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr int WarmUpMs = 3000;
constexpr int MeasuredMs = 10000;
constexpr std::uint64_t Seed = 1;

void measure(std::size_t workers, double load) {
  FakeCell cell(fleetOptions(Seed, workers));
  cell.run(WarmUpMs);
  const std::chrono::nanoseconds spentBefore = cell.dispatcherTime();
  FleetLoad fleet(cell, Seed);
  fleet.setFactor(load * static_cast<double>(workers) / static_cast<double>(ReferenceWorkers));
  fleet.run(MeasuredMs);
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
    measure(ReferenceWorkers, UsualLoad);
    return 0;
  }
  for (int index = 1; index < argc; ++index) {
    const auto workers = static_cast<std::size_t>(std::max(std::atoi(argv[index]), 1));
    measure(workers, UsualLoad);
    measure(workers, Overload);
  }
  return 0;
}
