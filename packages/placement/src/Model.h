// Jobs and tasks as the planner keeps them, shared by its parts.
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
  std::uint32_t zone = 0; ///< Of the worker at assignment.
  std::uint32_t rack = 0;
  TaskPhase phase = TaskPhase::Pending;
  bool delayed = false;  ///< Waits for its retry time.
  base::TimePoint since; ///< Start of the run, or of the assignment before the run is confirmed.
  base::Resources held;  ///< Taken at assignment; the job's demand may change later.

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
  base::TimePoint waitingSince; ///< Last start of a task, or acceptance.
  base::TimePoint notBefore;    ///< Backoff of a job that fails on several workers.
  base::TimePoint nextPreemption;
  std::vector<Task> tasks;       ///< Never shrinks, so that attempts stay new after a scale-up.
  std::set<std::uint32_t> ready; ///< Tasks that can be placed now.
  std::uint32_t delayed = 0;
  std::uint32_t active = 0;
  std::uint32_t succeeded = 0; ///< Among the first `spec.count` tasks.
  std::uint32_t claims = 0;    ///< Capacity being vacated for this job by preemption.
  std::uint32_t backoffLevel = 0;
  std::unordered_set<std::string> failedWorkers; ///< Since the last success; bounded.
  /// Failures by worker slot since the last success there; bounded.
  std::unordered_map<std::uint32_t, std::uint32_t> failuresOn;
  std::unordered_map<std::uint32_t, std::uint32_t> perRack;
  std::unordered_map<std::uint32_t, std::uint32_t> perZone;
  base::Duration observedRunTime{0}; ///< Moving average of successful runs; zero if none.
  base::TimePoint queueKey;
  /// Capacity version at which it last did not fit, and until when it need not be tried again.
  std::uint64_t blockedVersion = 0;
  base::TimePoint blockedUntil;
  bool blockedBorrowing = false;
  bool queued = false;
  bool ending = false;
  bool endSucceeded = false;
  bool endQueued = false;
  std::string endReason;
  std::optional<JobSpec> successor; ///< Put again while the job was ending.

  std::uint32_t wanted() const { return static_cast<std::uint32_t>(this->spec.count); }
  bool isGang() const { return this->spec.kind == JobKind::Gang; }
  bool isService() const { return this->spec.kind == JobKind::Service; }
};

/// By number, not by address, so that a run can be replayed from its seed.
inline bool TaskRef::operator<(const TaskRef &other) const {
  return this->job->serial != other.job->serial ? this->job->serial < other.job->serial
                                                : this->index < other.index;
}

} // namespace banyanrill::placement
