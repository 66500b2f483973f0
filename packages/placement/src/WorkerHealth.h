// Tells workers that fail everything from jobs that fail everywhere.
#pragma once

#include "Model.h"

#include <deque>

namespace banyanrill::placement {

/// Failures are counted by (worker, job). Records are kept by worker identifier, so that a worker
/// that leaves and returns keeps its record. Not thread-safe.
class WorkerHealth {
public:
  enum class Verdict : std::uint8_t { Unchanged, Quarantine, Release };

  /// Different jobs that must fail on a worker in succession before it is quarantined.
  static constexpr std::size_t JobsToQuarantine = 3;

  /// At most a tenth of the workers (one at least) is quarantined, whatever fails.
  static std::size_t maxQuarantined(std::size_t workers) {
    return workers / 10 > 1 ? workers / 10 : 1;
  }

  Verdict onFailure(const std::string &worker, std::uint64_t job, bool jobFailsElsewhere,
                    std::size_t workers, base::TimePoint now);
  Verdict onSuccess(const std::string &worker);

  /// The probe ended without telling anything about the worker (stopped, lost or refused).
  void onProbeAborted(const std::string &worker);

  /// Clears the evidence that a job left on workers, after the job was found to fail everywhere.
  void forgetJob(const std::unordered_set<std::string> &onWorkers, std::uint64_t job);

  /// Quarantined workers that may be given one task now. Bounded by `maxQuarantined`.
  std::vector<std::string> probesDue(base::TimePoint now) const;
  void onProbeStarted(const std::string &worker);

  /// Releases, on probation, the workers that were due for a probe for a while but got none, since
  /// the work that waits may be unfit for probes. One more failing job quarantines them again.
  std::vector<std::string> releaseUnprobed(base::TimePoint now);

  bool isQuarantined(const std::string &worker) const;
  std::size_t quarantinedCount() const { return this->quarantined.size(); }

private:
  struct Quarantine {
    base::TimePoint probeAt;
    base::Duration wait;
    bool probing = false;
  };

  struct Suspect {
    std::set<std::uint64_t> failedJobs;
    std::size_t carriedOver = 0; ///< Counted as failed jobs of an earlier quarantine.
    base::Duration lastWait{0};  ///< Of the earlier quarantine.
  };

  std::unordered_map<std::string, Suspect> suspects;
  std::unordered_map<std::string, Quarantine> quarantined;
};

} // namespace banyanrill::placement
