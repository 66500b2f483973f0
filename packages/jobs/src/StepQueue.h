// Steps with tasks to place, ordered by how soon the most urgent of them must start.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/ShareLedger.h"
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
  base::TimePoint due;                ///< When the job, or its occurrence, came.
  base::TimePoint latestStart;        ///< After this the job misses its aim.
  base::TimePoint latestUsefulStart;  ///< After this its end is worth nothing any more.
  std::vector<std::uint32_t> waiting; ///< Indices of the tasks that are not placed.
  WorkspaceNumber workspace = 0;

  /// 0: can still meet its aim; 1: late; 2: worth nothing any more. Durations of the most urgent
  /// queue's short tasks are known too roughly to call one late, and it costs little to start.
  std::uint32_t tierAt(base::TimePoint now) const {
    const bool isLate = now > this->latestStart && this->job->queue.priority > 0;
    const bool isWorthless = now > this->latestUsefulStart;
    return isWorthless ? 2U : isLate ? 1U : 0U;
  }
};

/// Not thread-safe. Pointers in its results are valid until the table changes.
class StepQueue {
public:
  /// Precondition: both outlive the queue.
  StepQueue(const Table &jobTable, ShareLedger &shareLedger)
      : table(jobTable), ledger(shareLedger) {}

  /// Looks at a job again after it changed.
  void refresh(const std::string &job, base::TimePoint now, std::int64_t wallClockMs);

  /// Open steps, the most urgent first.
  std::vector<const OpenStep *> ordered(base::TimePoint now) const;

  /// All open steps, in the order of their keys.
  const std::map<StepKey, OpenStep> &all() const { return this->steps; }

  std::size_t size() const { return this->steps.size(); }

  /// The active jobs.
  std::vector<std::string> jobs() const;

private:
  OpenStep describe(const StepKey &key, const Job &job, std::vector<std::uint32_t> waiting) const;

  /// How much longer the steps from this one on take because their workspace may not run all tasks
  /// of a step at once.
  base::Duration timeOfFurtherRounds(const OpenStep &open, const Job &job) const;

  const Table &table;
  ShareLedger &ledger;
  std::map<StepKey, OpenStep> steps;
  std::map<std::string, base::TimePoint> acceptedAt; ///< On this machine's steady clock.
};

/// Milliseconds of the longest chain of steps that begins with `step`.
std::int64_t criticalPathFrom(const JobSpec &spec, std::uint32_t step);

/// Milliseconds of the longest chain of a job.
std::int64_t criticalPathMs(const JobSpec &spec);

/// Milliseconds from its acceptance in which a job should end.
std::int64_t targetDurationMs(const JobSpec &spec, const Queue &queue);

} // namespace banyanrill::jobs
