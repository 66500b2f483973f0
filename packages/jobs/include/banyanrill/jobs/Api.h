// Requests from callers, operators and workers, and their answers, independent of any encoding.
#pragma once

#include "banyanrill/jobs/Model.h"

#include <string_view>
#include <variant>

namespace banyanrill::jobs {

/// Submits a job. `path` is the whole path; its part after the queue's prefix is the identifier.
struct SubmitRequest {
  std::string host;
  std::string path;
  JobSpec spec;    ///< Without the identifier.
  std::string key; ///< Of the caller's workspace; empty: none. Never logged.
  bool operator==(const SubmitRequest &) const = default;
};

/// Asks for a job's state, or for a queue's length if the path ends with the queue's prefix.
struct StateRequest {
  std::string host;
  std::string path;
  std::string key; ///< As in `SubmitRequest`.
  bool operator==(const StateRequest &) const = default;
};

struct CancelRequest {
  std::string host;
  std::string path;
  std::string key; ///< As in `SubmitRequest`.
  bool operator==(const CancelRequest &) const = default;
};

struct ConfigureRequest {
  Configuration configuration;
  bool operator==(const ConfigureRequest &) const = default;
};

struct ReadConfigurationRequest {
  bool operator==(const ReadConfigurationRequest &) const = default;
};

/// A worker's heartbeat. `clockMs` is its steady clock.
struct WorkerReport {
  WorkerProfile profile;
  std::int64_t clockMs = 0;
  std::uint64_t sequence = 0;
  bool operator==(const WorkerReport &) const = default;
};

struct DeregisterRequest {
  std::string worker;
  bool operator==(const DeregisterRequest &) const = default;
};

struct WaveRequest {
  Wave wave;
  bool operator==(const WaveRequest &) const = default;
};

struct WaveStateRequest {
  std::uint64_t wave = 0;
  bool operator==(const WaveStateRequest &) const = default;
};

using Request = std::variant<SubmitRequest, StateRequest, CancelRequest, ConfigureRequest,
                             ReadConfigurationRequest, WorkerReport, DeregisterRequest, WaveRequest,
                             WaveStateRequest>;

enum class ReplyCode : std::uint8_t {
  Done,
  Invalid, ///< The request breaks a rule; nothing changed.
  NoSuchQueue,
  NoSuchJob,
  Busy,             ///< Refused because too much is waiting; did not run.
  Unavailable,      ///< Did not run: there is no leader, or it has no configuration.
  InDoubt,          ///< May have run: contact with the leader was lost before its answer.
  RedirectToLeader, ///< Did not run: send the request to `leaderAddress`.
  Unauthorized,     ///< Did not run: the key is missing or belongs to no workspace.
  Forbidden,        ///< Did not run: the job belongs to another workspace.
  Unconfirmed,      ///< Did not run: the node may no longer lead. Retried until the deadline.
};

struct Reply {
  ReplyCode code = ReplyCode::Done;
  std::string message;           ///< Reason of a refusal, for the caller's and the daemon's log.
  std::int64_t retryAfterMs = 0; ///< Busy and Unavailable: when to retry.
  std::optional<JobPhase> phase; ///< StateRequest for a job.
  bool started = false;          ///< StateRequest for a job.
  std::optional<std::uint64_t> waiting; ///< StateRequest for a queue.
  std::string document;                 ///< ReadConfigurationRequest.
  std::string leaderAddress; ///< RedirectToLeader: host:port of the leader's control listener.
  std::string reportTo;      ///< WorkerReport: host:port for later reports.
  bool waveDone = false;     ///< WaveStateRequest.
  bool operator==(const Reply &) const = default;
};

/// Returns whether an identifier that a caller or worker chose can be stored and passed on: at
/// least one and at most `maxBytes` printable ASCII characters other than space and '/'. Pure and
/// thread-safe.
bool isIdentifier(std::string_view text, std::size_t maxBytes);

/// For logs: the job, worker, queue or version that a request is about.
std::string subjectOf(const Request &request);

/// For logs: the kind of request.
std::string_view nameOf(const Request &request);

std::string_view nameOf(ReplyCode code);
std::string_view nameOf(JobPhase phase);
std::string_view nameOf(EndKind kind);

} // namespace banyanrill::jobs
