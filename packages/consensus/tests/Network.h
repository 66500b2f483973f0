// A group of real replicas over a simulated network, disks and clock; replayable from a seed.
#pragma once

#include "SafetyChecker.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyanrill::consensus::testing {

/// Probabilities in percent.
struct Faults {
  std::uint64_t loss = 0;
  std::uint64_t duplication = 0;
  std::uint64_t longDelay = 0; ///< Delays of up to 3 s, which reorder messages.
  std::uint64_t maxDelay = 20; ///< Of other messages, in ms.
  std::uint64_t slowSync = 0;  ///< Syncs of up to 1.5 s.
};

/// Small limits, so that short runs reach them.
ReplicaOptions smallOptions();

struct Node {
  std::optional<Replica> replica; ///< Empty while crashed.
  StoredState disk;
  std::optional<Output> write; ///< Not synced yet.
  base::TimePoint writeDone{};
  Index applied = 0;
  bool paused = false;
  std::map<std::uint64_t, Index> reads; ///< Context to the commits acknowledged before.
  std::set<std::uint64_t> finishedReads;
};

class Network {
public:
  Network(std::uint64_t seed, ReplicaId voters, Faults networkFaults = {},
          ReplicaOptions replicaOptions = smallOptions());

  /// Runs everything for the given simulated time.
  void run(base::Duration duration);
  /// Runs until some replica leads that a majority accepts, at most 30 s.
  ReplicaId awaitLeader();
  /// Leader of the highest term; NoDaemon if there is none.
  ReplicaId leader() const;

  ProposeResult propose(ReplicaId id);
  ProposeResult changeMembership(ReplicaId id, const Membership &membership);
  bool read(ReplicaId id);
  void transfer(ReplicaId id);
  void compact(ReplicaId id);

  /// Loses what was not synced: a random part of the outstanding write reaches the disk.
  void crash(ReplicaId id);
  void restart(ReplicaId id);
  /// Adds a replica without state, which joins once it is made a learner.
  ReplicaId addEmpty();
  void block(ReplicaId from, ReplicaId to) { this->blocked.emplace(from, to); }
  void unblockAll() { this->blocked.clear(); }
  void isolate(ReplicaId id);
  /// Ends all faults; nodes in `except` stay down.
  void heal(const std::set<ReplicaId> &except = {});

  /// Replica of a node that runs.
  Replica &at(ReplicaId id) { return *this->nodes.at(id).replica; }
  std::uint64_t below(std::uint64_t bound) { return this->random.below(bound); }

  std::map<ReplicaId, Node> nodes;
  SafetyChecker checker;
  base::TimePoint now{};

private:
  void start(ReplicaId id, Membership initial);
  void send(const Message &message);
  void deliver();
  void drain(ReplicaId id);
  void finishWrite(ReplicaId id);
  bool runs(ReplicaId id) const;

  base::RandomSource random;
  Faults faults;
  ReplicaOptions options;
  std::multimap<base::TimePoint, Message> inTransit;
  std::set<std::pair<ReplicaId, ReplicaId>> blocked;
  std::uint64_t lastCommand = 0;
  std::uint64_t lastRead = 0;
};

} // namespace banyanrill::consensus::testing
