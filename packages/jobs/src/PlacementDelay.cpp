#include "PlacementDelay.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// A wait has to save more than this beyond its own length: the place is taken in a later planning
/// round, and commit and order follow.
constexpr base::Duration LeastGain = std::chrono::milliseconds(50);

/// A run that is overdue by more than this may continue for any time. Without such a time every
/// wait for a single run would be given up at the run's expected end, before the leader can know of
/// it.
constexpr base::Duration OverdueGrace = std::chrono::milliseconds(300);

base::Duration scaled(base::Duration duration, double factor) {
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// The forecast of a rack shifts with each run that takes longer than estimated and each more
/// urgent step. A shift by less than this share of what the place is worth does not turn it: with
/// 0, in loads of hot racks 5% to 12% of the jobs were late in place of 2% to 5%.
constexpr double LeastTurn = 0.5;

/// What a start near saves. A start elsewhere also takes the saving away from the tasks of others,
/// the more so the less room is left.
base::Duration worthOf(const DelayInput &input) {
  return scaled(input.estimate, (input.remotePenalty - 1) * (1 + input.utilization));
}

/// Whether the forecast moved away by as much as was waited.
bool hasTurned(const DelayInput &input) {
  if (!input.firstForecast)
    return false;
  if (!input.preferredIn)
    return true;
  const base::Duration shift = input.now + *input.preferredIn - *input.firstForecast;
  return shift >= std::max({input.waited, DelayRecheckInterval, scaled(worthOf(input), LeastTurn)});
}

} // namespace

std::optional<base::TimePoint> expectedRoom(base::TimePoint expectedEnd, base::TimePoint now) {
  if (now > expectedEnd + OverdueGrace)
    return std::nullopt;
  return std::max(expectedEnd, now) + EndReportDelay;
}

DelayDecision PlacementDelay::decide(const DelayInput &input) {
  if (input.preferredIsFree)
    return {DelayReason::PreferredFree, {}};
  if (!input.otherIsFree)
    return {DelayReason::NoOtherPlace, {}};
  if (hasTurned(input))
    return {DelayReason::ForecastTurned, {}};
  if (!input.preferredIn)
    return {DelayReason::NoForecast, {}};
  if (input.isOverShare)
    return {DelayReason::OverShare, {}};
  const base::Duration wait =
      std::max(scaled(*input.preferredIn, 1 / input.trust), base::Duration::zero());
  const base::Duration waitLeft = MaxPlacementWait - DelayRecheckInterval - input.waited;
  if (wait > waitLeft || waitLeft <= base::Duration::zero())
    return {DelayReason::WaitUsedUp, {}};
  const base::Duration saving = scaled(input.estimate, input.remotePenalty - 1);
  const base::Duration worth = worthOf(input);
  const base::TimePoint latest = input.now + waitLeft;
  if (input.slack >= saving) {
    // A start elsewhere stays possible in time until the end of the wait, whatever comes.
    const base::Duration spare = input.slack - saving - DelayRecheckInterval;
    if (wait > spare)
      return {DelayReason::WouldBeLate, {}};
    if (wait + LeastGain >= worth)
      return {DelayReason::DoesNotPay, {}};
    return {DelayReason::Pays, std::min(latest, input.now + spare)};
  }
  if (wait < saving && wait <= input.slack)
    return {DelayReason::MeetsTarget, std::min(latest, input.now + input.slack)};
  if (wait + LeastGain >= worth)
    return {DelayReason::DoesNotPay, {}};
  return {DelayReason::Pays, latest};
}

} // namespace banyanrill::jobs
