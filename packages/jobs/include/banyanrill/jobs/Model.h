// Jobs, queues and workers: plain values shared by the replicated table, the
// dispatcher and the messages between daemons.
#pragma once

#include "banyanrill/base/Resources.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::jobs {

/// A group of identical tasks of a job. All tasks of the steps in `after` must succeed first.
struct Step {
  std::uint32_t count = 0;
  base::Resources demand; ///< Of one task.
  std::int64_t estimatedMs = 0;
  std::vector<std::uint32_t> after;
  bool checkpointing = false;
  bool gang = false;              ///< All tasks start with one run number and succeed together.
  bool sameRack = false;          ///< Tasks are slower on more than one rack.
  std::string requiredLabel;      ///< Empty: any worker.
  std::string dataRack;           ///< Tasks are slower on other racks; empty: anywhere.
  std::uint32_t maxPerWorker = 0; ///< Tasks of one occurrence on one worker; 0: any number.
  bool speculative = false;       ///< Copies may run in parallel.
  bool longRunning = false;       ///< Runs until the job is cancelled; restarted however it ends.
  std::string image;              ///< Tasks of one image behave alike.
  std::int64_t responseTargetMs = 0; ///< Limit for the tail latency of the task's responses.
  bool bestEffortCpu = false;        ///< Uses only idle processors; they are not counted.
  std::uint32_t maxUnavailable = 0;

  bool operator==(const Step &) const = default;
};

/// A job as submitted. Times are milliseconds since 1970.
struct JobSpec {
  std::string id;
  std::string taskSpec;
  std::vector<Step> steps;
  std::uint32_t repeatCount = 0; ///< 0: the steps run once, at once.
  std::int64_t firstStartMs = 0;
  std::int64_t intervalMs = 0;

  bool operator==(const JobSpec &) const = default;
};

/// How often the steps run. Pure and thread-safe.
inline std::uint32_t occurrencesOf(const JobSpec &spec) {
  return spec.repeatCount == 0 ? 1 : spec.repeatCount;
}

/// Duration of a call to the advisory service, and of the tickets that it gives.
struct AdvicePolicy {
  double baseMs = 0;
  double perWorkerMs = 0;
  std::int64_t ticketLifeMs = 0;

  bool operator==(const AdvicePolicy &) const = default;
};

/// A queue of jobs, chosen by host and the longest matching prefix of the path.
struct Queue {
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::string service; ///< Its workers run the tasks.
  std::int64_t timeoutMs = 0;
  std::uint32_t priority = 0; ///< 0 comes first.
  std::uint32_t maxAttempts = 1;
  double stretch = 0; ///< Target duration of a job: stretch * critical path + `latencyMs`.
  std::int64_t latencyMs = 0;
  std::optional<AdvicePolicy> advice; ///< Set: only advised workers may run a task.
  bool isPublic = false;              ///< Requests need no key.

  bool operator==(const Queue &) const = default;
};

/// A group of callers with a quota; the name identifies it, its keys its callers.
struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  double weight = 0;     ///< Share of the room when all of it is in use, relative to the others.
  base::Resources limit; ///< Of what runs at the same time; 0: no limit on that resource.

  bool operator==(const Workspace &) const = default;
};

/// One version of the operators' configuration; `document` is what was sent, for reading back.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<std::string> services;
  std::optional<std::vector<Workspace>> workspaces; ///< Unset: callers need no keys.
  std::string document;

  bool operator==(const Configuration &) const = default;
};

struct TaskKey {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskKey &) const = default;
  bool operator==(const TaskKey &) const = default;
};

/// One step of one occurrence of a job.
struct StepKey {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepKey &) const = default;
  bool operator==(const StepKey &) const = default;
};

/// A start of a task. Runs of a task are numbered from 1.
struct RunKey {
  TaskKey task;
  std::uint32_t run = 0;

  auto operator<=>(const RunKey &) const = default;
  bool operator==(const RunKey &) const = default;
};

enum class EndKind : std::uint8_t {
  Succeeded,
  Failed,       ///< Through a fault of the task or the worker; counts as an attempt.
  Stopped,      ///< On an order.
  LeaseExpired, ///< The worker's lease ended.
  GangBroken,   ///< Another member of the gang ended.
  GangTimedOut, ///< The other members did not start in time.
};

/// A task end that a worker reports; numbers rise from 1 in each incarnation of a worker.
struct TaskEnd {
  std::uint64_t number = 0;
  RunKey run;
  EndKind kind = EndKind::Stopped;
  std::string checkpoint;

  bool operator==(const TaskEnd &) const = default;
};

/// One incarnation of a worker: an identifier can be reused, but not with the same `startTimeMs`.
struct WorkerIncarnation {
  std::string id;
  std::int64_t startTimeMs = 0;

  auto operator<=>(const WorkerIncarnation &) const = default;
  bool operator==(const WorkerIncarnation &) const = default;
};

/// The properties that a worker reports.
struct WorkerProfile {
  WorkerIncarnation incarnation;
  std::string service;
  std::string address; ///< host:port
  std::string dataCentre;
  std::string machine;
  std::vector<std::string> labels;
  std::string rack;
  base::Resources capacity;
  bool draining = false;

  bool operator==(const WorkerProfile &) const = default;
};

/// A run that occupies a worker until its end is recorded or it is known not to exist.
struct Placement {
  std::uint32_t run = 0;
  std::uint64_t term = 0; ///< Of the leader that placed it.
  bool previousIncarnation =
      false; ///< Placed on an earlier incarnation of the worker with the same identifier.

  bool operator==(const Placement &) const = default;
};

struct Worker {
  WorkerProfile profile;
  std::uint64_t recordedEnds = 0; ///< Highest number of an end that is recorded.
  std::map<TaskKey, Placement> placements;

  bool operator==(const Worker &) const = default;
};

enum class TaskPhase : std::uint8_t { Waiting, Placed, Succeeded };

struct Task {
  TaskPhase phase = TaskPhase::Waiting;
  std::uint32_t lastRun = 0;
  std::uint32_t failures = 0;
  std::string worker;     ///< Of the last run.
  std::string checkpoint; ///< Empty: from the beginning.
  /// Runs that were given up without a recorded end, which a worker may still list. The latest
  /// ones.
  std::vector<std::uint32_t> releasedRuns;

  bool operator==(const Task &) const = default;
};

struct StepProgress {
  std::vector<Task> tasks;
  std::uint32_t succeeded = 0;
  std::uint32_t placements = 0;    ///< Runs that still occupy a worker.
  std::uint32_t lastFailedRun = 0; ///< Gangs: a run fails once, however many members do.

  bool operator==(const StepProgress &) const = default;
};

struct Occurrence {
  std::vector<StepProgress> steps;
  std::uint32_t stepsDone = 0;

  bool operator==(const Occurrence &) const = default;
};

enum class JobPhase : std::uint8_t { Active, Succeeded, Failed, Cancelled };

struct Job {
  JobSpec spec;
  Queue queue; ///< As configured when the job was accepted, and updated by later configurations.
  std::string workspace; ///< Whose key submitted the job; empty: none.
  JobPhase phase = JobPhase::Active;
  bool started = false; ///< A task has been placed.
  std::int64_t acceptedMs = 0;
  std::int64_t endedMs = 0;
  std::uint32_t opened = 0; ///< Occurrences that are or were due.
  std::uint32_t finished = 0;
  std::map<std::uint32_t, Occurrence> occurrences; ///< Open ones.

  bool operator==(const Job &) const = default;
};

/// Maintenance of machines, at most `limit` at the same time.
struct Wave {
  std::uint64_t number = 0;
  std::set<std::string> waiting; ///< Machines whose maintenance has not begun.
  std::int64_t durationMs = 0;
  std::uint32_t limit = 1;
  std::int64_t acceptedMs = 0;

  bool operator==(const Wave &) const = default;
};

/// The address of a member of the consensus group.
struct Member {
  std::uint32_t replica = 0;
  std::string address; ///< host:port of its peer listener.
  std::string region;

  bool operator==(const Member &) const = default;
};

} // namespace banyanrill::jobs
