// This node's part in the consensus group: the replica, its disk and the table that the log builds.
#pragma once

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/consensus/Replica.h"
#include "banyanrill/daemon/StorageTask.h"
#include "banyanrill/jobs/Table.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace banyanrill::node {

enum class ProposalFate : std::uint8_t {
  Applied,
  NotTaken, ///< Certain: not in the log.
  InDoubt,  ///< In the log of a leader that lost its office.
};

using WhenDecided = std::function<void(ProposalFate)>;
using WhenConfirmed = std::function<void(bool confirmed)>;

struct GroupHandlers {
  std::function<void(const consensus::Message &)> send;
  std::function<void(const jobs::CommandBatch &, const jobs::Effect &)> applied;
  std::function<void()> becameLeader; ///< All that was committed before is in the table.
  std::function<void()> lostLeadership;
  /// Runs a function later, on the node's thread; called from the storage thread.
  std::function<void(std::function<void()>)> runLater;
  std::function<void()> wake; ///< There is new output to take.
};

/// Not thread-safe: owned by the node's thread.
class Group {
public:
  /// Opens or creates the data folder. Errors: those of `storage::LogStore`.
  static base::Result<std::unique_ptr<Group>> open(const std::string &folder,
                                                   base::RandomSource random,
                                                   GroupHandlers handlers, base::TimePoint now);

  base::DaemonId self() const { return this->id; }
  /// Whether the folder holds nothing yet, so that this node may found a group or join one.
  bool isBlank() const { return this->blank; }

  /// Starts as one of the first members. Precondition: `isBlank()`.
  void found(const std::vector<base::DaemonId> &voters,
             const std::map<std::uint32_t, jobs::Member> &members, base::TimePoint now);
  /// Starts without a membership; the leader adds this node.
  void join(base::TimePoint now);
  bool isRunning() const { return this->replica != nullptr; }

  void step(const consensus::Message &message, base::TimePoint now);
  void tick(base::TimePoint now);

  /// Leads, and has applied all that was committed before its term.
  bool leads() const;
  base::DaemonId leader() const;
  consensus::Term term() const;
  consensus::Membership membership() const;
  const jobs::Table &table() const { return this->jobTable; }

  void propose(jobs::Command command, WhenDecided decided = {});
  consensus::ProposeResult proposeMembership(const consensus::Membership &membership,
                                             base::TimePoint now);
  /// Calls back once this node is known to have led after the call, with all earlier entries
  /// applied.
  void confirmLeadership(WhenConfirmed confirmed, base::TimePoint now);
  void transferLeadership(base::TimePoint now);

  /// Appends proposals, stores, sends and applies until nothing is left to do.
  void work(base::TimePoint now, std::int64_t wallClockMs);

private:
  struct Proposal {
    jobs::Command command;
    WhenDecided decided;
  };
  struct Appended {
    consensus::Term term = 0;
    std::vector<WhenDecided> decided;
  };

  Group(base::RandomSource source, GroupHandlers groupHandlers)
      : random(source), handlers(std::move(groupHandlers)) {}

  void start(consensus::StoredState stored, base::TimePoint now);
  void appendProposals(std::int64_t wallClockMs, base::TimePoint now);
  bool takeOutput(base::TimePoint now);
  void apply(const consensus::Entry &entry);
  void load(const consensus::Snapshot &snapshot);
  void takeSnapshot();
  void onStorage(daemon::CoreEvent event);
  void loseOffice();

  base::RandomSource random;
  GroupHandlers handlers;
  base::DaemonId id = base::NoDaemon;
  bool blank = true;
  bool failed = false; ///< The disk failed; the replica takes no part any more.
  consensus::StoredState stored;
  std::unique_ptr<consensus::Replica> replica;
  std::unique_ptr<daemon::StorageTask> storage;
  jobs::Table jobTable;
  consensus::Index applied = 0;
  consensus::Term appliedTerm = 0;
  consensus::Index snapshotIndex = 0;
  consensus::Term barrierTerm = 0; ///< An empty batch of this term is in the log.
  consensus::Term readyTerm = 0;   ///< That batch is applied.
  bool inOffice = false;
  std::deque<Proposal> proposals;
  std::map<consensus::Index, Appended> appended;
  std::map<std::uint64_t, WhenConfirmed> reads;
  std::uint64_t lastRead = 0;
};

} // namespace banyanrill::node
