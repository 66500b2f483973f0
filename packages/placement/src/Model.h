// The planner's internal jobs and tasks.
#pragma once

#include "banyanrill/placement/Planner.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace banyanrill::placement {

struct Team;
struct Job;

inline constexpr std::uint32_t NoWorker = std::numeric_limits<std::uint32_t>::max();

struct TaskRef {
  Job *job = nullptr;
  std::uint32_t index = 0;

  bool operator==(const TaskRef &) const = default;
  bool operator<(const TaskRef &other) const;
};

struct Task {
  std::uint32_t attempt = 0;
  std::uint32_t worker = NoWorker; ///< Slot in the worker index while the task holds capacity.
  std::uint32_t failures = 0;
  std::uint32_t preemptions = 0;
  std::uint32_t lastFailedWorker = NoWorker;
  std::uint32_t zone = 0; ///< Number of the worker's data centre at assignment.
  std::uint32_t rack = 0; ///< Number of the worker's rack at assignment.
  TaskPhase phase = TaskPhase::Pending;
  bool delayed = false;  ///< Waits for its retry time.
  base::TimePoint since; ///< Start of the run; time of assignment until the run is confirmed.
  base::Resources held;  ///< The job's demand at assignment, which may change later.

  bool isActive() const {
    return this->phase == TaskPhase::Assigned || this->phase == TaskPhase::Running ||
           this->phase == TaskPhase::Stopping;
  }
};

struct Job {
  JobSpec spec;
  std::uint64_t serial = 0;
  Team *team = nullptr;
  base::TimePoint acceptedAt;
  base::TimePoint waitingSince; ///< Last assignment, acceptance, or when a task became ready.
  base::TimePoint notBefore;    ///< End of the backoff after failures on several workers.
  base::TimePoint nextPreemption;
  std::vector<Task> tasks;       ///< Never shrinks, so that a scale-up reuses no attempt number.
  std::set<std::uint32_t> ready; ///< Tasks that can be placed now.
  std::uint32_t delayed = 0;
  std::uint32_t active = 0;
  std::uint32_t succeeded = 0;  ///< Among the first `spec.count` tasks.
  std::uint32_t claimCount = 0; ///< Tasks of this job for which preemption is freeing capacity.
  std::uint32_t backoffLevel = 0;
  std::unordered_set<std::string> failedWorkers; ///< Since the last success; bounded.
  /// Failures by worker slot since the last success there; bounded.
  std::unordered_map<std::uint32_t, std::uint32_t> failuresByWorker;
  std::unordered_map<std::uint32_t, std::uint32_t> tasksPerRack;
  std::unordered_map<std::uint32_t, std::uint32_t> tasksPerZone;
  base::Duration observedRunTime{0}; ///< Moving average of successful runs; zero if none.
  base::TimePoint queueKey;
  /// Capacity version at which the job last did not fit; it is not tried again before
  /// `blockedUntil` unless that version has changed.
  std::uint64_t blockedVersion = 0;
  base::TimePoint blockedUntil;
  bool blockedBorrowing = false;
  bool queued = false;
  bool ending = false;
  bool endSucceeded = false;
  bool endQueued = false;
  std::string endReason;
  std::optional<JobSpec> replacementSpec; ///< From `putJob` while the job was ending.

  std::uint32_t targetCount() const { return static_cast<std::uint32_t>(this->spec.count); }
  bool isGang() const { return this->spec.kind == JobKind::Gang; }
  bool isService() const { return this->spec.kind == JobKind::Service; }
};

/// Compares by serial, not by address, so that a run can be replayed from its seed.
inline bool TaskRef::operator<(const TaskRef &other) const {
  return this->job->serial != other.job->serial ? this->job->serial < other.job->serial
                                                : this->index < other.index;
}

} // namespace banyanrill::placement
