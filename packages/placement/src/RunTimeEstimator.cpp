#include "RunTimeEstimator.h"

#include <algorithm>

namespace banyanrill::placement {

using base::Duration;

namespace {

// 330 teams are the target; a team beyond the bound is estimated with the shared record.
constexpr std::size_t MaxTeams = 4096;
const char *const SharedRecord = "";
// One run changes the average by a fifth, so that about five runs correct a wrong declaration.
constexpr double Weight = 0.2;
// Declarations are wrong by up to a factor of ten; a larger correction is an outlier.
constexpr double MaxRatio = 10.0;
constexpr Duration Unknown = std::chrono::minutes(10);
constexpr Duration Endless = std::chrono::hours(24 * 365);
constexpr Duration Shortest = std::chrono::seconds(1);
// Estimates are used as upper bounds, so the averages are raised by a quarter.
constexpr double Margin = 1.25;

Duration ofSeconds(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

double toSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

} // namespace

const RunTimeEstimator::History *RunTimeEstimator::historyOf(const std::string &team) const {
  auto found = this->byTeam.find(team);
  if (found == this->byTeam.end())
    found = this->byTeam.find(SharedRecord);
  return found == this->byTeam.end() ? nullptr : &found->second;
}

void RunTimeEstimator::observe(Job &job, Duration actual) {
  actual = std::max(actual, Duration(1));
  if (job.observedRunTime.count() == 0)
    job.observedRunTime = actual;
  else
    job.observedRunTime += ofSeconds(Weight * toSeconds(actual - job.observedRunTime));
  const bool full = this->byTeam.size() >= MaxTeams && this->byTeam.count(job.spec.team) == 0;
  History &history = this->byTeam[full ? SharedRecord : job.spec.team];
  const double weight = std::max(Weight, 1.0 / ++history.samples);
  history.seconds += weight * (toSeconds(actual) - history.seconds);
  if (job.spec.runTime.count() > 0) {
    const double ratio =
        std::clamp(toSeconds(actual) / toSeconds(job.spec.runTime), 1 / MaxRatio, MaxRatio);
    history.ratio += weight * (ratio - history.ratio);
  }
}

Duration RunTimeEstimator::expected(const Job &job) const {
  if (job.isService())
    return Endless;
  if (job.observedRunTime.count() > 0)
    return std::max(Shortest, ofSeconds(Margin * toSeconds(job.observedRunTime)));
  const History *history = this->historyOf(job.spec.team);
  if (job.spec.runTime.count() > 0) {
    const double ratio = history == nullptr ? 1.0 : history->ratio;
    return std::max(Shortest, ofSeconds(Margin * ratio * toSeconds(job.spec.runTime)));
  }
  if (history != nullptr)
    return std::max(Shortest, ofSeconds(Margin * history->seconds));
  return Unknown;
}

Duration RunTimeEstimator::remaining(const Job &job, const Task &task, base::TimePoint now) const {
  const Duration run = now - task.since;
  const Duration rest = this->expected(job) - run;
  return rest.count() > 0 ? rest : std::max(Shortest, run / 2);
}

} // namespace banyanrill::placement
