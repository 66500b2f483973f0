#include "GangDecisions.h"

namespace banyanrill::jobs {

namespace {

/// A gang that waits is reported this often.
constexpr base::Duration ReportInterval = std::chrono::seconds(1);

/// Maximum number of reports in one window; the others are only counted.
constexpr std::size_t MaxReports = 80;
constexpr base::Duration ReportWindow = std::chrono::seconds(1);

} // namespace

void GangDecisions::beginRound() {
  const std::uint64_t placed = this->current.at(static_cast<std::size_t>(GangOutcome::Placed));
  this->complete = this->current;
  this->current = {};
  this->current.at(static_cast<std::size_t>(GangOutcome::Placed)) = placed;
}

void GangDecisions::note(const OpenStep &open, std::size_t position, const GangFinding &finding,
                         base::TimePoint now) {
  ++this->current.at(static_cast<std::size_t>(finding.outcome));
  const auto [waiting, isNew] = this->nextReport.try_emplace(open.key, base::TimePoint::min());
  const bool isPlaced = finding.outcome == GangOutcome::Placed;
  // Most gangs are placed at the first look; the orders to start their runs show that.
  if (isPlaced ? isNew : now < waiting->second)
    return;
  if (now >= this->windowEnds) {
    this->windowEnds = now + ReportWindow;
    this->inWindow = 0;
  }
  if (this->inWindow >= MaxReports)
    return;
  ++this->inWindow;
  waiting->second = now + ReportInterval;
  GangDecision decision;
  decision.step = open.key;
  decision.queue = open.job->queue.name;
  decision.outcome = finding.outcome;
  decision.members = open.step->count;
  decision.tier = open.tierAt(now);
  decision.waited = now - open.due;
  decision.position = position;
  decision.permitted = finding.permitted;
  decision.places = finding.places;
  decision.startsIn = finding.startsIn;
  this->reports.push_back(std::move(decision));
}

void GangDecisions::forgetJob(const std::string &job) {
  this->nextReport.erase(this->nextReport.lower_bound({job, 0, 0}),
                         this->nextReport.upper_bound({job, UINT32_MAX, UINT32_MAX}));
}

} // namespace banyanrill::jobs
