#include "WorkerHealth.h"

#include <algorithm>

namespace banyanrill::placement {

using base::Duration;
using base::TimePoint;

namespace {

// A probe costs one attempt of a task, so the delay doubles from one minute to half an hour.
constexpr Duration InitialProbeDelay = std::chrono::minutes(1);
constexpr Duration MaxProbeDelay = std::chrono::minutes(30);
// Long enough to find a probe in a busy cell, and short compared to a wait for capacity.
constexpr Duration UnprobedReleaseDelay = std::chrono::minutes(1);
// The maximum number of workers; beyond it failures are not recorded.
constexpr std::size_t MaxSuspects = 8192;

} // namespace

WorkerHealth::Verdict WorkerHealth::onFailure(const std::string &worker, std::uint64_t job,
                                              bool jobFailsElsewhere, std::size_t workers,
                                              TimePoint now) {
  const auto found = this->quarantined.find(worker);
  if (found != this->quarantined.end()) {
    Quarantine &record = found->second;
    // A job that also fails elsewhere is no evidence against this worker, so the delay until the
    // next probe is not doubled.
    if (!jobFailsElsewhere)
      record.delay = std::min(MaxProbeDelay, record.delay * 2);
    record.probeAt = now + record.delay;
    record.probing = false;
    return Verdict::Unchanged;
  }
  if (jobFailsElsewhere)
    return Verdict::Unchanged;
  if (this->suspects.size() >= MaxSuspects && this->suspects.count(worker) == 0)
    return Verdict::Unchanged;
  Suspect &suspect = this->suspects[worker];
  if (suspect.failedJobs.size() < JobsToQuarantine)
    suspect.failedJobs.insert(job);
  if (suspect.failedJobs.size() + suspect.carriedOver < JobsToQuarantine ||
      this->quarantined.size() >= WorkerHealth::maxQuarantined(workers))
    return Verdict::Unchanged;
  const Duration delay = std::clamp(suspect.lastDelay * 2, InitialProbeDelay, MaxProbeDelay);
  this->suspects.erase(worker);
  this->quarantined[worker] = {now + delay, delay, false};
  return Verdict::Quarantine;
}

WorkerHealth::Verdict WorkerHealth::onSuccess(const std::string &worker) {
  this->suspects.erase(worker);
  return this->quarantined.erase(worker) > 0 ? Verdict::Release : Verdict::Unchanged;
}

void WorkerHealth::onProbeAborted(const std::string &worker) {
  const auto found = this->quarantined.find(worker);
  if (found != this->quarantined.end())
    found->second.probing = false;
}

void WorkerHealth::forgetJob(const std::unordered_set<std::string> &onWorkers, std::uint64_t job) {
  for (const std::string &worker : onWorkers) {
    const auto found = this->suspects.find(worker);
    if (found == this->suspects.end())
      continue;
    found->second.failedJobs.erase(job);
    if (found->second.failedJobs.empty() && found->second.carriedOver == 0)
      this->suspects.erase(found);
  }
}

std::vector<std::string> WorkerHealth::probesDue(TimePoint now) const {
  std::vector<std::string> due;
  for (const auto &[worker, record] : this->quarantined) {
    if (!record.probing && record.probeAt <= now)
      due.push_back(worker);
  }
  std::sort(due.begin(), due.end());
  return due;
}

void WorkerHealth::onProbeStarted(const std::string &worker) {
  const auto found = this->quarantined.find(worker);
  if (found != this->quarantined.end())
    found->second.probing = true;
}

std::vector<std::string> WorkerHealth::releaseUnprobed(TimePoint now) {
  std::vector<std::string> released;
  for (const std::string &worker : this->probesDue(now - UnprobedReleaseDelay)) {
    if (this->suspects.size() < MaxSuspects)
      this->suspects[worker] = {{}, JobsToQuarantine - 1, this->quarantined.at(worker).delay};
    this->quarantined.erase(worker);
    released.push_back(worker);
  }
  return released;
}

bool WorkerHealth::isQuarantined(const std::string &worker) const {
  return this->quarantined.count(worker) != 0;
}

} // namespace banyanrill::placement
