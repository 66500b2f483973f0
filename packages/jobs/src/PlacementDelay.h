// Decides how long a wait for a place pays: for a task a place near its data, for a gang one rack
// that holds all its members.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>
#include <optional>

namespace banyanrill::jobs {

/// Longest total wait of one step. A job that has nothing running for 3 s while there is room for
/// it breaks a rule of the deployment; half of that is left for advice, commit and the order to
/// start.
constexpr base::Duration MaxPlacementWait = std::chrono::milliseconds(1500);

/// A wait ends at most this much after its time: the leader asks for actions every 50 ms, and a
/// planning round may have to wait for the one before.
constexpr base::Duration DelayRecheckInterval = std::chrono::milliseconds(75);

/// Share of the wait that a forecast names: estimates are off by up to 0.9 of their value, so the
/// room is counted on later than forecast. With 1, more jobs were late in the loads with hot racks.
constexpr double ForecastTrust = 0.7;

/// The leader learns of an end this much later: with the next renewal of the worker's lease, and a
/// commit after that.
constexpr base::Duration EndReportDelay = std::chrono::milliseconds(100);

/// When the room of a run with this expected end can be used; empty if the run is overdue by so
/// much that it may continue for any time. Pure and thread-safe.
std::optional<base::TimePoint> expectedRoom(base::TimePoint expectedEnd, base::TimePoint now);

/// What the decision about one task or gang depends on.
struct DelayInput {
  base::TimePoint now;
  base::Duration estimate{}; ///< Run time at a preferred place, corrected by what was measured.
  double remotePenalty = 1;  ///< Run time at another place, in multiples of `estimate`.
  bool preferredIsFree = false;
  bool otherIsFree = false;
  /// Until a preferred place is expected to have room; unset if that is not known.
  std::optional<base::Duration> preferredIn;
  base::Duration slack{};  ///< Until the latest start in time, for a run of `estimate`.
  base::Duration waited{}; ///< Total time for which the step was held back so far.
  /// When the room was expected as the present wait began; unset if the step does not wait now.
  std::optional<base::TimePoint> firstForecast;
  double utilization = 0;       ///< Share of the workers' processors in use, from 0 to 1.
  bool isOverShare = false;     ///< The step's workspace uses more than its share.
  double trust = ForecastTrust; ///< Of the forecast; lower values lengthen the expected wait.

  bool operator==(const DelayInput &) const = default;
};

enum class DelayReason : std::uint8_t {
  PreferredFree,  ///< Nothing to wait for.
  NoOtherPlace,   ///< There is no place to start at, so nothing is held back.
  NoForecast,     ///< It is not known when a preferred place has room.
  OverShare,      ///< The room would go to workspaces below their share first.
  WaitUsedUp,     ///< The total wait would become too long.
  ForecastTurned, ///< The room is expected later by as much as was waited.
  WouldBeLate,    ///< A start elsewhere now is in time, and after the wait it might not be.
  DoesNotPay,     ///< The wait is longer than what the place saves, for this job and for others.
  Pays,           ///< The wait is shorter than that.
  MeetsTarget,    ///< The job is in time only with the wait.
};

struct DelayDecision {
  DelayReason reason = DelayReason::PreferredFree;
  /// Set for a wait: the decision is to be made again then at the latest.
  std::optional<base::TimePoint> until;

  bool waits() const { return this->until.has_value(); }
  bool operator==(const DelayDecision &) const = default;
};

/// Answers the load of tasks that run longer away from their data while the data's rack is busy:
/// never waiting wastes capacity, a fixed wait makes short tasks late. Pure and thread-safe.
class PlacementDelay {
public:
  /// Precondition: `remotePenalty` is at least 1; `trust` is over 0, up to 1.
  static DelayDecision decide(const DelayInput &input);
};

} // namespace banyanrill::jobs
