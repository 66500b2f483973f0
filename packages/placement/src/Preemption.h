// Chooses tasks to stop so that more urgent work, or the lender of a quota, gets capacity.
#pragma once

#include "QuotaTable.h"
#include "WorkerIndex.h"

#include <map>

namespace banyanrill::placement {

/// Preemptible tasks by priority and worker, so that a search starts at the least urgent ones.
/// Not thread-safe.
class PreemptionIndex {
public:
  void add(std::int32_t priority, std::uint32_t slot);
  void remove(std::int32_t priority, std::uint32_t slot);

  /// Workers that run preemptible tasks below the priority, least urgent first, at most `limit`.
  std::vector<std::uint32_t> workersBelow(std::int32_t priority, std::size_t limit,
                                          base::RandomSource &random) const;

private:
  std::map<std::int32_t, std::map<std::uint32_t, std::uint32_t>> byPriority;
};

/// One worker and the tasks to stop on it, so that the demand fits once they are confirmed gone.
struct Eviction {
  std::uint32_t slot = NoWorker;
  std::vector<TaskRef> victims;
};

struct PreemptionRequest {
  const Job *claimant = nullptr;
  Query query;
  std::uint32_t slotsWanted = 1;
  bool allOrNone = false; ///< For a gang: all slots are found, or none.
  base::TimePoint now;
};

/// Evictions for at most `slotsWanted` tasks, one for each. Victims are preemptible and
/// of strictly lower priority, or belong to a team that borrows while the claimant's team has a
/// quota that admits the demand. The fewest and cheapest victims are chosen among the workers
/// looked at; work lost is the cost.
std::vector<Eviction> findEvictions(const PreemptionRequest &request, const WorkerIndex &workers,
                                    const PreemptionIndex &index, const QuotaTable &quotas,
                                    base::RandomSource &random);

} // namespace banyanrill::placement
