#include "Preemption.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Resources;

namespace {

// Workers examined in one search; bounds its cost independently of the size of the cell.
constexpr std::size_t WorkersPerSearch = 64;
// A task that was preempted this often is not preempted again for priority, so that it can finish.
constexpr std::uint32_t MaxPreemptions = 3;
// Seconds of work lost by a task that writes a checkpoint: the checkpoint takes at most 2 s.
constexpr double CheckpointCostSeconds = 2.0;

struct Candidate {
  double cost = 0;
  Eviction eviction;
  std::size_t evaluatedAfter = 0; ///< Number of slots taken before it was evaluated.
};

using ReclaimedByTeam = std::map<const Team *, Resources>;

/// Capacity and victims already taken, and quota reclaimed, by earlier slots of the same search.
struct SearchState {
  std::map<std::uint32_t, Resources> taken;
  std::set<TaskRef> victims;
  ReclaimedByTeam reclaimed;
};

double preemptionCost(const TaskRef &ref, base::TimePoint now) {
  const Task &task = ref.job->tasks[ref.index];
  const double run = static_cast<double>((now - task.since).count()) / 1e6;
  const double lost =
      ref.job->spec.checkpointable ? std::min(run, CheckpointCostSeconds) : std::max(run, 0.0);
  const double weight = static_cast<double>(task.held.millicores) / 1000.0 +
                        8.0 * static_cast<double>(task.held.accelerators);
  // Stopping one task of a gang restarts the whole gang.
  const double tasks = ref.job->isGang() ? ref.job->active : 1;
  return (1.0 + lost) * (0.1 + weight) * tasks;
}

bool isReclaimable(const TaskRef &ref, const Job &claimant, const SearchState &search,
                   const ReclaimedByTeam &chosen) {
  const Team &lender = *claimant.team;
  const Team &borrower = *ref.job->team;
  if (!lender.quota || !borrower.borrows() || (&lender == &borrower && claimant.spec.preemptible))
    return false;
  Resources rest = borrower.used - borrower.stopping;
  for (const ReclaimedByTeam *reclaimed : {&search.reclaimed, &chosen}) {
    const auto found = reclaimed->find(&borrower);
    if (found != reclaimed->end())
      rest = rest - found->second;
  }
  return !rest.fitsIn(*borrower.quota);
}

bool isVictim(const TaskRef &ref, const Job &claimant, const SearchState &search,
              const ReclaimedByTeam &chosen) {
  const Job &job = *ref.job;
  const Task &task = job.tasks[ref.index];
  if (&job == &claimant || !job.spec.preemptible || job.ending ||
      task.phase == TaskPhase::Stopping || search.victims.count(ref) != 0)
    return false;
  if (job.spec.priority < claimant.spec.priority && task.preemptions < MaxPreemptions)
    return true;
  return isReclaimable(ref, claimant, search, chosen);
}

bool evaluateWorker(std::uint32_t slot, const PreemptionRequest &request,
                    const WorkerIndex &workers, const SearchState &search, Candidate &result) {
  const Worker &worker = workers.at(slot);
  const Resources &demand = request.query.demand;
  if (!worker.isUsable() || !workers.zoneAllowed(request.query, worker.zone) ||
      request.query.avoids(slot) || !demand.fitsIn(worker.view.capacity))
    return false;
  Resources free = worker.generalFree();
  const auto taken = search.taken.find(slot);
  if (taken != search.taken.end())
    free = free - taken->second;
  result = {0, {slot, {}}, result.evaluatedAfter};
  if (demand.fitsIn(free))
    return true;
  std::vector<std::pair<double, TaskRef>> eligible;
  for (const TaskRef &ref : worker.tasks) {
    if (isVictim(ref, *request.claimant, search, {}))
      eligible.emplace_back(preemptionCost(ref, request.now), ref);
  }
  std::sort(eligible.begin(), eligible.end());
  // Prefers a single sufficient victim to several cheaper ones.
  for (const auto &[cost, ref] : eligible) {
    if (!demand.fitsIn(free + ref.job->tasks[ref.index].held))
      continue;
    result = {cost, {slot, {ref}}, result.evaluatedAfter};
    return true;
  }
  std::vector<std::pair<double, TaskRef>> chosen;
  ReclaimedByTeam reclaimed;
  for (const auto &[cost, ref] : eligible) {
    if (demand.fitsIn(free))
      break;
    if (!isVictim(ref, *request.claimant, search, reclaimed))
      continue;
    const Resources &held = ref.job->tasks[ref.index].held;
    free = free + held;
    reclaimed[ref.job->team] = reclaimed[ref.job->team] + held;
    chosen.emplace_back(cost, ref);
  }
  if (!demand.fitsIn(free))
    return false;
  // Later victims may have made earlier ones unnecessary; drops unnecessary ones, most expensive
  // first.
  for (auto entry = chosen.rbegin(); entry != chosen.rend(); ++entry) {
    const Resources &held = entry->second.job->tasks[entry->second.index].held;
    if (demand.fitsIn(free - held)) {
      free = free - held;
      continue;
    }
    result.cost += entry->first;
    result.eviction.victims.push_back(entry->second);
  }
  assert(!result.eviction.victims.empty());
  // Stops in the order of choice, in which each borrowing team still borrows when its task is
  // stopped.
  std::reverse(result.eviction.victims.begin(), result.eviction.victims.end());
  return true;
}

bool isBetter(const Candidate &a, const Candidate &b) {
  if (a.eviction.victims.size() != b.eviction.victims.size())
    return a.eviction.victims.size() < b.eviction.victims.size();
  return a.cost < b.cost;
}

} // namespace

void PreemptionIndex::add(std::int32_t priority, std::uint32_t slot) {
  ++this->byPriority[priority][slot];
}

void PreemptionIndex::remove(std::int32_t priority, std::uint32_t slot) {
  const auto level = this->byPriority.find(priority);
  assert(level != this->byPriority.end());
  const auto count = level->second.find(slot);
  assert(count != level->second.end());
  if (--count->second > 0)
    return;
  level->second.erase(count);
  if (level->second.empty())
    this->byPriority.erase(level);
}

std::vector<std::uint32_t> PreemptionIndex::workersBelow(std::int32_t priority, std::size_t limit,
                                                         base::RandomSource &random) const {
  std::vector<std::uint32_t> found;
  for (const auto &[level, slots] : this->byPriority) {
    if (level >= priority || found.size() >= limit)
      break;
    // A random start spreads the searches over all workers of the priority level.
    const std::uint32_t last = slots.rbegin()->first;
    auto entry = slots.lower_bound(static_cast<std::uint32_t>(random.below(last + 1ULL)));
    for (std::size_t seen = 0; seen < slots.size() && found.size() < limit; ++seen, ++entry) {
      if (entry == slots.end())
        entry = slots.begin();
      found.push_back(entry->first);
    }
  }
  return found;
}

std::vector<Eviction> findEvictions(const PreemptionRequest &request, const WorkerIndex &workers,
                                    const PreemptionIndex &index, const QuotaTable &quotas,
                                    base::RandomSource &random) {
  const std::size_t width = std::max(WorkersPerSearch, std::size_t{2} * request.slotsWanted);
  std::vector<std::uint32_t> slots =
      index.workersBelow(request.claimant->spec.priority, width, random);
  if (request.claimant->team->quota) {
    for (const auto &[name, team] : quotas.borrowers()) {
      for (const TaskRef &ref : team->preemptible) {
        if (slots.size() >= 2 * width)
          break;
        slots.push_back(ref.job->tasks[ref.index].worker);
      }
    }
  }
  std::sort(slots.begin(), slots.end());
  slots.erase(std::unique(slots.begin(), slots.end()), slots.end());

  std::vector<Eviction> evictions;
  SearchState search;
  std::map<std::uint32_t, Candidate> candidates;
  for (const std::uint32_t slot : slots) {
    Candidate candidate;
    if (evaluateWorker(slot, request, workers, search, candidate))
      candidates.emplace(slot, std::move(candidate));
  }
  while (evictions.size() < request.slotsWanted) {
    auto best = candidates.end();
    for (auto entry = candidates.begin(); entry != candidates.end(); ++entry) {
      if (best == candidates.end() || isBetter(entry->second, best->second))
        best = entry;
    }
    if (best == candidates.end())
      break;
    const std::uint32_t slot = best->first;
    // Slots taken since the evaluation may have made its victims ineligible, for example because
    // their team no longer borrows.
    if (best->second.evaluatedAfter != evictions.size()) {
      best->second.evaluatedAfter = evictions.size();
      if (!evaluateWorker(slot, request, workers, search, best->second))
        candidates.erase(best);
      continue;
    }
    Resources &taken = search.taken[slot];
    taken = taken + request.query.demand;
    for (const TaskRef &ref : best->second.eviction.victims) {
      const Resources &held = ref.job->tasks[ref.index].held;
      taken = taken - held;
      search.victims.insert(ref);
      search.reclaimed[ref.job->team] = search.reclaimed[ref.job->team] + held;
    }
    evictions.push_back(best->second.eviction);
  }
  if (request.allOrNone && evictions.size() < request.slotsWanted)
    return {};
  return evictions;
}

} // namespace banyanrill::placement
