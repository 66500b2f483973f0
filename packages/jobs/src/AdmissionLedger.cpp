#include "AdmissionLedger.h"

#include "StepQueue.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::jobs {

namespace {

/// Rates follow a change of the load within a few seconds; bursts last 4 to 7 s.
constexpr double RateTimeMs = 3000;

/// The rate of completed work counts once the room has been full for this long.
constexpr base::Duration FullTime = std::chrono::milliseconds(2000);

/// An accepted submission that is not in the table by then was lost with its leader.
constexpr base::Duration CommitTime = std::chrono::milliseconds(2000);

/// The last of many parallel tasks ends this much later than estimated, as in the order of steps.
constexpr double TailFactor = 1.5;

/// Queues and workspaces without jobs are forgotten beyond this number.
constexpr std::size_t MaxIdleNames = 1024;

/// Corrections of estimates beyond this come from too few samples.
constexpr double MaxCorrection = 4;

base::Duration milliseconds(double count) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(count));
}

double between(base::TimePoint from, base::TimePoint to) {
  return std::max(std::chrono::duration<double, std::milli>(to - from).count(), 0.0);
}

/// Millicores of one task; nothing if it runs for good or only on idle processors.
double coresOf(const Step &step) {
  return step.bestEffortCpu ? 0 : static_cast<double>(step.demand.millicores);
}

double workOf(const Step &step) {
  return step.longRunning ? 0 : coresOf(step) * static_cast<double>(step.estimatedMs);
}

double totalWork(const JobSpec &spec) {
  double work = 0;
  for (const Step &step : spec.steps)
    work += workOf(step) * step.count;
  return work;
}

} // namespace

void RecentRate::add(double amount, base::TimePoint now) {
  this->sum = this->sum * std::exp(-between(this->updated, now) / RateTimeMs) + amount;
  this->updated = now;
}

double RecentRate::at(base::TimePoint now, base::TimePoint since) const {
  const double counted = 1 - std::exp(-std::max(between(since, now), 1.0) / RateTimeMs);
  return this->sum * std::exp(-between(this->updated, now) / RateTimeMs) / (RateTimeMs * counted);
}

void AdmissionLedger::setPhase(Entry &entry, Phase phase) {
  QueueSums &sums = this->queues[entry.queue];
  sums.waiting.at(static_cast<std::size_t>(entry.phase)) -= entry.waiting;
  entry.phase = phase;
  sums.waiting.at(static_cast<std::size_t>(entry.phase)) += entry.waiting;
}

void AdmissionLedger::setWaiting(Entry &entry, double waiting) {
  this->queues[entry.queue].waiting.at(static_cast<std::size_t>(entry.phase)) +=
      waiting - entry.waiting;
  entry.waiting = waiting;
}

AdmissionLedger::Entry &AdmissionLedger::enter(const JobSpec &spec, const Queue &queue,
                                               const std::string &workspace,
                                               base::TimePoint accepted, base::TimePoint now) {
  Entry &entry = this->jobs[spec.id];
  entry.queue = queue.name;
  entry.workspace = workspace;
  entry.total = totalWork(spec);
  const auto target = static_cast<double>(targetDurationMs(spec, queue));
  const auto chain = static_cast<double>(criticalPathMs(spec));
  entry.worthlessAt = accepted + milliseconds(static_cast<double>(NoValueFactor) * target - chain);
  // The most urgent work is never late, and occurrences of repeated jobs have times of their own.
  entry.lateAt = queue.priority == 0 ? entry.worthlessAt
                                     : accepted + milliseconds(target - chain * TailFactor);
  if (spec.repeatCount > 0)
    entry.lateAt = entry.worthlessAt = base::TimePoint::max();
  this->phaseEnds.emplace(std::min(entry.lateAt, entry.worthlessAt), spec.id);
  QueueSums &sums = this->queues[queue.name];
  sums.priority = queue.priority;
  ++sums.jobs;
  Workspace &owner = this->workspaces[workspace];
  ++owner.jobs;
  if (now != this->started) {
    sums.arriving.add(entry.total, now);
    owner.accepted.add(1, now);
  }
  return entry;
}

void AdmissionLedger::drop(const std::string &id, bool succeeded, base::TimePoint now) {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end())
    return;
  Entry &entry = found->second;
  this->setWaiting(entry, 0);
  this->running -= entry.running;
  this->phaseEnds.erase({std::min(entry.lateAt, entry.worthlessAt), id});
  this->phaseEnds.erase({entry.worthlessAt, id});
  QueueSums &sums = this->queues[entry.queue];
  if (succeeded)
    sums.completed.add(std::max(entry.total - entry.succeeded, 0.0), now);
  if (--sums.jobs == 0) {
    sums.waiting = {};
    if (this->queues.size() > MaxIdleNames)
      this->queues.erase(entry.queue);
  }
  if (--this->workspaces[entry.workspace].jobs == 0 && this->workspaces.size() > MaxIdleNames)
    this->workspaces.erase(entry.workspace);
  this->jobs.erase(found);
  if (this->jobs.empty())
    this->running = 0;
}

void AdmissionLedger::refresh(const std::string &id, const Job *job, base::TimePoint now,
                              std::int64_t wallClockMs) {
  this->expected.erase(id);
  if (job == nullptr || job->phase != JobPhase::Active) {
    this->drop(id, job != nullptr && job->phase == JobPhase::Succeeded, now);
    return;
  }
  const auto known = this->jobs.find(id);
  const auto age = static_cast<double>(std::max<std::int64_t>(wallClockMs - job->acceptedMs, 0));
  Entry &entry = known != this->jobs.end() ? known->second
                                           : this->enter(job->spec, job->queue, job->workspace,
                                                         now - milliseconds(age), now);
  double waiting = 0;
  double succeeded = 0;
  double running = 0;
  for (const auto &[number, occurrence] : job->occurrences) {
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
      const Step &step = job->spec.steps[index];
      const StepProgress &progress = occurrence.steps[index];
      const std::uint32_t begun = std::min(progress.succeeded + progress.placements, step.count);
      waiting += workOf(step) * (step.count - begun);
      succeeded += workOf(step) * progress.succeeded;
      running += coresOf(step) * progress.placements;
    }
  }
  this->running += running - entry.running;
  entry.running = running;
  this->setWaiting(entry, waiting);
  if (succeeded > entry.succeeded)
    this->queues[entry.queue].completed.add(succeeded - entry.succeeded, now);
  entry.succeeded = succeeded;
  // Work that has begun is done before work that came later.
  if (job->started && entry.phase == Phase::InTime && entry.lateAt < entry.worthlessAt) {
    this->phaseEnds.erase({entry.lateAt, id});
    entry.lateAt = entry.worthlessAt;
    this->phaseEnds.emplace(entry.worthlessAt, id);
  }
}

void AdmissionLedger::expect(const JobSpec &spec, const Queue &queue, const std::string &workspace,
                             base::TimePoint now) {
  if (this->jobs.count(spec.id) != 0)
    return;
  Entry &entry = this->enter(spec, queue, workspace, now, now);
  this->setWaiting(entry, spec.repeatCount == 0 ? entry.total : 0);
  this->expected.insert(spec.id);
  this->expectedUntil.emplace_back(now + CommitTime, spec.id);
}

void AdmissionLedger::advance(base::TimePoint now) {
  for (; !this->expectedUntil.empty() && this->expectedUntil.front().first <= now;
       this->expectedUntil.pop_front()) {
    if (this->expected.erase(this->expectedUntil.front().second) != 0)
      this->drop(this->expectedUntil.front().second, false, now);
  }
  while (!this->phaseEnds.empty() && this->phaseEnds.begin()->first <= now) {
    const std::string id = this->phaseEnds.begin()->second;
    this->phaseEnds.erase(this->phaseEnds.begin());
    Entry &entry = this->jobs.at(id);
    if (entry.worthlessAt <= now) {
      this->setPhase(entry, Phase::Worthless);
      continue;
    }
    this->setPhase(entry, Phase::Late);
    this->phaseEnds.emplace(entry.worthlessAt, id);
  }
}

void AdmissionLedger::setCapacity(std::int64_t millicores, base::TimePoint now) {
  this->capacity = static_cast<double>(millicores);
  const bool full = this->running >= AdmissionPolicy::FullShare * this->capacity;
  if (full && !this->isFull) {
    this->fullSince = now;
    for (auto &[name, sums] : this->queues)
      sums.completed = RecentRate();
  }
  this->isFull = full;
}

AdmissionLoad AdmissionLedger::load(const SpeedTable &speeds, base::TimePoint now) {
  this->advance(now);
  AdmissionLoad load;
  load.capacity = this->capacity;
  load.running = this->running;
  load.measuredFor = now - this->started;
  const bool isMeasured = this->isFull && now - this->fullSince >= FullTime;
  for (const auto &[name, sums] : this->queues) {
    const double factor = correctionOf(speeds, name);
    WaitingWork &work = load.byPriority[sums.priority];
    work.inTime += factor * std::max(sums.waiting.at(0), 0.0);
    work.late += factor * std::max(sums.waiting.at(1), 0.0);
    work.worthless += factor * std::max(sums.waiting.at(2), 0.0);
    work.arriving += factor * sums.arriving.at(now, this->started);
    load.rate += isMeasured ? factor * sums.completed.at(now, this->fullSince) : 0;
  }
  return load;
}

double AdmissionLedger::correctionOf(const SpeedTable &speeds, const std::string &queue) {
  constexpr std::int64_t SampleMs = 1000;
  const double expected =
      std::chrono::duration<double, std::milli>(speeds.expected(0, queue, SampleMs)).count();
  return std::clamp(expected / SampleMs, 1 / MaxCorrection, MaxCorrection);
}

double AdmissionLedger::acceptedPerSecond(const std::string &workspace, base::TimePoint now) const {
  const auto found = this->workspaces.find(workspace);
  return found == this->workspaces.end() ? 0 : 1000 * found->second.accepted.at(now, this->started);
}

} // namespace banyanrill::jobs
