// What the leader concludes about a worker and its runs, and from what: for the log.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/Model.h"

#include <string_view>
#include <variant>

namespace banyanrill::jobs {

enum class SessionCause : std::uint8_t {
  NewLeader,  ///< The worker was known before the term.
  Registered, ///< Its report was recorded.
  Restarted,  ///< It answered as another incarnation under the same identifier.
};

/// Thread-safe.
std::string_view nameOf(SessionCause cause);

enum class DoubtCause : std::uint8_t {
  ReportOfAnother, ///< A report names another incarnation or address under this identifier.
  AddressInUse,    ///< Another worker has registered at the address.
  OtherClock,      ///< An answer comes from another clock.
};

/// Thread-safe.
std::string_view nameOf(DoubtCause cause);

enum class RemovalCause : std::uint8_t {
  IdleSilence,        ///< It is silent and has no runs.
  OtherWorkerAnswers, ///< Another worker answers at its address.
  Left,               ///< It said that it leaves, and takes no connection any more.
};

/// Thread-safe.
std::string_view nameOf(RemovalCause cause);

enum class ReleaseCause : std::uint8_t {
  NotSent,   ///< No order to start it was sent.
  Refused,   ///< The only order to start it was refused.
  NotListed, ///< The worker does not list it, after it answered a start or a stop of the run.
  /// The worker does not list it, and refuses orders of the time when it was placed.
  EarlierSession,
  LeaseEnded,    ///< Its worker is silent, and its lease has ended.
  WorkerRemoved, ///< With all runs of its worker.
};

/// Thread-safe.
std::string_view nameOf(ReleaseCause cause);

/// What every conclusion is about.
struct SessionKey {
  WorkerIncarnation worker;
  std::uint64_t fencingToken = 0; ///< Of the orders in this session.

  bool operator==(const SessionKey &) const = default;
};

struct SessionBegan {
  SessionKey session;
  SessionCause cause = SessionCause::NewLeader;
  base::Duration leaseLeft{}; ///< Until nothing of an earlier session can run there.
  std::size_t placements = 0; ///< Runs that may be there.

  bool operator==(const SessionBegan &) const = default;
};

struct WorkerDoubted {
  SessionKey session;
  DoubtCause cause = DoubtCause::ReportOfAnother;
  std::int64_t otherStartTimeMs = 0; ///< Of the other incarnation.

  bool operator==(const WorkerDoubted &) const = default;
};

/// A worker's answer proves that it restarted. Comes before the restart is committed.
struct RestartSeen {
  SessionKey session; ///< Of the former incarnation.
  std::int64_t startTimeMs = 0;

  bool operator==(const RestartSeen &) const = default;
};

/// A renewal of the lease was not answered, and the one before it was.
struct WorkerFellSilent {
  SessionKey session;
  base::Duration leaseLeft{}; ///< Until nothing can run there if it stays silent.

  bool operator==(const WorkerFellSilent &) const = default;
};

struct WorkerRemovalDecided {
  SessionKey session;
  RemovalCause cause = RemovalCause::IdleSilence;
  base::Duration silentFor{}; ///< Since its last answer to a renewal.
  base::Duration leaseLeft{}; ///< Negative: it has ended.
  std::size_t placements = 0;

  bool operator==(const WorkerRemovalDecided &) const = default;
};

struct RunReleaseDecided {
  SessionKey session;
  RunKey run;
  ReleaseCause cause = ReleaseCause::NotSent;

  bool operator==(const RunReleaseDecided &) const = default;
};

using WorkerDecision = std::variant<SessionBegan, WorkerDoubted, RestartSeen, WorkerFellSilent,
                                    WorkerRemovalDecided, RunReleaseDecided>;

} // namespace banyanrill::jobs
