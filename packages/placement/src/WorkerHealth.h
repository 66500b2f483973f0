// Distinguishes faulty workers, which fail any job, from faulty jobs, which fail on any worker.
#pragma once

#include "Model.h"

#include <deque>

namespace banyanrill::placement {

/// Counts failures by worker and job. Records are keyed by worker identifier, so that a worker that
/// leaves and returns keeps its record. Not thread-safe.
class WorkerHealth {
public:
  enum class Verdict : std::uint8_t { Unchanged, Quarantine, Release };

  /// Different jobs that must fail on a worker in succession before it is quarantined.
  static constexpr std::size_t JobsToQuarantine = 3;

  /// At most a tenth of the workers, and at least one, may be quarantined at once.
  static std::size_t maxQuarantined(std::size_t workers) {
    return workers / 10 > 1 ? workers / 10 : 1;
  }

  Verdict onFailure(const std::string &worker, std::uint64_t job, bool jobFailsElsewhere,
                    std::size_t workers, base::TimePoint now);
  Verdict onSuccess(const std::string &worker);

  /// Called when a probe ended without a result for the worker (stopped, lost or refused).
  void onProbeAborted(const std::string &worker);

  /// Removes the failures of a job from the records of the workers, after the job was found to fail
  /// on several of them.
  void forgetJob(const std::unordered_set<std::string> &onWorkers, std::uint64_t job);

  /// Returns the quarantined workers that may receive one task now, at most `maxQuarantined`.
  std::vector<std::string> probesDue(base::TimePoint now) const;
  void onProbeStarted(const std::string &worker);

  /// Releases workers whose probe is overdue, since the waiting work may be unsuitable for probes.
  /// They are on probation: one more failing job quarantines them again.
  std::vector<std::string> releaseUnprobed(base::TimePoint now);

  bool isQuarantined(const std::string &worker) const;
  std::size_t quarantinedCount() const { return this->quarantined.size(); }

private:
  struct Quarantine {
    base::TimePoint probeAt;
    base::Duration delay;
    bool probing = false;
  };

  struct Suspect {
    std::set<std::uint64_t> failedJobs;
    std::size_t carriedOver = 0; ///< Failed jobs counted from an earlier quarantine.
    base::Duration lastDelay{0}; ///< Probe delay of the earlier quarantine.
  };

  std::unordered_map<std::string, Suspect> suspects;
  std::unordered_map<std::string, Quarantine> quarantined;
};

} // namespace banyanrill::placement
