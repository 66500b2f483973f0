#include "StepQueue.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// A job that ends later than this many times its aim is worth nothing any more.
constexpr std::int64_t WorthlessFactor = 3;

base::Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }

std::int64_t aimOf(const Job &job) {
  return static_cast<std::int64_t>(job.queue.stretch *
                                   static_cast<double>(longestChain(job.spec))) +
         job.queue.latencyMs;
}

bool hasWork(const Job &job, const Occurrence &occurrence, std::uint32_t index) {
  const StepProgress &progress = occurrence.steps[index];
  if (!Table::isReady(job, occurrence, index))
    return false;
  // The members of a gang start together, so the last run must be gone entirely.
  if (job.spec.steps[index].gang && progress.placements > 0)
    return false;
  return std::any_of(progress.tasks.begin(), progress.tasks.end(),
                     [](const Task &task) { return task.phase == TaskPhase::Waiting; });
}

} // namespace

std::int64_t chainFrom(const JobSpec &spec, std::uint32_t step) {
  std::int64_t longest = 0;
  for (std::uint32_t later = step + 1; later < spec.steps.size(); ++later) {
    const std::vector<std::uint32_t> &after = spec.steps[later].after;
    if (std::find(after.begin(), after.end(), step) != after.end())
      longest = std::max(longest, chainFrom(spec, later));
  }
  return spec.steps[step].estimatedMs + longest;
}

std::int64_t longestChain(const JobSpec &spec) {
  std::int64_t longest = 0;
  for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
    if (spec.steps[step].after.empty())
      longest = std::max(longest, chainFrom(spec, step));
  }
  return longest;
}

void StepQueue::refresh(const std::string &id, base::TimePoint now, std::int64_t wallClockMs) {
  this->steps.erase(this->steps.lower_bound({id, 0, 0}),
                    this->steps.upper_bound({id, UINT32_MAX, UINT32_MAX}));
  const Job *job = this->table.findJob(id);
  if (job == nullptr || job->phase != JobPhase::Active) {
    this->acceptedAt.erase(id);
    return;
  }
  // A job of an earlier leader's term is as old as its log time says.
  const std::int64_t ageMs = std::max<std::int64_t>(0, wallClockMs - job->acceptedMs);
  this->acceptedAt.try_emplace(id, now - milliseconds(ageMs));
  for (const auto &[number, occurrence] : job->occurrences) {
    for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
      if (hasWork(*job, occurrence, index))
        this->steps.insert({id, number, index});
    }
  }
}

OpenStep StepQueue::describe(const StepKey &key, const Job &job, base::TimePoint now) const {
  OpenStep open;
  open.key = key;
  open.job = &job;
  open.step = &job.spec.steps[key.step];
  open.progress = &job.occurrences.at(key.occurrence).steps[key.step];
  base::TimePoint due = this->acceptedAt.at(key.job);
  if (job.spec.repeatCount > 0)
    due +=
        milliseconds(job.spec.firstStartMs + job.spec.intervalMs * key.occurrence - job.acceptedMs);
  const std::int64_t aim = aimOf(job);
  const base::Duration chain = milliseconds(chainFrom(job.spec, key.step));
  open.latestStart = due + milliseconds(aim) - chain;
  if (open.step->longRunning)
    return open;
  if (now > due + milliseconds(aim * WorthlessFactor) - chain)
    open.tier = 2;
  else if (now > open.latestStart)
    open.tier = 1;
  return open;
}

std::vector<OpenStep> StepQueue::ordered(base::TimePoint now) const {
  std::vector<OpenStep> result;
  result.reserve(this->steps.size());
  for (const StepKey &key : this->steps) {
    if (const Job *job = this->table.findJob(key.job))
      result.push_back(this->describe(key, *job, now));
  }
  std::sort(result.begin(), result.end(), [](const OpenStep &left, const OpenStep &right) {
    if (left.tier != right.tier)
      return left.tier < right.tier;
    return left.latestStart != right.latestStart ? left.latestStart < right.latestStart
                                                 : left.key < right.key;
  });
  return result;
}

} // namespace banyanrill::jobs
