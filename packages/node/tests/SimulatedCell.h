// Replicas, peer directories and the membership planner of a whole cell over a simulated network,
// simulated disks and a simulated clock; replayable from a seed.
#pragma once

#include "../src/MembershipPlanner.h"
#include "../src/ReplicaSender.h"
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/consensus/Replica.h"
#include "banyanrill/membership/PeerDirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::node::testing {

/// Size and speed of a simulated cell.
struct CellOptions {
  std::size_t disks = 6;           ///< Machines with a disk.
  std::size_t others = 4;          ///< Machines without one.
  std::size_t toleratedLosses = 2; ///< Disks that may be lost at the same time.
  std::uint64_t maxDelayMs = 15;   ///< Of a message; loaded processors show as a longer one.
  std::uint64_t maxSyncMs = 15;    ///< Of a write to a disk.
  std::uint64_t maxTickMs = 40;    ///< Between two turns of a node.
  /// Of the calls with replica messages from each machine to each other; 0: each message travels by
  /// itself, without a limit.
  std::uint64_t linkBytesPerSecond = 0;
};

/// What a machine keeps when it loses power. A wiped disk is a new one with a new id.
struct Disk {
  consensus::ReplicaId id = base::NoDaemon;
  consensus::StoredState stored;
};

/// The process on one machine, from its start to its end.
struct Process {
  std::unique_ptr<membership::PeerDirectory> peers;
  std::unique_ptr<consensus::Replica> replica; ///< Null without a disk.
  ReplicaSender sender;
  std::optional<consensus::Output> write; ///< Not synced yet.
  base::TimePoint writeDone{};
  base::TimePoint nextTick{};
  base::TimePoint nextMembershipCheck{};
  std::optional<base::TimePoint> leaderSince; ///< Empty until the term's first entry is applied.
  consensus::Term barrierTerm = 0;
  consensus::Index applied = 0;
  std::set<std::string> values;                                ///< Applied commands.
  std::map<consensus::ReplicaId, std::string> memberAddresses; ///< Applied addresses of members.
  std::set<std::uint64_t> confirmedReads; ///< Their contexts, once earlier entries are applied.
};

struct SimulatedMachine {
  std::string address;
  std::optional<Disk> disk;
  std::unique_ptr<Process> process; ///< Null while the machine is down.
  base::TimePoint startsAt{};       ///< While it is down.
  std::uint64_t life = 0;           ///< Counts starts; replies to an earlier life are lost.
  bool frozen = false; ///< Neither the process nor its disk does anything; messages wait.
  bool mute = false;   ///< Its replica messages are lost.
  bool deaf = false;   ///< Replica messages to it are lost.
};

/// Not thread-safe.
class SimulatedCell {
public:
  SimulatedCell(std::uint64_t seed, CellOptions cellOptions);

  void run(base::Duration duration);
  /// Ends the process; it starts again after `down`. Of an outstanding write, all or nothing
  /// reaches the disk.
  void stop(std::size_t machine, base::Duration down);
  /// The same, and the disk comes back empty.
  void wipe(std::size_t machine, base::Duration down);
  /// All processes that start from now on learn of these machines first.
  void setSeeds(const std::vector<std::size_t> &machines);

  /// The machine whose replica leads in the highest term and has applied all earlier commits.
  std::optional<std::size_t> leader() const;
  /// Gives a command of at least so many bytes to the leader, if there is one.
  void propose(std::size_t bytes = 0);
  /// Commands that the leader had applied when it acknowledged them.
  const std::set<std::string> &acknowledged() const { return this->acknowledgedValues; }
  std::string describe() const;
  SimulatedMachine &machine(std::size_t index) { return this->machines[index]; }
  /// Begins a read-index round at a machine that takes itself for the leader.
  bool requestRead(std::size_t index, std::uint64_t context);

  std::uint64_t below(std::uint64_t bound) { return this->random.below(bound); }
  const CellOptions &options() const { return this->cell; }
  const SimulatedMachine &at(std::size_t machine) const { return this->machines[machine]; }

  base::TimePoint now = base::TimePoint(std::chrono::seconds(1000));

private:
  struct Delivery {
    std::size_t to = 0;
    std::uint64_t life = 0; ///< Of the receiver; 0: any.
    std::function<void(Process &)> act;
  };

  void start(std::size_t index);
  void found();
  void turn(std::size_t index);
  void drain(std::size_t index);
  void apply(Process &process, const consensus::Entry &entry, bool leads);
  void changeMembership(Process &process);
  void sendHeartbeats(std::size_t index);
  void send(Process &from, const consensus::Message &message);
  void sendCalls(std::size_t from);
  void carry(std::size_t from, std::size_t to, ReplicaCall call);
  void deliverLater(std::size_t to, std::uint64_t life, std::function<void(Process &)> act);
  std::optional<std::size_t> machineAt(const std::string &address) const;
  base::Duration upTo(std::uint64_t maxMs);

  CellOptions cell;
  base::RandomSource random;
  std::vector<SimulatedMachine> machines;
  std::vector<std::string> seeds;
  std::multimap<base::TimePoint, Delivery> inTransit;
  std::map<std::pair<std::size_t, std::size_t>, base::TimePoint> linkFreeAt; ///< By its ends.
  std::set<std::string> acknowledgedValues;
  std::set<consensus::ReplicaId> lostDisks;
  std::uint64_t lastValue = 0;
};

} // namespace banyanrill::node::testing
