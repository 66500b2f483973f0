// Collects what the planner decided about gangs. Reports are bounded, however many gangs wait.
#pragma once

#include "StepQueue.h"
#include "banyanrill/jobs/GangDecision.h"

#include <utility>

namespace banyanrill::jobs {

/// What one round found out about a gang.
struct GangFinding {
  GangOutcome outcome = GangOutcome::PassedOver;
  std::size_t permitted = 0;
  std::uint32_t places = 0;
  base::Duration startsIn{};
};

/// Not thread-safe.
class GangDecisions {
public:
  /// Number of gangs by outcome.
  using Counts = std::array<std::uint64_t, GangOutcomes>;

  /// A new round looks at all gangs again.
  void beginRound();

  /// `position` is that of the gang in the round.
  void note(const OpenStep &open, std::size_t position, const GangFinding &finding,
            base::TimePoint now);

  /// Returns the decisions to report since the last call.
  std::vector<GangDecision> take() { return std::exchange(this->reports, {}); }

  /// The last complete round; `Placed` counts all gangs placed so far.
  const Counts &lastRound() const { return this->complete; }

  void forgetJob(const std::string &job);

private:
  Counts current{};
  Counts complete{};
  std::vector<GangDecision> reports;
  std::map<StepKey, base::TimePoint> nextReport; ///< Of each gang that waits.
  base::TimePoint windowEnds = base::TimePoint::min();
  std::size_t inWindow = 0; ///< Reports of the current window.
};

} // namespace banyanrill::jobs
