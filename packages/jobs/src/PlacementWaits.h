// Which steps wait for a place, and since when. Lives in the leader's memory: after a change of
// leader the waits begin anew.
#pragma once

#include "PlacementDelay.h"
#include "banyanrill/jobs/PlacementWait.h"

#include <map>
#include <utility>
#include <vector>

namespace banyanrill::jobs {

/// Bounded by the steps of active jobs. Not thread-safe.
class PlacementWaits {
public:
  /// Fills in what is known of the step's waits: `waited` and `firstForecast`.
  void describe(const StepKey &step, DelayInput &input) const;

  /// The step is held back for a place on the rack that is expected to have room at `forecast`, and
  /// is looked at again at `until`. `isProgress`: some of its tasks got their places now, so that
  /// the forecast is one for the others.
  void hold(const StepKey &step, const std::string &queue, const std::string &rack,
            base::TimePoint forecast, base::TimePoint until, bool isProgress, base::TimePoint now);

  /// Ends the present wait of a step, if there is one.
  void end(const StepKey &step, WaitOutcome outcome, const std::string &reason,
           base::TimePoint now);

  /// The rack for which the step is held back; null if it is not.
  const std::string *rackOf(const StepKey &step) const;

  /// Whether the time of some wait is over. Clears that time: the planner decides anew.
  bool takeDue(base::TimePoint now);

  void forgetJob(const std::string &job, base::TimePoint now);

  const PlacementWaitCounters &counters() const { return this->counts; }

  /// Returns the waits that have ended since the last call. Bounded in number; the counters have
  /// them all.
  std::vector<PlacementWait> take() { return std::exchange(this->reports, {}); }

  std::size_t size() const { return this->waits.size(); }

private:
  struct Wait {
    base::Duration before{};              ///< Of earlier waits of the step.
    std::optional<base::TimePoint> since; ///< Set while it is held back.
    base::TimePoint forecast;
    std::string queue;
    std::string rack;
  };

  std::map<StepKey, Wait> waits;
  base::TimePoint nextDue = base::TimePoint::max();
  PlacementWaitCounters counts;
  std::vector<PlacementWait> reports;
  base::TimePoint windowEnds = base::TimePoint::min();
  std::size_t inWindow = 0; ///< Reports of the current window.
};

} // namespace banyanrill::jobs
