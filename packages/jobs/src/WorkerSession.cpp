#include "WorkerSession.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::jobs {

namespace {

/// A worker's clock may be 2% slow; the rest covers rounding.
constexpr double SlowClockFactor = 1.03;

/// Age of a clock reading plus scheduling delays at the worker.
constexpr base::Duration LeaseMargin = std::chrono::milliseconds(250);

/// What a reading may be off beside the rate of the clock: rounding, and an answer that was long
/// under way before it was taken for the present time.
constexpr double EarlyClockMs = 50;
constexpr double LateClockMs = 2000;

/// An order and its answer take some 60 ms through a relay, with a busy processor at each end.
constexpr base::Duration SilenceLimit = std::chrono::milliseconds(150);

/// One failing job is the job's fault; failures of this many jobs without a success in between
/// are the worker's.
constexpr std::uint32_t SuspectJobs = 2;

/// Weight of one end in the share of failures.
constexpr double SampleWeight = 0.3;

/// A worker that fails what it starts gets little to show that it recovered.
constexpr std::chrono::duration<double> FailureHalfLife(5);

/// A worker that failed several jobs is tried again after this time.
constexpr base::Duration AvoidTime = std::chrono::seconds(4);

} // namespace

base::TimePoint leaseEnd(base::TimePoint now, base::Duration lease, base::Duration stopGrace) {
  const auto stretched =
      static_cast<base::Duration::rep>(static_cast<double>(lease.count()) * SlowClockFactor);
  return now + base::Duration(stretched) + stopGrace + LeaseMargin;
}

std::optional<std::int64_t> WorkerSession::clockAt(base::TimePoint now) const {
  if (!this->clock)
    return std::nullopt;
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->clock->at);
  return this->clock->clockMs + passed.count();
}

void WorkerSession::readClock(std::optional<std::int64_t> clockMs, base::TimePoint now) {
  if (!clockMs)
    return;
  // Answers overtake each other; a lower reading is older.
  if (!this->clock || *clockMs >= this->clock->clockMs)
    this->clock = ClockReading{*clockMs, now};
}

bool WorkerSession::isOwnClock(std::int64_t clockMs, base::TimePoint sentAt,
                               base::TimePoint now) const {
  if (!this->clock)
    return true;
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const double passed = static_cast<double>(clockMs - this->clock->clockMs);
  const double least = Milliseconds(sentAt - this->clock->at).count();
  const double most = Milliseconds(now - this->clock->at).count();
  const double lowest = least < 0 ? least * SlowClockFactor : least / SlowClockFactor;
  return passed >= lowest - EarlyClockMs && passed <= most * SlowClockFactor + LateClockMs;
}

std::optional<std::int64_t>
WorkerSession::extendLease(base::Duration lease, base::Duration stopGrace, base::TimePoint now) {
  const std::optional<std::int64_t> clockNow = this->clockAt(now);
  if (!clockNow)
    return std::nullopt;
  this->leaseEndsBy = std::max(this->leaseEndsBy, leaseEnd(now, lease, stopGrace));
  return *clockNow + std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
}

bool WorkerSession::isDue(base::TimePoint now) const {
  const bool renewalIsDue =
      !this->renewalInFlight && !this->endsProposed && now >= this->nextRenewal;
  return renewalIsDue || this->unsettledRuns > 0 || this->renewalUnanswered || !this->hasAnswered;
}

void WorkerSession::recordCall(base::TimePoint now) {
  if (!this->unansweredSince)
    this->unansweredSince = now;
}

void WorkerSession::recordAnswered(base::TimePoint now) {
  this->unansweredSince.reset();
  if (this->callsInFlight > 0)
    this->unansweredSince = now;
}

bool WorkerSession::isSilent(base::TimePoint now) const {
  return this->unansweredSince && now - *this->unansweredSince > SilenceLimit;
}

double WorkerSession::failureShare(base::TimePoint now) const {
  if (this->health.failureShare == 0)
    return 0;
  const std::chrono::duration<double> age = now - this->health.changedAt;
  return this->health.failureShare * std::exp2(-age / FailureHalfLife);
}

void WorkerSession::recordEnd(const TaskEnd &end, base::TimePoint now) {
  if (end.kind != EndKind::Succeeded && end.kind != EndKind::Failed)
    return;
  const bool hasFailed = end.kind == EndKind::Failed;
  const double share = this->failureShare(now);
  this->health.failureShare = share + ((hasFailed ? 1 : 0) - share) * SampleWeight;
  this->health.changedAt = now;
  if (!hasFailed) {
    this->health.lastFailedJob.clear();
    this->health.jobsFailedInRow = 0;
    this->health.avoidUntil = base::TimePoint::min();
    return;
  }
  if (this->health.lastFailedJob != end.run.task.job) {
    this->health.lastFailedJob = end.run.task.job;
    ++this->health.jobsFailedInRow;
  }
  if (this->health.jobsFailedInRow >= SuspectJobs)
    this->health.avoidUntil = now + AvoidTime;
}

} // namespace banyanrill::jobs
