// Corrects declared run times by observed ones; backfill relies on the result.
#pragma once

#include "Model.h"

namespace banyanrill::placement {

/// Not thread-safe. Bounded: a team beyond the limit shares one record.
class RunTimeEstimator {
public:
  void observe(Job &job, base::Duration actual);

  /// Expected run time of a task of the job. Long for services, which have no end.
  base::Duration expected(const Job &job) const;

  /// Expected time until the task ends; a task that overran its estimate is given as much again
  /// as half of what it has run.
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
