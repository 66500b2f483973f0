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
  base::Resources requestLoad; ///< Used by callers' requests; the report lags behind.
  bool available = true;       ///< Its owner is in contact with the leader and is not draining.

  bool operator==(const WorkerView &) const = default;
};

enum class TaskPhase : std::uint8_t { Pending, Assigned, Running, Stopping, Succeeded, Failed };

/// One task as recorded in the control state. A new leader rebuilds the planner from these.
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
  Lost,    ///< The task lease on the worker has certainly expired.
};

struct TaskEvent {
  base::TaskId task;
  std::uint32_t attempt = 0;
  TaskEventKind kind = TaskEventKind::Started;

  bool operator==(const TaskEvent &) const = default;
};

/// Start the task on the worker. The attempt number has not been used before for this task.
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

/// The job has ended; none of its tasks runs.
struct EndJob {
  base::JobId job;
  bool succeeded = false;
  std::string reason;

  bool operator==(const EndJob &) const = default;
};

using Action = std::variant<AssignTask, StopTask, EndJob>;

struct PlannerOptions {
  std::size_t maxActionsPerPlan = 512; ///< Bounds the duration of one call.
};

/// Decides without I/O and without reading a clock. Not thread-safe: owned by the leader's core
/// task. The planner treats an action as done as soon as `plan` returns it.
class Planner {
public:
  Planner(PlannerOptions options, base::RandomSource random);
  ~Planner();
  Planner(Planner &&) noexcept;
  Planner &operator=(Planner &&) noexcept;

  void updateWorker(const WorkerView &worker);
  void removeWorker(const base::WorkerId &worker);

  /// Sets the resources that a team may use at once before it borrows. Without a quota: unlimited.
  void setQuota(const std::string &team, const base::Resources &quota);
  void clearQuota(const std::string &team);

  /// Checks whether the job could ever run on the known workers. Error: Infeasible, naming the
  /// resource or constraint. Changes nothing.
  base::Status checkFeasible(const JobSpec &spec) const;

  /// Adds a job, or changes the count, priority or demand of a known one; kind and team do not
  /// change. `now` is the time of acceptance, from which the deadline and the wait are measured:
  /// after a change of leader pass the current time minus the recorded age. A job that is ending is
  /// started again after its `EndJob`. An assigned task keeps the demand of its assignment.
  void putJob(const JobSpec &spec, base::TimePoint now);

  /// Cancels a job: stops its tasks; `EndJob` follows when none is left.
  void cancelJob(const base::JobId &job, base::TimePoint now);

  /// Restores a task from the control state after a change of leader. Call after `putJob`, and
  /// before `cancelJob` of a job that is being cancelled. A task of an unknown job is ignored.
  /// A recorded stop is sent again.
  void restoreTask(const TaskRecord &record, base::TimePoint now);

  /// Reports a change of an attempt. Events of older attempts are ignored.
  void onTaskEvent(const TaskEvent &event, base::TimePoint now);

  /// Returns the next actions, at most `maxActionsPerPlan`.
  std::vector<Action> plan(base::TimePoint now);

  /// Returns for operators why the job is waiting; empty if the job is unknown.
  std::string explain(const base::JobId &job, base::TimePoint now) const;

  /// Tasks of jobs that are not ending: ready to be placed, or delayed until their retry.
  std::size_t waitingTaskCount() const;
  /// Tasks that are assigned, running or stopping.
  std::size_t activeTaskCount() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::placement
