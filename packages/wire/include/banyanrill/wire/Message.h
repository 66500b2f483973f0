// Messages that daemons send each other. Any of them may be lost, repeated, delayed or reordered.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/Resources.h"
#include "banyanrill/base/Verdict.h"
#include "banyanrill/consensus/Message.h"
#include "banyanrill/control/Command.h"
#include "banyanrill/routing/UpstreamTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace banyanrill::wire {

/// A worker as its owner sees it.
struct WorkerReport {
  base::WorkerId id;
  std::string dataCentre;
  std::string rack;
  base::Resources capacity;
  base::Resources requestLoad;
  std::uint64_t epoch = 0;
  bool leaseHeld = false; ///< The owner holds the ownership lease.

  bool operator==(const WorkerReport &) const = default;
};

/// Sent by each daemon to the leader every second: the workers that it owns, and those without an
/// owner. Unless `complete` is set, it contains only changes since the previous, acknowledged
/// heartbeat.
struct Heartbeat {
  std::uint64_t sequence = 0;
  bool stopping = false; ///< Planned stop: the leader moves its workers to other owners.
  bool complete = true;
  std::vector<WorkerReport> workers;
  std::vector<base::WorkerId> removed; ///< No longer owned.
  std::vector<WorkerReport> unowned;   ///< Workers that polled here and have no owner.

  bool operator==(const Heartbeat &) const = default;
};

/// Sent by the leader. It extends the daemon's contact lease, which counts from when the daemon
/// sent the heartbeat.
struct HeartbeatAck {
  std::uint64_t sequence = 0;
  bool needsComplete = false; ///< The leader lacks the state that the heartbeat changes.

  bool operator==(const HeartbeatAck &) const = default;
};

/// Asks the leader to append a command. The identifier is chosen by the sender and never reused in
/// one incarnation; commands are idempotent, so a proposal may be sent again.
struct Propose {
  std::uint64_t proposal = 0;
  control::Command command;

  bool operator==(const Propose &) const = default;
};

enum class ProposalState : std::uint8_t {
  Applied,   ///< `result` holds the outcome.
  NotLeader, ///< Nothing was appended here; `leader` is a hint.
  Busy,      ///< Nothing was appended: too many commands are waiting.
};

struct ProposeResult {
  std::uint64_t proposal = 0;
  ProposalState state = ProposalState::NotLeader;
  base::DaemonId leader = base::NoDaemon;
  control::Result result;

  bool operator==(const ProposeResult &) const = default;
};

/// A daemon without a disk asks a replica for changes of settings after `revision`, and for pushes
/// during the next seconds.
struct SettingsSubscription {
  settings::Revision revision = 0;

  bool operator==(const SettingsSubscription &) const = default;
};

/// Changes from `from` to `to`, or a snapshot at `to` if `values` is set.
struct SettingsUpdate {
  settings::Revision from = 0;
  settings::Revision to = 0;
  std::vector<settings::Applied> changes;
  std::optional<std::vector<std::pair<std::string, settings::Value>>> values;
  base::DaemonId leader =
      base::NoDaemon; ///< Known to the replica; `NoDaemon` if it has no contact.

  bool operator==(const SettingsUpdate &) const = default;
};

/// Free slots of an owner, sent to all daemons: after a change, at most every 500 ms, otherwise
/// every 2 s.
struct LoadReport {
  std::uint64_t sequence = 0;
  std::vector<routing::ServiceLoad> loads;

  bool operator==(const LoadReport &) const = default;
};

/// Sent by the entry daemon to the owner: run this request.
struct Forward {
  std::string requestId;
  std::uint32_t attempt = 0;
  std::string team;
  std::string service;
  std::string operation;
  std::string idempotencyKey;
  std::string contentType;
  std::string body;
  base::Resources demand;
  std::int32_t priority = 0;
  std::int64_t remainingMs = 0; ///< Time to the caller's deadline when this was sent.
  bool mayQueue = false;        ///< If false, the owner answers Busy when no slot is free.
  std::vector<base::UpstreamId> excludedUpstreams;

  bool operator==(const Forward &) const = default;
};

enum class ForwardState : std::uint8_t {
  Answered, ///< The upstream's complete answer.
  Busy,     ///< No capacity; did not run.
  Refused,  ///< Queue full or deadline too short; did not run.
  Failed,   ///< See the verdict.
};

struct ForwardResult {
  std::string requestId;
  std::uint32_t attempt = 0;
  ForwardState state = ForwardState::Failed;
  base::Verdict verdict = base::Verdict::MayHaveRun;
  int status = 0;
  std::string contentType;
  std::string body;
  base::UpstreamId upstream;
  std::string reason;

  bool operator==(const ForwardResult &) const = default;
};

/// Sent by the leader to the owner until the task's event arrives. Idempotent by (task, attempt).
struct StartTask {
  base::TaskId task;
  std::uint32_t attempt = 0;
  base::WorkerId worker;
  std::uint64_t epoch = 0; ///< Of the intended owner; any other ignores the command.
  base::Resources demand;
  bool moveOnIsolation = true;
  /// Report the task as started or lost, but do not start it: it was running when its worker
  /// changed owners.
  bool confirmOnly = false;
  std::string spec; ///< The job's setting, for the worker.

  bool operator==(const StartTask &) const = default;
};

/// Sent by the leader to the owner until the task's event arrives.
struct StopTask {
  base::TaskId task;
  std::uint32_t attempt = 0;
  base::WorkerId worker;
  std::uint64_t epoch = 0; ///< As for `StartTask`.
  bool checkpoint = false;

  bool operator==(const StopTask &) const = default;
};

/// An event and the epoch in which the owner observed it. From an owner of an earlier epoch, the
/// leader rejects events that only the current owner can know.
struct TaskReport {
  placement::TaskEvent event;
  base::WorkerId worker;
  std::uint64_t epoch = 0;

  bool operator==(const TaskReport &) const = default;
};

/// Sent by the owner to the leader until acknowledged, which happens after the event is committed.
struct TaskEvents {
  std::uint64_t sequence = 0;
  std::vector<TaskReport> reports;

  bool operator==(const TaskEvents &) const = default;
};

struct TaskEventsAck {
  std::uint64_t sequence = 0;

  bool operator==(const TaskEventsAck &) const = default;
};

/// Sent to all daemons: the owner of this upstream must give it no new work.
struct UpstreamLeaving {
  base::UpstreamId upstream;

  bool operator==(const UpstreamLeaving &) const = default;
};

using Body = std::variant<consensus::Message, Heartbeat, HeartbeatAck, Propose, ProposeResult,
                          SettingsSubscription, SettingsUpdate, LoadReport, Forward, ForwardResult,
                          StartTask, StopTask, TaskEvents, TaskEventsAck, UpstreamLeaving>;

/// A message with its addresses.
struct Envelope {
  base::DaemonId from = base::NoDaemon;
  base::DaemonId to = base::NoDaemon;
  std::uint64_t incarnation = 0; ///< Random for each run of the sender.
  Body body;

  bool operator==(const Envelope &) const = default;
};

} // namespace banyanrill::wire
