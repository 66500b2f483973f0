// Everything a replica holds in memory, with the transitions that all parts of the protocol share.
#pragma once

#include "Log.h"
#include "MembershipHistory.h"
#include "Outbox.h"
#include "Progress.h"
#include "SnapshotAssembly.h"
#include "banyanrill/consensus/Replica.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace banyanrill::consensus {

struct PendingRead {
  std::uint64_t context = 0;
  std::uint64_t round = 0;
  std::optional<Index> index; ///< Unknown until an entry of the leader's own term is committed.
};

struct LeadershipTransfer {
  ReplicaId target = base::NoDaemon;
  base::TimePoint deadline{};
};

struct ReplicaState {
  ReplicaState(ReplicaOptions replicaOptions, Membership initial, StoredState stored,
               base::RandomSource source, base::TimePoint start);

  ReplicaOptions options;
  base::RandomSource random;
  base::TimePoint now;
  Log log;
  MembershipHistory memberships;
  Outbox outbox;

  HardState hardState;
  bool hardStateChanged = false;
  std::uint64_t hardStateWrite = 0; ///< Write that contains the last change of `hardState`.

  Index writeIndex = 0; ///< Last entry of the last write handed to storage.
  Term writeTerm = 0;

  std::shared_ptr<const Snapshot> snapshot; ///< At the base of the log.
  bool snapshotReceived = false;            ///< `snapshot` was not handed to storage yet.
  SnapshotAssembly assembly;

  Role role = Role::Follower; ///< Never Learner: that follows from the membership.
  ReplicaId leader = base::NoDaemon;
  base::TimePoint lastLeaderContact{};
  bool hasHeardLeader = false; ///< Since the start, or has led.
  /// Pre-votes begun since the start before a leader was heard of.
  std::uint32_t earlyPreVotes = 0;
  base::TimePoint preVoteStarted{}; ///< Of the last round.
  base::TimePoint electionDeadline{};

  // Candidates.
  std::set<ReplicaId> votes;

  // Leaders.
  std::map<ReplicaId, Progress> peers;
  Index termStart = 0; ///< First entry of the leader's own term.
  base::TimePoint nextHeartbeat{};
  bool heartbeatWanted = false;
  std::deque<PendingRead> pendingReads;
  std::vector<ReadReady> readyReads;
  std::uint64_t readRound = 0;
  std::optional<LeadershipTransfer> transfer;
};

bool selfIsVoter(const ReplicaState &state);
/// Whether `ids` contains a majority of the voters.
bool isMajority(const ReplicaState &state, const std::set<ReplicaId> &ids);

Message makeMessage(const ReplicaState &state, MessageKind kind, ReplicaId to);
void setHardState(ReplicaState &state, HardState hardState);
/// Sends once the hard state is durable.
void sendAfterHardState(ReplicaState &state, Message message);
/// Sends an acknowledgement of everything up to `match` once that is durable.
void sendAcknowledgement(ReplicaState &state, ReplicaId to, Index match, std::uint64_t readContext);

void resetElectionDeadline(ReplicaState &state);
/// Follows in `term`, which is not lower than the current one; the leader may be unknown.
void becomeFollower(ReplicaState &state, Term term, ReplicaId leader);

void appendEntry(ReplicaState &state, Entry entry);
void truncateLog(ReplicaState &state, Index from);

} // namespace banyanrill::consensus
