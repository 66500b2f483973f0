#include "StepQueue.h"

#include <algorithm>
#include <functional>

namespace banyanrill::jobs {

namespace {

/// A job that ends later than this many times its aim is worth nothing any more.
constexpr std::int64_t NoValueFactor = 3;

/// A gang collects room and tickets for all its members, and the more members, the longer it takes.
constexpr base::Duration GangLead = std::chrono::milliseconds(3000);
constexpr base::Duration GangLeadPerMember = std::chrono::milliseconds(15);

/// A step of one priority comes before one of the next priority that must start this much earlier.
/// Under a shortage urgent work wins, and less urgent work still gets its turn by its age.
constexpr base::Duration AgeingPerPriority = std::chrono::milliseconds(3000);

/// Steps that can still meet their target start in the order of this time.
base::TimePoint orderingTime(const OpenStep &open) {
  const base::TimePoint aged =
      open.latestStart + AgeingPerPriority * static_cast<std::int64_t>(open.job->queue.priority);
  if (!open.step->gang)
    return aged;
  return aged - GangLead - GangLeadPerMember * static_cast<std::int64_t>(open.step->count);
}

base::Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }

/// The last of many parallel tasks ends this much later than estimated, in parts of the estimate.
constexpr double TailShare = 0.5;

/// Returns how many rounds the tasks need if the workspace may run only so many of them at once.
std::int64_t roundsOf(const Step &step, std::size_t tasks, const base::Resources &limit) {
  const base::Resources demand = demandOf(step);
  std::int64_t atOnce = INT32_MAX;
  const auto narrow = [&atOnce](std::int64_t allowed, std::int64_t each) {
    if (allowed > 0 && each > 0)
      atOnce = std::min(atOnce, std::max<std::int64_t>(allowed / each, 1));
  };
  narrow(limit.millicores, demand.millicores);
  narrow(limit.memoryMib, demand.memoryMib);
  narrow(limit.accelerators, demand.accelerators);
  return (static_cast<std::int64_t>(tasks) + atOnce - 1) / atOnce;
}

/// What is left of a job's critical path when this step starts.
base::Duration remainingTime(const Job &job, std::uint32_t step) {
  const auto chainMs = static_cast<double>(criticalPathFrom(job.spec, step));
  const bool hasTail = !job.spec.steps[step].gang && job.spec.steps[step].count > 1;
  return milliseconds(static_cast<std::int64_t>(hasTail ? chainMs * (1 + TailShare) : chainMs));
}

std::int64_t targetDurationMs(const Job &job) {
  return static_cast<std::int64_t>(job.queue.stretch *
                                   static_cast<double>(criticalPathMs(job.spec))) +
         job.queue.latencyMs;
}

/// Returns the indices of the tasks that may be placed now.
std::vector<std::uint32_t> waitingTasks(const Job &job, const Occurrence &occurrence,
                                        std::uint32_t index) {
  const StepProgress &progress = occurrence.steps[index];
  std::vector<std::uint32_t> waiting;
  if (!Table::isReady(job, occurrence, index))
    return waiting;
  // The members of a gang start together, so the last run must be gone entirely.
  if (job.spec.steps[index].gang && progress.placements > 0)
    return waiting;
  for (std::uint32_t task = 0; task < progress.tasks.size(); ++task) {
    if (progress.tasks[task].phase == TaskPhase::Waiting)
      waiting.push_back(task);
  }
  return waiting;
}

} // namespace

std::int64_t criticalPathFrom(const JobSpec &spec, std::uint32_t step) {
  std::int64_t longest = 0;
  for (std::uint32_t later = step + 1; later < spec.steps.size(); ++later) {
    const std::vector<std::uint32_t> &after = spec.steps[later].after;
    if (std::find(after.begin(), after.end(), step) != after.end())
      longest = std::max(longest, criticalPathFrom(spec, later));
  }
  return spec.steps[step].estimatedMs + longest;
}

std::int64_t criticalPathMs(const JobSpec &spec) {
  std::int64_t longest = 0;
  for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
    if (spec.steps[step].after.empty())
      longest = std::max(longest, criticalPathFrom(spec, step));
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
      std::vector<std::uint32_t> waiting = waitingTasks(*job, occurrence, index);
      if (waiting.empty())
        continue;
      OpenStep open = this->describe({id, number, index}, *job, std::move(waiting));
      this->steps.emplace(open.key, std::move(open));
    }
  }
}

std::vector<std::string> StepQueue::jobs() const {
  std::vector<std::string> ids;
  ids.reserve(this->acceptedAt.size());
  for (const auto &[id, accepted] : this->acceptedAt)
    ids.push_back(id);
  return ids;
}

OpenStep StepQueue::describe(const StepKey &key, const Job &job,
                             std::vector<std::uint32_t> waiting) const {
  OpenStep open;
  open.waiting = std::move(waiting);
  open.workspace = this->ledger.numberOf(job.workspace);
  open.key = key;
  open.job = &job;
  open.step = &job.spec.steps[key.step];
  open.progress = &job.occurrences.at(key.occurrence).steps[key.step];
  base::TimePoint due = this->acceptedAt.at(key.job);
  if (job.spec.repeatCount > 0)
    due +=
        milliseconds(job.spec.firstStartMs + job.spec.intervalMs * key.occurrence - job.acceptedMs);
  open.due = due;
  const std::int64_t aim = targetDurationMs(job);
  const base::Duration chain = remainingTime(job, key.step) + this->timeOfFurtherRounds(open, job);
  open.latestStart = due + milliseconds(aim) - chain;
  open.latestUsefulStart = due + milliseconds(aim * NoValueFactor) - chain;
  if (open.step->longRunning) {
    // What lasts earns as long as it runs, so it is never late.
    open.latestStart = due + milliseconds(aim);
    open.latestUsefulStart = base::TimePoint::max();
  }
  return open;
}

base::Duration StepQueue::timeOfFurtherRounds(const OpenStep &open, const Job &job) const {
  const base::Resources &limit = this->ledger.limitOf(open.workspace);
  if (limit == base::Resources())
    return {};
  const auto further = [&](const Step &step, std::size_t tasks) {
    return step.gang ? 0 : step.estimatedMs * (roundsOf(step, tasks, limit) - 1);
  };
  // The longest chain with rounds, less the longest without.
  const std::function<std::int64_t(std::uint32_t)> chainFrom = [&](std::uint32_t index) {
    std::int64_t longest = 0;
    for (std::uint32_t later = index + 1; later < job.spec.steps.size(); ++later) {
      const std::vector<std::uint32_t> &after = job.spec.steps[later].after;
      if (std::find(after.begin(), after.end(), index) != after.end())
        longest = std::max(longest, chainFrom(later));
    }
    const Step &step = job.spec.steps[index];
    const std::size_t tasks = index == open.key.step ? open.waiting.size() : step.count;
    return step.estimatedMs + further(step, tasks) + longest;
  };
  return milliseconds(chainFrom(open.key.step) - criticalPathFrom(job.spec, open.key.step));
}

std::vector<const OpenStep *> StepQueue::ordered(base::TimePoint now) const {
  std::vector<const OpenStep *> result;
  result.reserve(this->steps.size());
  for (const auto &[key, open] : this->steps)
    result.push_back(&open);
  std::sort(result.begin(), result.end(), [now](const OpenStep *left, const OpenStep *right) {
    const std::uint32_t leftTier = left->tierAt(now);
    const std::uint32_t rightTier = right->tierAt(now);
    if (leftTier != rightTier)
      return leftTier < rightTier;
    const base::TimePoint leftTime = orderingTime(*left);
    const base::TimePoint rightTime = orderingTime(*right);
    return leftTime != rightTime ? leftTime < rightTime : left->key < right->key;
  });
  return result;
}

} // namespace banyanrill::jobs
