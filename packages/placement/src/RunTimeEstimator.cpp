#include "RunTimeEstimator.h"

#include <algorithm>

namespace banyanrill::placement {

using base::Duration;

namespace {

// The target is 330 teams; teams beyond this limit are estimated from the shared record.
constexpr std::size_t MaxTeams = 4096;
const char *const SharedRecordKey = "";
// A run changes the average by a fifth of the difference, so about five runs correct a wrong
// declaration.
constexpr double SmoothingFactor = 0.2;
// Declarations are wrong by up to a factor of ten; larger ratios are treated as outliers.
constexpr double MaxRatio = 10.0;
constexpr Duration DefaultRunTime = std::chrono::minutes(10);
constexpr Duration ServiceRunTime = std::chrono::hours(24 * 365);
constexpr Duration MinEstimate = std::chrono::seconds(1);
// Estimates are used as upper bounds, so averages are raised by a quarter.
constexpr double SafetyMargin = 1.25;

Duration fromSeconds(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

double toSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

} // namespace

const RunTimeEstimator::History *RunTimeEstimator::historyOf(const std::string &team) const {
  auto found = this->byTeam.find(team);
  if (found == this->byTeam.end())
    found = this->byTeam.find(SharedRecordKey);
  return found == this->byTeam.end() ? nullptr : &found->second;
}

void RunTimeEstimator::observe(Job &job, Duration actual) {
  actual = std::max(actual, Duration(1));
  if (job.observedRunTime.count() == 0)
    job.observedRunTime = actual;
  else
    job.observedRunTime += fromSeconds(SmoothingFactor * toSeconds(actual - job.observedRunTime));
  const bool full = this->byTeam.size() >= MaxTeams && this->byTeam.count(job.spec.team) == 0;
  History &history = this->byTeam[full ? SharedRecordKey : job.spec.team];
  const double weight = std::max(SmoothingFactor, 1.0 / ++history.samples);
  history.seconds += weight * (toSeconds(actual) - history.seconds);
  if (job.spec.runTime.count() > 0) {
    const double ratio =
        std::clamp(toSeconds(actual) / toSeconds(job.spec.runTime), 1 / MaxRatio, MaxRatio);
    history.ratio += weight * (ratio - history.ratio);
  }
}

Duration RunTimeEstimator::expected(const Job &job) const {
  if (job.isService())
    return ServiceRunTime;
  if (job.observedRunTime.count() > 0)
    return std::max(MinEstimate, fromSeconds(SafetyMargin * toSeconds(job.observedRunTime)));
  const History *history = this->historyOf(job.spec.team);
  if (job.spec.runTime.count() > 0) {
    const double ratio = history == nullptr ? 1.0 : history->ratio;
    return std::max(MinEstimate, fromSeconds(SafetyMargin * ratio * toSeconds(job.spec.runTime)));
  }
  if (history != nullptr)
    return std::max(MinEstimate, fromSeconds(SafetyMargin * history->seconds));
  return DefaultRunTime;
}

Duration RunTimeEstimator::remaining(const Job &job, const Task &task, base::TimePoint now) const {
  const Duration run = now - task.since;
  const Duration rest = this->expected(job) - run;
  return rest.count() > 0 ? rest : std::max(MinEstimate, run / 2);
}

} // namespace banyanrill::placement
