#include "banyanrill/jobs/AdmissionPolicy.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::jobs {

namespace {

/// What runs is also the rate at which work is done. A measured rate below this part of it comes
/// from estimates that are not corrected yet, or from the end of a lull.
constexpr double LeastRateShare = 0.8;

/// Less urgent work gets this part of the room at least: age brings it before urgent work.
constexpr double LeastOwnShare = 0.1;

/// Part of the room that returning callers may count on; the rest goes to new ones.
constexpr double ReturnShare = 0.5;

double milliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

base::Duration fromMilliseconds(double milliseconds) {
  // An hour stands for a wait without an end.
  constexpr double Longest = 3600.0 * 1000;
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(std::min(milliseconds, Longest)));
}

/// What the job waits for: only work of its own and more urgent priorities.
struct Ahead {
  double inTime = 0;
  double late = 0;
  double moreUrgentArrivals = 0;
  double arrivals = 0;
};

Ahead workAhead(const AdmissionLoad &load, std::uint32_t priority) {
  Ahead ahead;
  for (const auto &[urgency, work] : load.byPriority) {
    if (urgency > priority)
      break;
    ahead.inTime += work.inTime;
    ahead.late += work.late;
    ahead.arrivals += work.arriving;
    ahead.moreUrgentArrivals += urgency < priority ? work.arriving : 0;
  }
  return ahead;
}

} // namespace

std::string_view nameOf(RefusalCause cause) {
  switch (cause) {
  case RefusalCause::None:
    return "none";
  case RefusalCause::Load:
    return "load";
  case RefusalCause::OverShare:
    return "over_share";
  }
  return "unknown";
}

AdmissionDecision AdmissionPolicy::decide(const AdmissionJob &job, const AdmissionLoad &load,
                                          const WorkspaceShare *share, base::RandomSource &random,
                                          base::TimePoint now) {
  if (load.measuredFor < MeasuringTime || load.running < FullShare * load.capacity ||
      load.capacity <= 0)
    return {};
  const Ahead ahead = workAhead(load, job.priority);
  const double rate =
      load.rate > 0 ? std::clamp(load.rate, std::min(LeastRateShare * load.running, load.capacity),
                                 load.capacity)
                    : load.capacity;
  const double ownRate = std::max(rate - ahead.moreUrgentArrivals, LeastOwnShare * rate);
  const double chain = milliseconds(job.criticalPath);
  const double target = milliseconds(job.target);
  const double lastUse = static_cast<double>(NoValueFactor) * target;
  AdmissionDecision decision;
  // The workers finish what they run, in the order of the jobs' latest starts. The late ones wait
  // for a time in which less arrives than the room takes.
  const double wait = WaitFactor * ahead.inTime / ownRate;
  const double spare = std::max(rate - ahead.arrivals, 0.001 * rate);
  const double lateWait = WaitFactor * (ahead.inTime + ahead.late) / spare;
  const double slack = std::max(target - chain, 0.0);
  const bool isOverShare = share != nullptr && share->acceptedPerSecond > share->weight;
  const bool isOwed = share != nullptr && !isOverShare && share->weight > 0;
  decision.wait = fromMilliseconds(wait <= slack ? wait : lateWait);
  if (!load.hasWorkspaces || isOwed) {
    // What arrives later is not counted: only a backlog that is there already is certain.
    const double certain = WaitFactor * (ahead.inTime + ahead.late) / rate;
    if (certain + chain <= WideMargin * lastUse || wait <= slack)
      return decision;
  } else if (isOverShare) {
    if (wait <= OverShareSlack * slack)
      return decision;
  } else if (wait <= slack || lateWait + chain <= lastUse) {
    return decision;
  }
  decision.cause = isOverShare ? RefusalCause::OverShare : RefusalCause::Load;
  const double allowed = (isOverShare ? OverShareSlack : 1.0) * slack;
  decision.retryAfterMs =
      this->bookReturn(job, std::max(wait - allowed, 0.0), ownRate, random, now);
  return decision;
}

std::int64_t AdmissionPolicy::bookReturn(const AdmissionJob &job, double drainMs, double rate,
                                         base::RandomSource &random, base::TimePoint now) {
  base::TimePoint &next = this->nextReturn[job.priority];
  const base::TimePoint earliest = now + fromMilliseconds(drainMs);
  const base::TimePoint booked = std::max(next, earliest);
  next = booked + fromMilliseconds(job.work / (ReturnShare * rate));
  const base::Duration away = booked - now;
  if (away < MaxRetryTime)
    return std::max<std::int64_t>(std::llround(milliseconds(away)), 1);
  // Those who cannot all be served within the longest time are spread over its second half, and the
  // bookings beyond it are dropped.
  next = now + MaxRetryTime;
  const auto half = static_cast<std::int64_t>(milliseconds(MaxRetryTime) / 2);
  return half + 1 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(half)));
}

} // namespace banyanrill::jobs
