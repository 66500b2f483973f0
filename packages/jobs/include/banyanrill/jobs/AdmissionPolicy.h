// Whether a submitted job is accepted, from the work that is served before it.
#pragma once

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace banyanrill::jobs {

/// Why a job was refused.
enum class RefusalCause : std::uint8_t {
  None,      ///< It is accepted.
  Load,      ///< It would end too late to be of use.
  OverShare, ///< Its workspace is over its weight, and the wait over half the slack.
};

/// For logs and counters.
std::string_view nameOf(RefusalCause cause);

/// What is known about the submitting workspace.
struct WorkspaceShare {
  double weight = 0;            ///< Also the jobs a second that it is owed.
  double acceptedPerSecond = 0; ///< Of late.

  bool operator==(const WorkspaceShare &) const = default;
};

/// The times of the job that decide; without its width, so that wide jobs are refused no more often
/// than narrow ones.
struct AdmissionJob {
  std::uint32_t priority = 0;    ///< Of its queue; 0 comes first.
  base::Duration criticalPath{}; ///< By estimates that were corrected by what was measured.
  base::Duration target{};       ///< From acceptance to the end, for its full value.
  double work = 0;               ///< Millicore-milliseconds.

  bool operator==(const AdmissionJob &) const = default;
};

/// Work of accepted jobs that no worker runs yet, in millicore-milliseconds of corrected estimates.
struct WaitingWork {
  double inTime = 0; ///< Of jobs that can still meet their target.
  double late = 0;   ///< Of jobs that can still end within `NoValueFactor` times their target.
  double worthless = 0;
  double arriving = 0; ///< Accepted of late, a millisecond: millicores.

  bool operator==(const WaitingWork &) const = default;
};

struct AdmissionLoad {
  std::map<std::uint32_t, WaitingWork> byPriority;
  double capacity = 0; ///< Millicores of the workers that may get tasks.
  double running = 0;  ///< Millicores that runs occupy.
  double rate = 0; ///< Millicores of completed work, measured while the room was full; 0: unknown.
  base::Duration measuredFor{}; ///< Since this node leads.
  bool hasWorkspaces = false;   ///< The configuration has them.

  bool operator==(const AdmissionLoad &) const = default;
};

struct AdmissionDecision {
  RefusalCause cause = RefusalCause::None;
  std::int64_t retryAfterMs = 0; ///< Of a refusal.
  base::Duration wait{};         ///< Predicted, for the log.

  bool isAccepted() const { return this->cause == RefusalCause::None; }
  bool operator==(const AdmissionDecision &) const = default;
};

/// A job that ends later than this many times its target is worth nothing any more.
constexpr std::int64_t NoValueFactor = 3;

/// Answers the loads "one queue sends 2.5 times its usual for 7 s" and "twice the room is asked
/// for": what is accepted beyond the room is started too late and thrown away. Decides from its
/// arguments and from the times that it has given to refused callers. Not thread-safe: owned by the
/// leader's dispatcher.
class AdmissionPolicy {
public:
  /// A new leader knows no rates; within this time it refuses nothing.
  static constexpr base::Duration MeasuringTime = std::chrono::milliseconds(2000);

  /// Callers return within this time at most: later the job has mostly lost its value for them.
  static constexpr base::Duration MaxRetryTime = std::chrono::milliseconds(8000);

  /// Below this share of the capacity in use, room is free for any task: tasks of a third of a
  /// worker leave up to a third of it unused.
  static constexpr double FullShare = 0.65;

  /// Predicted waits count this much: a wait is predicted too long more often than too short, since
  /// jobs fail or are cancelled and workers join.
  static constexpr double WaitFactor = 0.9;

  /// Part of its slack that a job of a workspace over its share may wait.
  static constexpr double OverShareSlack = 0.5;

  /// Without workspaces, and for a workspace that is owed more jobs than it sends, a job is refused
  /// only if it would end after this many times the time at which it is worth nothing.
  static constexpr double WideMargin = 2;

  /// `share` is null for a job without a workspace.
  AdmissionDecision decide(const AdmissionJob &job, const AdmissionLoad &load,
                           const WorkspaceShare *share, base::RandomSource &random,
                           base::TimePoint now);

private:
  std::int64_t bookReturn(const AdmissionJob &job, double drainMs, double rate,
                          base::RandomSource &random, base::TimePoint now);

  std::map<std::uint32_t, base::TimePoint> nextReturn; ///< By priority.
};

} // namespace banyanrill::jobs
