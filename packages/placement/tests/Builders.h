// Short ways to describe workers and jobs in tests.
#pragma once

#include "banyanrill/placement/Planner.h"

#include <string>
#include <vector>

namespace banyanrill::placement {

inline base::TimePoint at(double seconds) {
  return base::TimePoint(base::Duration(static_cast<std::int64_t>((1000 + seconds) * 1e6)));
}

inline WorkerView makeWorker(const std::string &id, base::Resources capacity = {8000, 16384, 0},
                             const std::string &dataCentre = "a", const std::string &rack = "r") {
  return {{id}, "region", dataCentre, rack, capacity, {}, true};
}

inline JobSpec makeJob(const std::string &id, JobKind kind, std::int32_t count,
                       base::Resources demand = {1000, 1024, 0}) {
  JobSpec spec;
  spec.id = {id};
  spec.kind = kind;
  spec.team = "team";
  spec.count = count;
  spec.demand = demand;
  spec.runTime = std::chrono::seconds(60);
  return spec;
}

inline Planner makePlanner() { return Planner({}, base::RandomSource(1)); }

template <typename T> std::vector<T> only(const std::vector<Action> &actions) {
  std::vector<T> found;
  for (const Action &action : actions) {
    if (const T *one = std::get_if<T>(&action))
      found.push_back(*one);
  }
  return found;
}

inline void report(Planner &planner, const AssignTask &task, TaskEventKind kind, double seconds) {
  planner.onTaskEvent({task.task, task.attempt, kind}, at(seconds));
}

} // namespace banyanrill::placement
