// Commands of the replicated log that change the job table.
#pragma once

#include "banyanrill/jobs/Model.h"

#include <variant>

namespace banyanrill::jobs {

struct PutConfiguration {
  Configuration configuration;
  bool operator==(const PutConfiguration &) const = default;
};

/// Ignored if the job exists.
struct AcceptJob {
  JobSpec spec;
  Queue queue;
  std::string workspace; ///< Empty: none.
  bool operator==(const AcceptJob &) const = default;
};

struct CancelJob {
  std::string job;
  bool operator==(const CancelJob &) const = default;
};

/// Occurrences below `count` are due.
struct OpenOccurrences {
  std::string job;
  std::uint32_t count = 0;
  bool operator==(const OpenOccurrences &) const = default;
};

struct PlacedRun {
  RunKey run;
  std::string worker;
  bool operator==(const PlacedRun &) const = default;
};

/// Must be durable before the order to start leaves, so that no other leader places the task.
struct PlaceRuns {
  std::uint64_t term = 0;
  std::vector<PlacedRun> runs;
  bool operator==(const PlaceRuns &) const = default;
};

/// Task ends that a worker reported. Must be durable before the worker may discard them.
struct RecordEnds {
  WorkerIncarnation worker;
  std::vector<TaskEnd> ends;
  bool operator==(const RecordEnds &) const = default;
};

/// Runs that certainly do not exist and cannot start any more.
struct ReleasedRun {
  RunKey run;
  std::string worker;
  std::string checkpoint; ///< Last reported one; empty: keep the recorded one.
  bool operator==(const ReleasedRun &) const = default;
};

struct ReleaseRuns {
  std::vector<ReleasedRun> runs;
  bool operator==(const ReleaseRuns &) const = default;
};

/// A worker's report. Ignored if it claims another life or place of a known worker: it is evidence
/// only about the life that it names.
struct RegisterWorker {
  WorkerProfile profile;
  bool operator==(const RegisterWorker &) const = default;
};

/// Releases all runs of the worker. Holds the last reported checkpoints.
struct RemoveWorker {
  WorkerIncarnation worker;
  std::vector<ReleasedRun> lastCheckpoints;
  bool operator==(const RemoveWorker &) const = default;
};

struct ForgetJobs {
  std::vector<std::string> jobs;
  bool operator==(const ForgetJobs &) const = default;
};

struct StartWave {
  Wave wave;
  bool operator==(const StartWave &) const = default;
};

/// The machine's maintenance has begun, or the machine has left.
struct RemoveFromWave {
  std::uint64_t wave = 0;
  std::string machine;
  bool operator==(const RemoveFromWave &) const = default;
};

struct PutMember {
  Member member;
  bool operator==(const PutMember &) const = default;
};

/// The worker has answered under its id in another life than the recorded one. Its runs of the
/// former life stay placed until they are released.
struct RestartWorker {
  WorkerIncarnation former;
  WorkerProfile profile; ///< Of the life that answered.
  bool operator==(const RestartWorker &) const = default;
};

/// New commands go to the end: the index is part of the stored log.
using Command = std::variant<PutConfiguration, AcceptJob, CancelJob, OpenOccurrences, PlaceRuns,
                             RecordEnds, ReleaseRuns, RegisterWorker, RemoveWorker, ForgetJobs,
                             StartWave, RemoveFromWave, PutMember, RestartWorker>;

/// Payload of one log entry.
struct CommandBatch {
  std::int64_t logTimeMs = 0; ///< The leader's wall clock, milliseconds since 1970.
  std::vector<Command> commands;
  bool operator==(const CommandBatch &) const = default;
};

} // namespace banyanrill::jobs
