// Order in which waiting jobs are considered.
#pragma once

#include "Model.h"

#include <map>

namespace banyanrill::placement {

// Waiting for this long counts as much as one step of priority. A job is therefore overtaken by
// work of `n` higher priorities only for the first (n + 1) * AgingStep of its wait; the extra step
// is the most that a long run time may set it back. 60 s keeps ten steps of priority within
// minutes, and is far above the 3.6 s in which urgent work must start.
inline constexpr base::Duration AgingStep = std::chrono::seconds(60);

/// Jobs with tasks that can be placed, first the one with the earliest virtual time: the start of
/// its wait, less AgingStep per priority, plus its expected run time up to one AgingStep (short
/// work first shortens the mean wait). The order of two waiting jobs never changes with time, so
/// nothing is sorted again. Not thread-safe.
class JobQueue {
public:
  /// Adds the job, or moves it after a change. `expected` is the expected run time of a task.
  void put(Job &job, base::Duration expected);
  void remove(Job &job);
  std::size_t size() const { return this->jobs.size(); }

  /// At most `limit` jobs to look at in this round: the first half of them from the head, the
  /// rest in turn, so that a long queue of blocked jobs does not hide a small one behind it.
  std::vector<Job *> window(std::size_t limit);

private:
  using Key = std::pair<base::TimePoint, std::uint64_t>;
  std::map<Key, Job *> jobs;
  Key cursor{};
};

} // namespace banyanrill::placement
