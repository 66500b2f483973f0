// Messages of the HTTP interface to workers and upstreams, as typed values.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/Resources.h"
#include "banyanrill/routing/UpstreamTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanrill::daemon {

enum class WorkerTaskState : std::uint8_t { Running, Succeeded, Failed, Stopped };

/// A task as its worker reports it. Finished ones are listed until a `forget` command.
struct WorkerTask {
  base::TaskId id;
  std::uint32_t attempt = 0;
  WorkerTaskState state = WorkerTaskState::Running;
  base::Resources demand;

  bool operator==(const WorkerTask &) const = default;
};

/// Body of POST /v1/workers/{id}/poll.
struct WorkerPoll {
  std::string dataCentre;
  std::string rack;
  base::Resources capacity;
  std::uint64_t epoch = 0;    ///< Of the owner that the worker accepts now.
  std::uint64_t sequence = 0; ///< Of the last answer it received.
  bool released =
      false; ///< Its former owner released it, or it had none: nothing of that owner runs.
  std::vector<WorkerTask> tasks;

  bool operator==(const WorkerPoll &) const = default;
};

enum class WorkerCommandKind : std::uint8_t { Start, Stop, Checkpoint, Forget };

struct WorkerCommand {
  WorkerCommandKind kind = WorkerCommandKind::Start;
  base::TaskId task;
  std::uint32_t attempt = 0;
  base::Resources demand;
  bool moveOnIsolation = true;
  std::string spec; ///< JSON of the job.

  bool operator==(const WorkerCommand &) const = default;
};

/// Answer to a poll.
struct WorkerAnswer {
  base::DaemonId owner = base::NoDaemon;
  std::string host;
  std::uint16_t port = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  bool released = false; ///< The answering daemon gives the worker up.
  std::int64_t leaseMs = 0;
  std::int64_t contactMs = 0;
  std::vector<WorkerCommand> commands;

  bool operator==(const WorkerAnswer &) const = default;
};

/// All functions below are pure and thread-safe. Parsers report Malformed with the path in the
/// body.
base::Result<WorkerPoll> parseWorkerPoll(const std::string &body);
std::string formatWorkerAnswer(const WorkerAnswer &answer);
/// What an upstream instance announces: its own state, and what it runs for other owners.
struct Announcement {
  routing::UpstreamAnnouncement upstream; ///< `inProgress` counts only requests of other owners.
  base::Resources inherited;              ///< Demand of these requests.
  /// Requests of the current owner that have run for over 1 s.
  std::vector<std::string> slowRequests;

  bool operator==(const Announcement &) const = default;
};

base::Result<Announcement> parseAnnouncement(const std::string &body);

/// A task's name towards workers: the job's path, '#', and the index.
std::string formatTaskId(const base::TaskId &id);
std::optional<base::TaskId> parseTaskId(const std::string &text);

} // namespace banyanrill::daemon
