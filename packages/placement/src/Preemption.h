// Chooses tasks to stop so that work of higher priority, or the team whose quota is borrowed, gets
// capacity.
#pragma once

#include "QuotaTable.h"
#include "WorkerIndex.h"

#include <map>

namespace banyanrill::placement {

/// Number of preemptible tasks by priority and worker, so that a search starts at the lowest
/// priority. Not thread-safe.
class PreemptionIndex {
public:
  void add(std::int32_t priority, std::uint32_t slot);
  void remove(std::int32_t priority, std::uint32_t slot);

  /// Returns at most `limit` workers that run preemptible tasks below the priority, lowest first.
  std::vector<std::uint32_t> workersBelow(std::int32_t priority, std::size_t limit,
                                          base::RandomSource &random) const;

private:
  std::map<std::int32_t, std::map<std::uint32_t, std::uint32_t>> byPriority;
};

/// One worker and the tasks to stop on it. The demand fits once the stops are confirmed.
struct Eviction {
  std::uint32_t slot = NoWorker;
  std::vector<TaskRef> victims;
};

struct PreemptionRequest {
  const Job *claimant = nullptr;
  Query query;
  std::uint32_t slotsWanted = 1;
  bool allOrNone = false; ///< For a gang: find all slots, or none.
  base::TimePoint now;
};

/// Returns evictions for at most `slotsWanted` tasks, one for each. Victims are preemptible and
/// either have strictly lower priority, or belong to a team that borrows while the claimant's team
/// has a quota that admits the demand. Among the searched workers the fewest victims are chosen,
/// then the cheapest; the cost is the work lost.
std::vector<Eviction> findEvictions(const PreemptionRequest &request, const WorkerIndex &workers,
                                    const PreemptionIndex &index, const QuotaTable &quotas,
                                    base::RandomSource &random);

} // namespace banyanrill::placement
