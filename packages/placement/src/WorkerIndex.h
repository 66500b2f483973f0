// Workers with their free capacity, indexed so that a search does not visit every worker.
#pragma once

#include "Model.h"

#include <map>
#include <set>
#include <tuple>

namespace banyanrill::placement {

struct Worker {
  WorkerView view;
  std::uint32_t zone = 0; ///< Number of the data centre.
  std::uint32_t rack = 0; ///< Number of the rack.
  bool known = false; ///< False for a removed worker whose tasks have not been confirmed as ended.
  bool quarantined = false;  ///< Receives probes only.
  bool penalized = false;    ///< Refused a start; its report is out of date.
  base::Resources allocated; ///< Of tasks that are assigned, running or stopping.
  base::Resources claimed;   ///< Being freed by preemption for certain jobs.
  base::Resources reserved;  ///< Withheld from other work for the job that holds the reservation.
  std::vector<TaskRef> tasks;

  /// Not used by tasks or requests; includes claims and reservations. Negative if the worker is
  /// over its capacity.
  base::Resources rawFree() const {
    return this->view.capacity - this->view.requestLoad - this->allocated;
  }
  base::Resources unclaimedFree() const { return this->rawFree() - this->claimed; }
  base::Resources generalFree() const { return this->unclaimedFree() - this->reserved; }
  bool isUsable() const {
    return this->known && this->view.available && !this->quarantined && !this->penalized;
  }
};

/// Conditions of a search. `zones` holds numbers of data centres; empty: any.
struct Query {
  base::Resources demand;
  std::vector<std::uint32_t> zones;
  bool useAcceleratorReserve = false;   ///< May use what is kept for tasks with accelerators.
  const Job *avoidFailuresOf = nullptr; ///< Excludes workers on which this job failed twice,
  std::uint32_t avoidSlot = NoWorker;   ///< and this one.

  bool avoids(std::uint32_t slot) const;
};

/// Not thread-safe.
class WorkerIndex {
public:
  std::uint32_t update(const WorkerView &view);
  void remove(const base::WorkerId &id);

  /// Returns the slot of the worker. Creates one if the worker is not known, so that a restored
  /// task can be recorded.
  std::uint32_t findOrCreate(const base::WorkerId &id);
  std::uint32_t find(const base::WorkerId &id) const;

  const Worker &at(std::uint32_t slot) const { return this->workers[slot]; }
  std::size_t size() const { return this->workers.size(); }
  std::size_t knownCount() const { return this->known; }

  void addTask(std::uint32_t slot, TaskRef task, const base::Resources &demand);
  void removeTask(std::uint32_t slot, TaskRef task, const base::Resources &demand);
  void addClaim(std::uint32_t slot, const base::Resources &amount);

  /// Adds a claim for a trial placement, or removes it (negative amount). Does not change the
  /// capacity version.
  void addTrialClaim(std::uint32_t slot, const base::Resources &amount);
  /// Does not change the capacity version; the caller does so by `recordCapacityIncrease`.
  void setReserved(std::uint32_t slot, const base::Resources &amount);
  void recordCapacityIncrease() { ++this->version; }
  void setQuarantined(std::uint32_t slot, bool value);
  void setPenalized(std::uint32_t slot, bool value);

  /// Returns the best fit over all resources: the worker with the least left over. NoWorker if none
  /// fits, or if the bounded search found none in a data centre with more than 128 workers with, or
  /// without, accelerators.
  std::uint32_t bestFit(const Query &query) const;

  /// Returns the worker with the fewest tasks of the job in its data centre, then in its rack, then
  /// on the worker itself.
  std::uint32_t spreadFit(const Query &query, const Job &job, base::RandomSource &random) const;

  /// Returns the numbers of the named data centres. Unknown names are skipped and set `*missing`.
  std::vector<std::uint32_t> zonesOf(const std::vector<std::string> &names, bool *missing) const;
  std::size_t zoneCount() const { return this->zoneNames.size(); }
  bool zoneAllowed(const Query &query, std::uint32_t zone) const;

  /// Increases whenever free capacity may have grown. A failed search fails again while it is
  /// unchanged.
  std::uint64_t capacityVersion() const { return this->version; }

private:
  using Key = std::tuple<std::int64_t, std::int64_t, std::uint32_t>;

  /// Largest free amounts below a tree node; `plain*` exclude what is kept for accelerators.
  struct MaxFree {
    std::int64_t millicores = -1, memoryMib = -1, accelerators = -1;
    std::int64_t plainMillicores = -1, plainMemoryMib = -1;
  };

  /// Workers of one data centre with, or without, accelerators.
  struct Partition {
    std::set<Key> byFree;
    std::vector<std::uint32_t> members;
    std::vector<MaxFree> tree; ///< Heap layout; leaves start at `leaves`.
    std::size_t leaves = 0;
    std::int64_t maxAccelerators = 0;

    void setLeaf(std::size_t position, const MaxFree &leaf);
  };

  struct IndexEntry {
    std::uint32_t partition = 0;
    std::uint32_t position = 0;
    bool indexed = false;
    Key key;
  };

  void insertIntoPartition(std::uint32_t slot);
  void removeFromPartition(std::uint32_t slot);
  void updateEntry(std::uint32_t slot);
  void recycleIfUnused(std::uint32_t slot);
  bool fits(std::uint32_t slot, const Query &query) const;
  double leftoverScore(const Worker &worker, const Query &query) const;
  std::uint32_t searchTree(const Partition &part, const Query &query) const;
  void searchPartition(const Partition &part, const Query &query, std::uint32_t &best,
                       double &bestScore) const;

  std::vector<Worker> workers;
  std::vector<IndexEntry> entries;
  std::vector<Partition> partitions; ///< Two for each data centre: without and with accelerators.
  std::unordered_map<std::string, std::uint32_t> slots;
  std::vector<std::uint32_t> freeSlots;
  std::vector<std::string> zoneNames;
  std::map<std::string, std::uint32_t> rackNumbers;
  std::size_t known = 0;
  std::uint64_t version = 1;
};

/// Returns the free amount that tasks without accelerators may use on a worker. Half of each free
/// accelerator's share of processors and memory is kept, so that no accelerator is stranded without
/// them.
base::Resources freeForPlainTasks(const Worker &worker, const base::Resources &free);

} // namespace banyanrill::placement
