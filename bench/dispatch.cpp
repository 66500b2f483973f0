// Processor time of the leader's decisions: a simulated cell of 350 workers at the grown
// deployments' rate of jobs, with advice. Prints one line of JSON.
#include "FakeCell.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

int main(int argc, char **argv) {
  CellOptions options;
  options.workers = argc > 1 ? static_cast<std::size_t>(std::atoi(argv[1])) : 350;
  options.advice = true;
  FakeCell cell(options);
  cell.run(3000);
  const double perSecond = 95.0 * static_cast<double>(options.workers) / 350.0;
  constexpr int Seconds = 10;
  const auto begin = std::chrono::steady_clock::now();
  for (int number = 0; number < static_cast<int>(perSecond * Seconds); ++number) {
    const bool wide = number % 20 == 0;
    JobSpec spec = makeJob("j" + std::to_string(number),
                           wide              ? 20
                           : number % 5 == 0 ? 20
                                             : 3,
                           wide ? 4000 : 1200,
                           wide              ? 4000
                           : number % 5 == 0 ? 2200
                                             : 1000);
    spec.steps[0].gang = number % 8 == 0;
    cell.submit(spec);
    cell.run(static_cast<std::int64_t>(1000.0 / perSecond));
  }
  const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
  const std::uint64_t starts = cell.counters().starts;
  std::printf("{\"workers\": %zu, \"simulated_s\": %d, \"core_s\": %.3f, \"starts\": %llu, "
              "\"us_per_start\": %.1f}\n",
              options.workers, Seconds, spent.count(), static_cast<unsigned long long>(starts),
              spent.count() * 1e6 / static_cast<double>(starts));
  return 0;
}
