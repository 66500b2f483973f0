// Steps with tasks to place, ordered by how soon the most urgent of them must start.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/Table.h"

#include <map>
#include <vector>

namespace banyanrill::jobs {

/// A step that may be placed now.
struct OpenStep {
  StepKey key;
  const Job *job = nullptr;
  const Step *step = nullptr;
  const StepProgress *progress = nullptr;
  base::TimePoint latestStart; ///< After this the job misses its aim.
  std::uint32_t tier = 0;      ///< 0: can still meet its aim; 1: late; 2: worth nothing any more.
};

/// Not thread-safe. Pointers in its results are valid until the table changes.
class StepQueue {
public:
  explicit StepQueue(const Table &jobTable) : table(jobTable) {}

  /// Looks at a job again after it changed.
  void refresh(const std::string &job, base::TimePoint now, std::int64_t wallClockMs);

  /// Open steps, the most urgent first.
  std::vector<OpenStep> ordered(base::TimePoint now) const;

  const std::set<StepKey> &open() const { return this->steps; }

private:
  OpenStep describe(const StepKey &key, const Job &job, base::TimePoint now) const;

  const Table &table;
  std::set<StepKey> steps;
  std::map<std::string, base::TimePoint> acceptedAt; ///< On this machine's steady clock.
};

/// Milliseconds of the longest chain of steps that begins with `step`.
std::int64_t chainFrom(const JobSpec &spec, std::uint32_t step);

/// Milliseconds of the longest chain of a job.
std::int64_t longestChain(const JobSpec &spec);

} // namespace banyanrill::jobs
