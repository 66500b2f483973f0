// Seeded workload at the target size; bench/workload-placement.md describes it.
#pragma once

#include "banyanrill/placement/Planner.h"

#include <set>
#include <string>
#include <vector>

namespace banyanrill::bench {

struct WorkloadOptions {
  std::uint64_t seed = 20261204;
  double scale = 1.0; ///< 1.0 is 610 workers.
  base::Duration length = std::chrono::hours(3);
  base::Duration measureFrom = std::chrono::minutes(20);
};

struct BenchJob {
  placement::JobSpec spec;
  base::TimePoint arrival;
  std::vector<base::Duration> runTimes; ///< Actual, by task.
  bool failing = false;
};

struct Workload {
  std::vector<placement::WorkerView> workers;
  std::vector<std::pair<std::string, base::Resources>> quotas;
  std::vector<BenchJob> jobs; ///< By arrival.
  std::set<std::string> failingWorkers;
  base::TimePoint begin;
  base::TimePoint measureFrom;
  base::TimePoint end;
};

inline constexpr std::int32_t UrgentPriority = 8;

Workload makeWorkload(const WorkloadOptions &options);

} // namespace banyanrill::bench
