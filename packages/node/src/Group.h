// This node's part in the consensus group: the replica, its disk and the table that the log builds.
#pragma once

#include "SnapshotPolicy.h"
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

enum class ProposalOutcome : std::uint8_t {
  Applied,
  NotInLog, ///< The command is certainly not in the log.
  InDoubt,  ///< In the log of a leader that lost leadership; it may still commit.
};

using ProposalCallback = std::function<void(ProposalOutcome)>;
using ConfirmationCallback = std::function<void(bool confirmed)>;

struct GroupHandlers {
  std::function<void(const consensus::Message &)> send;
  std::function<void(const jobs::CommandBatch &, const jobs::Effect &)> applied;
  std::function<void()> becameLeader; ///< The table holds all earlier committed entries.
  std::function<void()> lostLeadership;
  /// Schedules a function on the node's thread. Called from the storage thread.
  std::function<void(std::function<void()>)> runLater;
  std::function<void()> wake; ///< Called when there is new output to process.
  /// The data folder is open after a time without it. Optional.
  std::function<void()> reopened;
};

/// While the data folder refuses writes, this node takes no part in the group: it neither votes,
/// acknowledges nor leads. Once the folder can be opened again, it goes on as after a restart.
/// Not thread-safe: owned by the node's thread.
class Group {
public:
  /// Opens or creates the data folder. If it refuses writes, that is tried again in the background.
  /// Errors: those of `storage::LogStore`, but for a StorageFailure of a write.
  static base::Result<std::unique_ptr<Group>> open(const std::string &folder,
                                                   base::RandomSource random,
                                                   GroupHandlers handlers, base::TimePoint now);

  base::DaemonId self() const { return this->id; }
  /// Returns whether the data folder is open.
  bool isOpen() const { return !this->closedSince; }
  /// Whether this node may count as one with a disk: its folder has been open, and has not been
  /// closed for long. Until it is created, its id may be lost with the process.
  bool offersDisk(base::TimePoint now) const;
  /// How often the data folder has failed since the start.
  std::uint64_t storageFailures() const { return this->failures; }
  /// Returns whether the folder is open and empty, so that this node may found a group or join one.
  bool isBlank() const { return this->blank; }

  /// Starts this node as one of the first voters. Precondition: `isBlank()`.
  void found(const std::vector<base::DaemonId> &voters,
             const std::map<std::uint32_t, jobs::Member> &members, base::TimePoint now);
  /// Starts without a membership; the leader adds this node later. Precondition: `isBlank()`.
  void join(base::TimePoint now);
  bool isRunning() const { return this->replica != nullptr; }

  void step(const consensus::Message &message, base::TimePoint now);
  /// A call with entries or a part of a snapshot to the peer has failed.
  void onUndelivered(base::DaemonId peer);
  void tick(base::TimePoint now);

  /// Returns whether this node leads and has applied all entries committed before its term.
  bool isLeader() const;
  base::DaemonId leader() const;
  consensus::Term term() const;
  consensus::Membership membership() const;
  /// Empty unless this node leads.
  std::vector<base::DaemonId> caughtUpLearners() const;
  /// Members that lack much of the log; empty unless this node leads.
  std::vector<consensus::PeerProgress> laggingPeers() const;
  consensus::Index lastIndex() const;
  /// Snapshots of the table taken since the start.
  std::uint64_t snapshotsTaken() const { return this->snapshots; }
  /// Size of the snapshot at the base of the log.
  std::uint64_t snapshotBytes() const { return this->sinceSnapshot.snapshotBytes; }
  const jobs::Table &table() const { return this->jobTable; }

  void propose(jobs::Command command, ProposalCallback decided = {});
  consensus::ProposeResult proposeMembership(const consensus::Membership &membership,
                                             base::TimePoint now);
  /// Calls `confirmed` with true once a quorum has confirmed that this node still led after this
  /// call and all earlier entries are applied; with false if that cannot be confirmed.
  void confirmLeadership(ConfirmationCallback confirmed, base::TimePoint now);
  void transferLeadership(base::TimePoint now);

  /// Appends proposals, and stores, sends and applies output until no more entries are committed.
  void work(base::TimePoint now, std::int64_t wallClockMs);

private:
  struct Proposal {
    jobs::Command command;
    ProposalCallback decided;
  };
  struct Appended {
    consensus::Term term = 0;
    std::vector<ProposalCallback> decided;
  };

  Group(base::RandomSource source, GroupHandlers groupHandlers)
      : random(source), handlers(std::move(groupHandlers)) {}

  void start(consensus::StoredState stored, base::TimePoint now);
  void startFounding(base::TimePoint now);
  void appendProposals(std::int64_t wallClockMs, base::TimePoint now);
  /// The entry for the first `count` proposals.
  std::string encodeProposals(std::size_t count, std::int64_t wallClockMs) const;
  bool takeOutput(base::TimePoint now);
  void apply(const consensus::Entry &entry);
  void load(const consensus::Snapshot &snapshot);
  void takeSnapshot();
  /// Logs the membership if it has changed.
  void logMembership();
  std::uint64_t configurationVersion() const; ///< 0: there is none.
  void onStorage(daemon::CoreEvent event);
  void onOpened(std::uint64_t folderOpening, consensus::StoredState stored, base::TimePoint now);
  void stepAside(const std::string &reason, base::TimePoint now);
  void refuseProposals();
  void loseLeadership();

  base::RandomSource random;
  GroupHandlers handlers;
  base::DaemonId id = base::NoDaemon;
  bool blank = false;
  std::uint64_t opening = 0; ///< Of the data folder; 0 while it is not open.
  std::optional<base::TimePoint> closedSince;
  bool isCreated = false; ///< The folder has an identity.
  std::uint64_t failures = 0;
  /// The first state of a founder, until it is certainly stored.
  std::optional<consensus::StoredState> founding;
  bool hasJoined = false;
  std::unique_ptr<consensus::Replica> replica; ///< Null before the start and while not open.
  std::unique_ptr<daemon::StorageTask> storage;
  jobs::Table jobTable;
  consensus::Index applied = 0;
  consensus::Term appliedTerm = 0;
  LogSinceSnapshot sinceSnapshot;
  std::uint64_t snapshots = 0;     ///< Taken since the start.
  consensus::Term barrierTerm = 0; ///< An empty batch of this term is in the log.
  consensus::Term readyTerm = 0;   ///< That batch is applied.
  bool isLeading = false;
  consensus::Membership loggedMembership; ///< In the last log line.
  std::deque<Proposal> proposals;
  std::map<consensus::Index, Appended> appended;
  std::map<std::uint64_t, ConfirmationCallback> reads;
  std::uint64_t lastRead = 0;
};

} // namespace banyanrill::node
