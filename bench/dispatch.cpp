// Processor time of the leader's decisions: a simulated cell with the large deployment's mix of
// jobs, advisory calls included. Each argument is a number of workers, or of workers and workspaces
// as in 1100/330; prints one line of JSON for each load. With `racks` as the only argument: what
// policies of waiting for the data's rack give.
#include "FleetLoad.h"
#include "RackLoad.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

constexpr int WarmUpMs = 3000;
constexpr int MeasuredMs = 10000;
constexpr std::uint64_t Seed = 1;

CellOptions optionsOf(std::size_t workers, std::size_t workspaces) {
  CellOptions options = fleetOptions(Seed, workers);
  if (workspaces > 0)
    options.workspaces.emplace();
  // Limits of the whole capacity: each is checked, and the work is the same for every number.
  const base::Resources limit = FleetCapacity * static_cast<std::int64_t>(workers);
  for (std::size_t number = 0; number < workspaces; ++number)
    options.workspaces->push_back({"workspace" + std::to_string(number),
                                   {"key" + std::to_string(number)},
                                   1 + static_cast<double>(number % 7),
                                   limit});
  return options;
}

void measure(std::size_t workers, std::size_t workspaces, double load) {
  FakeCell cell(optionsOf(workers, workspaces));
  cell.run(WarmUpMs);
  const std::chrono::nanoseconds spentBefore = cell.dispatcherTime();
  FleetLoad fleet(cell, Seed, workspaces);
  fleet.setFactor(load * static_cast<double>(workers) / static_cast<double>(ReferenceWorkers));
  fleet.run(MeasuredMs);
  const std::chrono::duration<double> spent = cell.dispatcherTime() - spentBefore;
  const DispatcherCounters counters = cell.counters();
  std::printf("{\"workers\": %zu, \"workspaces\": %zu, \"load\": %.2f, \"simulated_s\": %d, "
              "\"core_s\": %.3f, "
              "\"starts\": %llu, \"renewals\": %llu, \"advice_calls\": %llu, \"open_steps\": %zu, "
              "\"us_per_start\": %.1f}\n",
              workers, workspaces, load, MeasuredMs / 1000, spent.count(),
              static_cast<unsigned long long>(counters.starts),
              static_cast<unsigned long long>(counters.renewals),
              static_cast<unsigned long long>(counters.adviceCalls), counters.openSteps,
              spent.count() * 1e6 / static_cast<double>(counters.starts));
  std::fflush(stdout);
}

void compareWaits(const RackLoadOptions &load) {
  constexpr std::uint64_t Seeds = 3;
  struct Policy {
    const char *name;
    HoldPolicy holds;
  };
  using std::chrono::milliseconds;
  const Policy policies[] = {{"no wait", neverWait()},
                             {"0.3 s", waitAtMost(milliseconds(300))},
                             {"1 s", waitAtMost(milliseconds(1000))},
                             {"1.5 s", waitAtMost(milliseconds(1500))},
                             {"decision", decideByForecast()}};
  for (const Policy &policy : policies) {
    double meanMs = 0;
    double late = 0;
    double near = 0;
    std::int64_t longestMs = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
      RackLoadOptions options = load;
      options.seed = seed;
      const RackLoadResult result = runRackLoad(options, policy.holds);
      meanMs += result.meanMs / Seeds;
      late += result.lateShare() / Seeds;
      near += result.nearShare / Seeds;
      longestMs = std::max(longestMs, result.longestWaitMs);
    }
    std::printf("{\"penalty\": %.1f, \"utilization\": %.2f, \"busy_racks\": %zu, "
                "\"busy_factor\": %.0f, \"policy\": \"%s\", \"mean_ms\": %.0f, "
                "\"late_share\": %.3f, \"near_share\": %.2f, \"longest_wait_ms\": %lld}\n",
                load.remotePenalty, load.utilization, load.busyRacks, load.busyFactor, policy.name,
                meanMs, late, near, static_cast<long long>(longestMs));
    std::fflush(stdout);
  }
}

void compareWaits() {
  for (const RackLoadOptions &load :
       {RackLoadOptions{1, 1.5, 0.7, 6, 2}, RackLoadOptions{1, 1.5, 0.85, 6, 4},
        RackLoadOptions{1, 1.5, 0.6, 4, 5}, RackLoadOptions{1, 1.5, 0.6, 2, 8},
        RackLoadOptions{1, 2, 0.5, 2, 8}, RackLoadOptions{1, 3, 0.4, 2, 8}})
    compareWaits(load);
}

} // namespace

int main(int argc, char **argv) {
  constexpr double UsualLoad = 1;
  constexpr double Overload = 1.5;
  if (argc == 2 && std::string_view(argv[1]) == "racks") {
    compareWaits();
    return 0;
  }
  if (argc < 2) {
    measure(ReferenceWorkers, 0, UsualLoad);
    return 0;
  }
  for (int index = 1; index < argc; ++index) {
    const auto workers = static_cast<std::size_t>(std::max(std::atoi(argv[index]), 1));
    const std::string_view argument = argv[index];
    const std::size_t slash = argument.find('/');
    const std::size_t workspaces =
        slash == std::string_view::npos
            ? 0
            : static_cast<std::size_t>(std::max(std::atoi(argv[index] + slash + 1), 0));
    measure(workers, workspaces, UsualLoad);
    measure(workers, workspaces, Overload);
  }
  return 0;
}
