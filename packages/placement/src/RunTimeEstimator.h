// Corrects declared run times by observed ones, for the queue order and backfill.
#pragma once

#include "Model.h"

namespace banyanrill::placement {

/// Not thread-safe. Memory is bounded: teams beyond the limit share one record.
class RunTimeEstimator {
public:
  void observe(Job &job, base::Duration actual);

  /// Returns the expected run time of a task of the job. A year for services, which do not end.
  base::Duration expected(const Job &job) const;

  /// Returns the expected time until the task ends. A task that exceeded its estimate is expected
  /// to run for half of its run time so far.
  base::Duration remaining(const Job &job, const Task &task, base::TimePoint now) const;

private:
  struct History {
    double ratio = 1.0; ///< Observed over declared, moving average.
    double seconds = 0; ///< Observed, moving average; zero if none.
    int samples = 0;
  };
  const History *historyOf(const std::string &team) const;

  std::unordered_map<std::string, History> byTeam;
};

} // namespace banyanrill::placement
