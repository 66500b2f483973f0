// Workers with their free capacity, indexed so that a search does not visit every worker.
#pragma once

#include "Model.h"

#include <map>
#include <set>
#include <tuple>

namespace banyanrill::placement {

struct Worker {
  WorkerView view;
  std::uint32_t zone = 0;
  std::uint32_t rack = 0;
  bool known = false;        ///< False for a removed worker whose tasks are not confirmed gone.
  bool quarantined = false;  ///< Receives probes only.
  bool penalized = false;    ///< Refused a start; its report is out of date.
  base::Resources allocated; ///< Of tasks that are assigned, running or stopping.
  base::Resources claimed;   ///< Being vacated by preemption for a named job.
  base::Resources reserved;  ///< Kept from general work for the gang that holds the reservation.
  std::vector<TaskRef> tasks;

  /// Free of tasks and requests, whoever may use it. Negative if the worker is over its capacity.
  base::Resources rawFree() const {
    return this->view.capacity - this->view.requestLoad - this->allocated;
  }
  base::Resources unclaimedFree() const { return this->rawFree() - this->claimed; }
  base::Resources generalFree() const { return this->unclaimedFree() - this->reserved; }
  bool isUsable() const {
    return this->known && this->view.available && !this->quarantined && !this->penalized;
  }
};

/// What to look for. `zones` empty: any.
struct Query {
  base::Resources demand;
  std::vector<std::uint32_t> zones;
  bool useAcceleratorReserve = false; ///< May take what is kept for tasks with accelerators.
  const Job *avoidFor = nullptr;      ///< Excludes workers on which this job failed twice,
  std::uint32_t avoid = NoWorker;     ///< and this one.

  bool avoids(std::uint32_t slot) const;
};

/// Not thread-safe.
class WorkerIndex {
public:
  std::uint32_t update(const WorkerView &view);
  void remove(const base::WorkerId &id);

  /// Slot of the worker; creates an unknown one, so that a restored task has a place.
  std::uint32_t ensure(const base::WorkerId &id);
  std::uint32_t find(const base::WorkerId &id) const;

  const Worker &at(std::uint32_t slot) const { return this->workers[slot]; }
  std::size_t size() const { return this->workers.size(); }
  std::size_t knownCount() const { return this->known; }

  void attach(std::uint32_t slot, TaskRef task, const base::Resources &demand);
  void detach(std::uint32_t slot, TaskRef task, const base::Resources &demand);
  void addClaim(std::uint32_t slot, const base::Resources &amount);

  /// Adds a claim for a trial, or takes it back; not counted as a change of capacity.
  void addTrial(std::uint32_t slot, const base::Resources &amount);
  /// Not counted as a change of capacity; the caller reports one by `noteIncrease`.
  void setReserved(std::uint32_t slot, const base::Resources &amount);
  void noteIncrease() { ++this->version; }
  void setQuarantined(std::uint32_t slot, bool value);
  void setPenalized(std::uint32_t slot, bool value);

  /// Best fit over all resources: the worker with the least left over. NoWorker if none fits, or if
  /// the bounded search of a data centre with more than 128 workers of a kind found none.
  std::uint32_t bestFit(const Query &query) const;

  /// The worker with the fewest tasks of the job in its zone, then rack, then on itself.
  std::uint32_t spreadFit(const Query &query, const Job &job, base::RandomSource &random) const;

  /// Numbers of the named data centres; unknown names are left out and set `*missing`.
  std::vector<std::uint32_t> zonesOf(const std::vector<std::string> &names, bool *missing) const;
  std::size_t zoneCount() const { return this->zoneNames.size(); }
  bool zoneAllowed(const Query &query, std::uint32_t zone) const;

  /// Grows with each increase of free capacity; a search that failed fails again until then.
  std::uint64_t capacityVersion() const { return this->version; }

private:
  using Key = std::tuple<std::int64_t, std::int64_t, std::uint32_t>;

  /// Largest free amounts below a node; `plain*` exclude what is kept for accelerators.
  struct Peak {
    std::int64_t millicores = -1, memoryMib = -1, accelerators = -1;
    std::int64_t plainMillicores = -1, plainMemoryMib = -1;
  };

  /// Workers of one zone with, or without, accelerators.
  struct Partition {
    std::set<Key> byFree;
    std::vector<std::uint32_t> members;
    std::vector<Peak> tree; ///< Heap layout; leaves start at `leaves`.
    std::size_t leaves = 0;
    std::int64_t maxAccelerators = 0;

    void setLeaf(std::size_t position, const Peak &leaf);
  };

  struct Place {
    std::uint32_t partition = 0;
    std::uint32_t position = 0;
    bool indexed = false;
    Key key;
  };

  void place(std::uint32_t slot);
  void unplace(std::uint32_t slot);
  void refresh(std::uint32_t slot);
  void forgetIfUnused(std::uint32_t slot);
  bool fits(std::uint32_t slot, const Query &query) const;
  double leftover(const Worker &worker, const Query &query) const;
  std::uint32_t searchTree(const Partition &part, const Query &query) const;
  void searchPartition(const Partition &part, const Query &query, std::uint32_t &best,
                       double &bestScore) const;

  std::vector<Worker> workers;
  std::vector<Place> places;
  std::vector<Partition> partitions; ///< Two for each zone: without and with accelerators.
  std::unordered_map<std::string, std::uint32_t> slots;
  std::vector<std::uint32_t> unused;
  std::vector<std::string> zoneNames;
  std::map<std::string, std::uint32_t> rackNumbers;
  std::size_t known = 0;
  std::uint64_t version = 1;
};

/// Free amount that plain tasks may use on a worker: half of the share of each free accelerator
/// is kept, so that accelerators are not stranded without processors and memory.
base::Resources plainFree(const Worker &worker, const base::Resources &free);

} // namespace banyanrill::placement
