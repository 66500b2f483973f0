// Baselines of the placement benchmark: first fit and random fit.
#pragma once

#include "banyanrill/placement/Planner.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanrill::bench {

enum class Fit : std::uint8_t { First, Random };

/// Serves jobs by priority and arrival and places each task on the first worker that fits, from
/// the first or from a random worker on. Gangs are placed whole. No preemption, quotas,
/// reservations or worker health; a failed task returns to the queue at once. Same interface as
/// the planner. Not thread-safe.
class Baseline {
public:
  Baseline(Fit rule, base::RandomSource source) : fit(rule), random(source) {}

  void updateWorker(const placement::WorkerView &worker);
  void setQuota(const std::string &team, const base::Resources &quota);
  void putJob(const placement::JobSpec &spec, base::TimePoint now);
  void onTaskEvent(const placement::TaskEvent &event, base::TimePoint now);
  std::vector<placement::Action> plan(base::TimePoint now);

private:
  struct Task {
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    std::size_t worker = 0;
    bool active = false;
  };
  struct Job {
    placement::JobSpec spec;
    std::vector<Task> tasks;
    std::set<std::uint32_t> waiting;
    std::size_t active = 0;
    std::size_t succeeded = 0;
    bool failed = false;
  };
  using Order = std::pair<std::int32_t, std::uint64_t>;

  std::size_t findWorker(const base::Resources &demand);
  void requeue(const Order &order, Job &job);

  Fit fit;
  base::RandomSource random;
  std::vector<placement::WorkerView> workers;
  std::vector<base::Resources> free;
  std::map<Order, Job> jobs;
  std::map<Order, Job *> queue;
  std::unordered_map<std::string, Order> numbers;
  std::uint64_t next = 0;
};

} // namespace banyanrill::bench
