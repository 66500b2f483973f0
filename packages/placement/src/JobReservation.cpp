#include "JobReservation.h"

#include "Slots.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Duration;
using base::Resources;

namespace {

// Run time estimates can be wrong by a large factor. When the reservation expires it is granted
// again from current estimates, and another waiting job may get it.
constexpr Duration MaxReservationTime = std::chrono::minutes(15);
constexpr Duration MinReservationTime = std::chrono::minutes(1);

struct Release {
  Duration in;
  std::uint32_t slot;
  Resources amount;
};

} // namespace

bool JobReservation::grant(Job &holder, std::uint32_t slotsWanted, const Query &query,
                           WorkerIndex &workers, const RunTimeEstimator &runTimes,
                           base::TimePoint now) {
  assert(this->job == nullptr && slotsWanted > 0);
  std::unordered_map<std::uint32_t, Resources> free;
  std::vector<Release> releases;
  std::int64_t total = 0;
  for (std::uint32_t slot = 0; slot < workers.size(); ++slot) {
    const Worker &worker = workers.at(slot);
    if (!worker.isUsable() || !workers.zoneAllowed(query, worker.zone) ||
        !query.demand.fitsIn(worker.view.capacity))
      continue;
    free[slot] = worker.unclaimedFree();
    total += slotsIn(free[slot], query.demand);
    for (const TaskRef &ref : worker.tasks) {
      if (ref.job->isService())
        continue;
      const Task &task = ref.job->tasks[ref.index];
      releases.push_back({runTimes.remaining(*ref.job, task, now), slot, task.held});
    }
  }
  std::sort(releases.begin(), releases.end(),
            [](const Release &a, const Release &b) { return a.in < b.in; });
  Duration wait{0};
  for (const Release &release : releases) {
    if (total >= slotsWanted)
      break;
    Resources &rest = free[release.slot];
    total -= slotsIn(rest, query.demand);
    rest = rest + release.amount;
    total += slotsIn(rest, query.demand);
    wait = release.in;
  }
  if (total < slotsWanted)
    return false;
  // Workers with the most slots first, so that fewer workers are withheld from other work.
  std::vector<std::pair<std::int64_t, std::uint32_t>> order;
  for (const auto &[slot, rest] : free) {
    const std::int64_t slots = slotsIn(rest, query.demand);
    if (slots > 0)
      order.emplace_back(-slots, slot);
  }
  std::sort(order.begin(), order.end());
  std::int64_t missing = slotsWanted;
  for (const auto &[negative, slot] : order) {
    if (missing <= 0)
      break;
    const std::int64_t used = std::min(missing, -negative);
    this->reserved[slot] = query.demand * used;
    missing -= used;
  }
  this->job = &holder;
  this->granted = now;
  this->expectedStart = now + wait;
  this->expiry = now + std::clamp(wait * 3 / 2, MinReservationTime, MaxReservationTime);
  this->resume(workers);
  return true;
}

void JobReservation::cancel(WorkerIndex &workers) {
  this->suspend(workers);
  workers.recordCapacityIncrease();
  this->reserved.clear();
  this->job = nullptr;
}

void JobReservation::suspend(WorkerIndex &workers) const {
  for (const auto &[slot, amount] : this->reserved)
    workers.setReserved(slot, Resources{});
}

void JobReservation::resume(WorkerIndex &workers) const {
  for (const auto &[slot, amount] : this->reserved)
    workers.setReserved(slot, amount);
}

std::uint32_t JobReservation::backfill(const Query &query, const WorkerIndex &workers) const {
  for (const auto &[slot, amount] : this->reserved) {
    const Worker &worker = workers.at(slot);
    if (worker.isUsable() && workers.zoneAllowed(query, worker.zone) && !query.avoids(slot) &&
        query.demand.fitsIn(worker.unclaimedFree()))
      return slot;
  }
  return NoWorker;
}

bool JobReservation::covers(std::uint32_t slot) const { return this->reserved.count(slot) != 0; }

} // namespace banyanrill::placement
