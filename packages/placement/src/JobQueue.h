// Queue order of waiting jobs.
#pragma once

#include "Model.h"

#include <map>

namespace banyanrill::placement {

// Waiting this long raises a job by one priority level. Work that is `n` levels higher therefore
// overtakes a job only during the first (n + 1) * AgingStep of its wait; the extra step is the most
// that a long run time can delay it. With 60 s, ten priority levels are overcome within minutes,
// and the step is far above the 3.6 s in which urgent work must start.
inline constexpr base::Duration AgingStep = std::chrono::seconds(60);

/// Jobs with tasks that can be placed, ordered by virtual time: the start of the wait, minus one
/// AgingStep per priority level, plus the expected run time up to one AgingStep (short work first
/// reduces the mean wait). The order of two waiting jobs does not change over time, so the queue is
/// never re-sorted. Not thread-safe.
class JobQueue {
public:
  /// Adds the job, or updates its position after a change. `expected` is the expected run time of a
  /// task.
  void put(Job &job, base::Duration expected);
  void remove(Job &job);
  std::size_t size() const { return this->jobs.size(); }

  /// Returns at most `limit` jobs to try in this round. If the queue is longer, half are taken from
  /// the head and the rest round-robin from the others, so that a small job is still tried behind
  /// many blocked ones.
  std::vector<Job *> window(std::size_t limit);

private:
  using Key = std::pair<base::TimePoint, std::uint64_t>;
  std::map<Key, Job *> jobs;
  Key cursor{};
};

} // namespace banyanrill::placement
