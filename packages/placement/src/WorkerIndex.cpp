#include "WorkerIndex.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::placement {

using base::Resources;

namespace {

// Candidates compared for each number of free accelerators. More than 8 changed the packing by less
// than 0.1% in the benchmark.
constexpr int CandidatesPerLevel = 8;
constexpr std::int64_t MaxAcceleratorLevels = 16;
// Covers a partition of 128 workers. In a larger, nearly full partition the maxima of a node come
// from different workers and exclude few of them; a complete search took half of all time at 6,100
// workers. A missed worker is found after the next change of capacity, or by the reservation, which
// examines all workers.
constexpr std::size_t MaxNodesVisited = 256;
// A spread search examines all workers of a partition up to this size and samples a larger one.
constexpr std::size_t MaxSpreadCandidates = 48;

} // namespace

Resources freeForPlainTasks(const Worker &worker, const Resources &free) {
  const Resources &capacity = worker.view.capacity;
  if (capacity.accelerators == 0 || free.accelerators <= 0)
    return free;
  const std::int64_t parts = 2 * capacity.accelerators;
  return {free.millicores - capacity.millicores * free.accelerators / parts,
          free.memoryMib - capacity.memoryMib * free.accelerators / parts, free.accelerators};
}

std::uint32_t WorkerIndex::findOrCreate(const base::WorkerId &id) {
  const auto found = this->slots.find(id.value);
  if (found != this->slots.end())
    return found->second;
  std::uint32_t slot = 0;
  if (!this->freeSlots.empty()) {
    slot = this->freeSlots.back();
    this->freeSlots.pop_back();
    this->workers[slot] = Worker{};
    this->entries[slot] = IndexEntry{};
  } else {
    slot = static_cast<std::uint32_t>(this->workers.size());
    this->workers.emplace_back();
    this->entries.emplace_back();
  }
  this->workers[slot].view.id = id;
  this->workers[slot].view.available = false;
  this->slots.emplace(id.value, slot);
  return slot;
}

std::uint32_t WorkerIndex::find(const base::WorkerId &id) const {
  const auto found = this->slots.find(id.value);
  return found == this->slots.end() ? NoWorker : found->second;
}

std::uint32_t WorkerIndex::update(const WorkerView &view) {
  assert(view.capacity.isValid());
  const std::uint32_t slot = this->findOrCreate(view.id);
  Worker &worker = this->workers[slot];
  const Resources before = worker.isUsable() ? worker.rawFree() : Resources{-1, -1, -1};
  if (worker.known)
    this->removeFromPartition(slot);
  else
    ++this->known;
  worker.known = true;
  worker.view = view;
  const auto zone = std::find(this->zoneNames.begin(), this->zoneNames.end(), view.dataCentre);
  worker.zone = static_cast<std::uint32_t>(zone - this->zoneNames.begin());
  if (zone == this->zoneNames.end()) {
    this->zoneNames.push_back(view.dataCentre);
    this->partitions.resize(2 * this->zoneNames.size());
  }
  const auto number = static_cast<std::uint32_t>(this->rackNumbers.size());
  worker.rack = this->rackNumbers.emplace(view.dataCentre + "/" + view.rack, number).first->second;
  this->insertIntoPartition(slot);
  if (worker.isUsable() && !worker.rawFree().fitsIn(before))
    ++this->version;
  return slot;
}

void WorkerIndex::remove(const base::WorkerId &id) {
  const std::uint32_t slot = this->find(id);
  if (slot == NoWorker || !this->workers[slot].known)
    return;
  this->removeFromPartition(slot);
  this->workers[slot].known = false;
  --this->known;
  this->recycleIfUnused(slot);
}

void WorkerIndex::recycleIfUnused(std::uint32_t slot) {
  const Worker &worker = this->workers[slot];
  if (worker.known || !worker.tasks.empty() || !(worker.claimed == Resources{}))
    return;
  this->slots.erase(worker.view.id.value);
  this->freeSlots.push_back(slot);
}

void WorkerIndex::insertIntoPartition(std::uint32_t slot) {
  Worker &worker = this->workers[slot];
  const bool accelerated = worker.view.capacity.accelerators > 0;
  IndexEntry &at = this->entries[slot];
  at.partition = 2 * worker.zone + (accelerated ? 1 : 0);
  Partition &part = this->partitions[at.partition];
  at.position = static_cast<std::uint32_t>(part.members.size());
  part.members.push_back(slot);
  part.maxAccelerators = std::max(part.maxAccelerators, worker.view.capacity.accelerators);
  if (part.members.size() > part.leaves) {
    part.leaves = std::max<std::size_t>(16, part.leaves * 2);
    part.tree.assign(2 * part.leaves, MaxFree{});
    for (const std::uint32_t member : part.members)
      this->updateEntry(member);
  }
  this->updateEntry(slot);
}

void WorkerIndex::removeFromPartition(std::uint32_t slot) {
  IndexEntry &at = this->entries[slot];
  Partition &part = this->partitions[at.partition];
  if (at.indexed)
    part.byFree.erase(at.key);
  at.indexed = false;
  const std::uint32_t moved = part.members.back();
  part.members[at.position] = moved;
  this->entries[moved].position = at.position;
  part.members.pop_back();
  part.setLeaf(part.members.size(), MaxFree{});
  if (moved != slot)
    this->updateEntry(moved);
}

void WorkerIndex::updateEntry(std::uint32_t slot) {
  const Worker &worker = this->workers[slot];
  if (!worker.known)
    return;
  IndexEntry &at = this->entries[slot];
  Partition &part = this->partitions[at.partition];
  if (at.indexed)
    part.byFree.erase(at.key);
  const Resources free = worker.generalFree();
  at.indexed = worker.isUsable() && free.isValid();
  MaxFree leaf;
  if (at.indexed) {
    at.key = {std::min(free.accelerators, MaxAcceleratorLevels), free.millicores, slot};
    part.byFree.insert(at.key);
    const Resources plain = freeForPlainTasks(worker, free);
    leaf = {free.millicores, free.memoryMib, free.accelerators, plain.millicores, plain.memoryMib};
  }
  part.setLeaf(at.position, leaf);
}

void WorkerIndex::Partition::setLeaf(std::size_t position, const MaxFree &leaf) {
  std::size_t node = this->leaves + position;
  this->tree[node] = leaf;
  for (node /= 2; node > 0; node /= 2) {
    const MaxFree &a = this->tree[2 * node];
    const MaxFree &b = this->tree[2 * node + 1];
    this->tree[node] = {std::max(a.millicores, b.millicores), std::max(a.memoryMib, b.memoryMib),
                        std::max(a.accelerators, b.accelerators),
                        std::max(a.plainMillicores, b.plainMillicores),
                        std::max(a.plainMemoryMib, b.plainMemoryMib)};
  }
}

void WorkerIndex::addTask(std::uint32_t slot, TaskRef task, const Resources &demand) {
  Worker &worker = this->workers[slot];
  worker.tasks.push_back(task);
  worker.allocated = worker.allocated + demand;
  this->updateEntry(slot);
}

void WorkerIndex::removeTask(std::uint32_t slot, TaskRef task, const Resources &demand) {
  Worker &worker = this->workers[slot];
  const auto found = std::find(worker.tasks.begin(), worker.tasks.end(), task);
  assert(found != worker.tasks.end());
  *found = worker.tasks.back();
  worker.tasks.pop_back();
  worker.allocated = worker.allocated - demand;
  assert(worker.allocated.isValid());
  ++this->version;
  this->updateEntry(slot);
  this->recycleIfUnused(slot);
}

void WorkerIndex::addClaim(std::uint32_t slot, const Resources &amount) {
  Worker &worker = this->workers[slot];
  worker.claimed = worker.claimed + amount;
  assert(worker.claimed.isValid());
  ++this->version;
  this->updateEntry(slot);
  this->recycleIfUnused(slot);
}

void WorkerIndex::addTrialClaim(std::uint32_t slot, const Resources &amount) {
  Worker &worker = this->workers[slot];
  worker.claimed = worker.claimed + amount;
  assert(worker.claimed.isValid());
  this->updateEntry(slot);
}

void WorkerIndex::setReserved(std::uint32_t slot, const Resources &amount) {
  this->workers[slot].reserved = amount;
  this->updateEntry(slot);
}

void WorkerIndex::setQuarantined(std::uint32_t slot, bool value) {
  this->workers[slot].quarantined = value;
  ++this->version;
  this->updateEntry(slot);
}

void WorkerIndex::setPenalized(std::uint32_t slot, bool value) {
  this->workers[slot].penalized = value;
  ++this->version;
  this->updateEntry(slot);
}

bool Query::avoids(std::uint32_t slot) const {
  if (slot == this->avoidSlot)
    return true;
  if (this->avoidFailuresOf == nullptr)
    return false;
  const auto found = this->avoidFailuresOf->failuresByWorker.find(slot);
  return found != this->avoidFailuresOf->failuresByWorker.end() && found->second >= 2;
}

bool WorkerIndex::fits(std::uint32_t slot, const Query &query) const {
  const Worker &worker = this->workers[slot];
  if (query.avoids(slot))
    return false;
  const Resources free = worker.generalFree();
  if (!query.demand.fitsIn(free))
    return false;
  if (query.demand.accelerators > 0 || query.useAcceleratorReserve)
    return true;
  return query.demand.fitsIn(freeForPlainTasks(worker, free));
}

double WorkerIndex::leftoverScore(const Worker &worker, const Query &query) const {
  const Resources rest = worker.generalFree() - query.demand;
  const Resources &capacity = worker.view.capacity;
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
  };
  const double processors = share(rest.millicores, capacity.millicores);
  const double memory = share(rest.memoryMib, capacity.memoryMib);
  // An unbalanced remainder is as bad as a large one, since an ordinary task cannot use it.
  return processors + memory + (processors > memory ? processors - memory : memory - processors) +
         4.0 * share(rest.accelerators, capacity.accelerators);
}

std::uint32_t WorkerIndex::searchTree(const Partition &part, const Query &query) const {
  if (part.leaves == 0)
    return NoWorker;
  const bool plain = query.demand.accelerators == 0 && !query.useAcceleratorReserve;
  const auto mayFit = [&query, plain](const MaxFree &peak) {
    return query.demand.millicores <= (plain ? peak.plainMillicores : peak.millicores) &&
           query.demand.memoryMib <= (plain ? peak.plainMemoryMib : peak.memoryMib) &&
           query.demand.accelerators <= peak.accelerators;
  };
  // The capacity version decides which child is visited first, so that a search that reached its
  // limit visits other nodes after the next change.
  std::uint64_t directions = this->version * 0x9e3779b97f4a7c15ULL;
  std::vector<std::size_t> open = {1};
  for (std::size_t visited = 0; !open.empty() && visited < MaxNodesVisited; ++visited) {
    const std::size_t node = open.back();
    open.pop_back();
    directions = (directions >> 1) | (directions << 63);
    if (!mayFit(part.tree[node]))
      continue;
    if (node >= part.leaves) {
      const std::uint32_t slot = part.members[node - part.leaves];
      if (this->fits(slot, query))
        return slot;
      continue;
    }
    open.push_back(2 * node + (directions & 1));
    open.push_back(2 * node + 1 - (directions & 1));
  }
  return NoWorker;
}

void WorkerIndex::searchPartition(const Partition &part, const Query &query, std::uint32_t &best,
                                  double &bestScore) const {
  const std::int64_t last = std::min(part.maxAccelerators, MaxAcceleratorLevels);
  for (std::int64_t level = std::min(query.demand.accelerators, MaxAcceleratorLevels);
       level <= last; ++level) {
    auto candidate = part.byFree.lower_bound({level, query.demand.millicores, 0});
    for (int seen = 0; seen < CandidatesPerLevel; ++seen, ++candidate) {
      if (candidate == part.byFree.end() || std::get<0>(*candidate) != level)
        break;
      const std::uint32_t slot = std::get<2>(*candidate);
      if (!this->fits(slot, query))
        continue;
      const double score = this->leftoverScore(this->workers[slot], query);
      if (score < bestScore) {
        bestScore = score;
        best = slot;
      }
    }
  }
  if (best != NoWorker)
    return;
  // All candidates by free processors may lack memory; the tree search can find any worker that
  // fits.
  const std::uint32_t slot = this->searchTree(part, query);
  if (slot == NoWorker)
    return;
  best = slot;
  bestScore = this->leftoverScore(this->workers[slot], query);
}

bool WorkerIndex::zoneAllowed(const Query &query, std::uint32_t zone) const {
  return query.zones.empty() ||
         std::find(query.zones.begin(), query.zones.end(), zone) != query.zones.end();
}

std::uint32_t WorkerIndex::bestFit(const Query &query) const {
  std::uint32_t best = NoWorker;
  double score = std::numeric_limits<double>::max();
  const std::uint32_t first = query.demand.accelerators > 0 ? 1 : 0;
  for (std::uint32_t kind = first; kind < 2 && best == NoWorker; ++kind) {
    for (std::uint32_t zone = 0; zone < this->zoneNames.size(); ++zone) {
      if (this->zoneAllowed(query, zone))
        this->searchPartition(this->partitions[2 * zone + kind], query, best, score);
    }
  }
  return best;
}

std::uint32_t WorkerIndex::spreadFit(const Query &query, const Job &job,
                                     base::RandomSource &random) const {
  const auto countIn = [](const auto &counts, std::uint32_t key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0U : found->second;
  };
  std::vector<std::pair<std::uint32_t, std::uint32_t>> order;
  for (std::uint32_t zone = 0; zone < this->zoneNames.size(); ++zone) {
    if (this->zoneAllowed(query, zone))
      order.emplace_back(countIn(job.tasksPerZone, zone), zone);
  }
  std::sort(order.begin(), order.end());
  const std::uint32_t first = query.demand.accelerators > 0 ? 1 : 0;
  for (const auto &entry : order) {
    for (std::uint32_t kind = first; kind < 2; ++kind) {
      const Partition &part = this->partitions[2 * entry.second + kind];
      std::uint32_t best = NoWorker;
      std::tuple<std::uint32_t, std::size_t, double> bestScore;
      const bool all = part.members.size() <= MaxSpreadCandidates;
      const std::size_t candidates = all ? part.members.size() : MaxSpreadCandidates;
      for (std::size_t candidate = 0; candidate < candidates; ++candidate) {
        const std::uint32_t slot =
            part.members[all ? candidate : random.below(part.members.size())];
        const Worker &worker = this->workers[slot];
        if (!worker.isUsable() || !this->fits(slot, query))
          continue;
        std::size_t same = 0;
        for (const TaskRef &task : worker.tasks)
          same += task.job == &job ? 1 : 0;
        const std::tuple score(countIn(job.tasksPerRack, worker.rack), same,
                               this->leftoverScore(worker, query));
        if (best == NoWorker || score < bestScore) {
          best = slot;
          bestScore = score;
        }
      }
      if (best != NoWorker)
        return best;
    }
  }
  return this->bestFit(query);
}

std::vector<std::uint32_t> WorkerIndex::zonesOf(const std::vector<std::string> &names,
                                                bool *missing) const {
  std::vector<std::uint32_t> zones;
  for (const std::string &name : names) {
    const auto found = std::find(this->zoneNames.begin(), this->zoneNames.end(), name);
    if (found == this->zoneNames.end())
      *missing = true;
    else
      zones.push_back(static_cast<std::uint32_t>(found - this->zoneNames.begin()));
  }
  return zones;
}

} // namespace banyanrill::placement
