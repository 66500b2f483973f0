// Decides on which worker each task of services, batch runs and gangs runs.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Resources.h"
#include "banyanrill/base/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace banyanrill::placement {

enum class JobKind : std::uint8_t { Service, Batch, Gang };

struct JobSpec {
  base::JobId id;
  JobKind kind = JobKind::Batch;
  std::string team;
  std::int32_t count = 1;
  base::Resources demand; ///< Of each task.
  std::int32_t priority = 0;
  std::vector<std::string> dataCentres; ///< Empty: any.
  std::int32_t maxAttempts = 3;         ///< For each task; services have no limit.
  base::Duration runTime{0};            ///< Declared; zero if unknown.
  base::Duration deadline{0};           ///< From acceptance; zero if none.
  bool preemptible = true;
  bool checkpointable = false;

  bool operator==(const JobSpec &) const = default;
};

/// A worker as reported by its owner.
struct WorkerView {
  base::WorkerId id;
  std::string region;
  std::string dataCentre;
  std::string rack;
  base::Resources capacity;
  base::Resources requestLoad; ///< Taken by callers' requests, reported with a lag.
  bool available = true; ///< Has an owner that is in contact with the leader and is not draining.

  bool operator==(const WorkerView &) const = default;
};

enum class TaskPhase : std::uint8_t { Pending, Assigned, Running, Stopping, Succeeded, Failed };

/// One task as recorded in the control state; the planner is rebuilt from these.
struct TaskRecord {
  base::TaskId id;
  std::uint32_t attempt = 0;
  TaskPhase phase = TaskPhase::Pending;
  base::WorkerId worker; ///< Empty unless Assigned, Running or Stopping.

  bool operator==(const TaskRecord &) const = default;
};

enum class TaskEventKind : std::uint8_t {
  Started,
  Succeeded,
  Failed,
  Stopped, ///< Confirmed by the worker after a stop.
  Refused, ///< The owner did not start it: no capacity.
  Lost,    ///< The task lease on the worker has ended for certain.
};

struct TaskEvent {
  base::TaskId task;
  std::uint32_t attempt = 0;
  TaskEventKind kind = TaskEventKind::Started;

  bool operator==(const TaskEvent &) const = default;
};

/// Start the task on the worker. The attempt is new for this task.
struct AssignTask {
  base::TaskId task;
  std::uint32_t attempt = 0;
  base::WorkerId worker;

  bool operator==(const AssignTask &) const = default;
};

/// Stop the task: preemption, cancellation or scale-down.
struct StopTask {
  base::TaskId task;
  std::uint32_t attempt = 0;
  base::WorkerId worker;
  bool checkpoint = false;
  std::string reason;

  bool operator==(const StopTask &) const = default;
};

/// The job has ended; nothing of it runs.
struct EndJob {
  base::JobId job;
  bool succeeded = false;
  std::string reason;

  bool operator==(const EndJob &) const = default;
};

using Action = std::variant<AssignTask, StopTask, EndJob>;

struct PlannerOptions {
  std::size_t maxActionsPerPlan = 512; ///< Bounds the time of one call.
};

/// Pure decision code: no I/O, no clock. Not thread-safe: owned by the leader's core task.
/// An action counts as taken as soon as `plan` returns it.
class Planner {
public:
  Planner(PlannerOptions options, base::RandomSource random);
  ~Planner();
  Planner(Planner &&) noexcept;
  Planner &operator=(Planner &&) noexcept;

  void updateWorker(const WorkerView &worker);
  void removeWorker(const base::WorkerId &worker);

  /// Resources that a team may use at once before it borrows. No quota: unlimited.
  void setQuota(const std::string &team, const base::Resources &quota);
  void clearQuota(const std::string &team);

  /// Whether the job could ever run with the workers known. Error: Infeasible, naming the resource
  /// or constraint. Changes nothing.
  base::Status checkFeasible(const JobSpec &spec) const;

  /// Adds a job, or changes the count, priority or demand of one that is known; kind and team do
  /// not change. `now` is the time of acceptance, from which the deadline and the wait count: after
  /// a change of leader pass the present reading less the recorded age. A job that is ending is
  /// started again after its `EndJob`. A task keeps the demand with which it was assigned.
  void putJob(const JobSpec &spec, base::TimePoint now);

  /// Cancels a job: its tasks are stopped; `EndJob` follows when none is left.
  void cancelJob(const base::JobId &job, base::TimePoint now);

  /// Restores a task from the control state after a change of leader. Call after `putJob`, and
  /// before `cancelJob` of a job that is being cancelled. A task of an unknown job is ignored.
  /// A stop that is recorded is sent again.
  void restoreTask(const TaskRecord &record, base::TimePoint now);

  /// Reports what became of an attempt. Events of an older attempt are ignored.
  void onTaskEvent(const TaskEvent &event, base::TimePoint now);

  /// Returns the next actions, at most `maxActionsPerPlan`.
  std::vector<Action> plan(base::TimePoint now);

  /// Why the job is waiting, in words and numbers, for operators; empty if it is unknown.
  std::string explain(const base::JobId &job, base::TimePoint now) const;

  std::size_t waitingTasks() const;
  std::size_t runningTasks() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::placement
