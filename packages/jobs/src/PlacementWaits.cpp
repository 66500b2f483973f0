#include "PlacementWaits.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// Maximum number of reports in one window; the others are only counted.
constexpr std::size_t MaxReports = 40;
constexpr base::Duration ReportWindow = std::chrono::seconds(1);

} // namespace

void PlacementWaits::describe(const StepKey &step, DelayInput &input) const {
  const auto found = this->waits.find(step);
  if (found == this->waits.end())
    return;
  const Wait &wait = found->second;
  input.waited = wait.before;
  if (!wait.since)
    return;
  input.waited += input.now - *wait.since;
  input.firstForecast = wait.forecast;
}

void PlacementWaits::hold(const StepKey &step, const std::string &queue, const std::string &rack,
                          base::TimePoint forecast, base::TimePoint until, bool isProgress,
                          base::TimePoint now) {
  this->nextDue = std::min(this->nextDue, until);
  Wait &wait = this->waits[step];
  if (wait.since && !isProgress && wait.rack == rack)
    return;
  wait.forecast = forecast;
  wait.queue = queue;
  wait.rack = rack;
  if (wait.since)
    return;
  wait.since = now;
  ++this->counts.begun;
}

void PlacementWaits::end(const StepKey &step, WaitOutcome outcome, const std::string &reason,
                         base::TimePoint now) {
  const auto found = this->waits.find(step);
  if (found == this->waits.end() || !found->second.since)
    return;
  Wait &wait = found->second;
  const base::Duration waited = now - *wait.since;
  wait.before += waited;
  wait.since.reset();
  ++(outcome == WaitOutcome::Reached ? this->counts.reached : this->counts.givenUp);
  if (now >= this->windowEnds) {
    this->windowEnds = now + ReportWindow;
    this->inWindow = 0;
  }
  if (this->inWindow >= MaxReports)
    return;
  ++this->inWindow;
  this->reports.push_back({step, wait.queue, wait.rack, outcome, reason, waited});
}

const std::string *PlacementWaits::rackOf(const StepKey &step) const {
  const auto found = this->waits.find(step);
  return found == this->waits.end() || !found->second.since ? nullptr : &found->second.rack;
}

bool PlacementWaits::takeDue(base::TimePoint now) {
  if (now < this->nextDue)
    return false;
  this->nextDue = base::TimePoint::max();
  return true;
}

void PlacementWaits::forgetJob(const std::string &job, base::TimePoint now) {
  const auto first = this->waits.lower_bound({job, 0, 0});
  const auto last = this->waits.upper_bound({job, UINT32_MAX, UINT32_MAX});
  for (auto wait = first; wait != last; ++wait)
    this->end(wait->first, WaitOutcome::GivenUp, "job_ended", now);
  this->waits.erase(first, last);
}

} // namespace banyanrill::jobs
