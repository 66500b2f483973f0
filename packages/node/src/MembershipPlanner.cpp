#include "MembershipPlanner.h"

#include <algorithm>
#include <utility>

namespace banyanrill::node {

using consensus::Membership;
using consensus::ReplicaId;
using membership::PeerDirectory;

namespace {

/// A voter that has sent no heartbeat for this long is lost: three heartbeat intervals.
constexpr base::Duration VoterLostTimeout = std::chrono::milliseconds(1600);

/// A learner that has sent no heartbeat for this long is removed.
constexpr base::Duration LearnerRemovalTimeout = std::chrono::seconds(20);

/// Learners of a group, the lost ones included.
constexpr std::size_t MaxLearners = 8;

bool contains(const std::vector<ReplicaId> &ids, ReplicaId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void remove(std::vector<ReplicaId> &ids, ReplicaId id) {
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

/// Whether the node was heard from lately and its disk takes writes.
bool isUsable(const PeerDirectory &peers, ReplicaId id, base::TimePoint now) {
  const membership::PeerRecord *peer = peers.find(id);
  return peer != nullptr && peer->hasDisk && peers.isLive(id, now, VoterLostTimeout);
}

bool canBecomeVoter(const PeerDirectory &peers, ReplicaId id, base::TimePoint now) {
  return isUsable(peers, id, now) && !peers.find(id)->stopping;
}

MembershipChange withoutVoter(Membership membership, ReplicaId id, std::string_view reason) {
  remove(membership.voters, id);
  return {std::move(membership), id, reason};
}

/// A voter whose machine runs under another id has most probably lost its disk for good. Each of
/// the others then counts for at least as much without it. A majority of the wanted voters stays;
/// below that, acknowledged entries would be on too few disks.
std::optional<MembershipChange> withoutReplacedVoter(const GroupView &group,
                                                     const PeerDirectory &peers) {
  if (group.membership.voters.size() <= group.wantedVoters / 2 + 1)
    return std::nullopt;
  for (const ReplicaId id : group.membership.voters) {
    if (id != group.self && peers.isReplaced(id))
      return withoutVoter(group.membership, id, "its machine has another disk now");
  }
  return std::nullopt;
}

/// Voters whose place another node should take.
struct LeavingVoters {
  std::vector<ReplicaId> silent;   ///< Not heard from, or without a disk that takes writes.
  std::vector<ReplicaId> stopping; ///< Their machines are about to stop, and may be replaced.
  /// False: a new leader has not heard from its followers yet, and can't tell which one is lost.
  bool isSilenceCertain = false;

  std::size_t count() const {
    return this->stopping.size() + (this->isSilenceCertain ? this->silent.size() : 0);
  }

  /// The one that leaves first once its replacement is a voter: a lost one before one that stops.
  std::optional<ReplicaId> first() const {
    if (!this->silent.empty())
      return this->isSilenceCertain ? std::optional(this->silent.front()) : std::nullopt;
    return this->stopping.empty() ? std::nullopt : std::optional(this->stopping.front());
  }
};

LeavingVoters leavingVoters(const GroupView &group, const PeerDirectory &peers,
                            base::TimePoint now) {
  LeavingVoters leaving;
  leaving.isSilenceCertain = now - group.leaderSince >= VoterLostTimeout;
  for (const ReplicaId id : group.membership.voters) {
    if (id == group.self)
      continue;
    if (!isUsable(peers, id, now))
      leaving.silent.push_back(id);
    else if (peers.find(id)->stopping)
      leaving.stopping.push_back(id);
  }
  return leaving;
}

std::optional<MembershipChange>
withPromotedLearner(const GroupView &group, const PeerDirectory &peers, base::TimePoint now) {
  for (const ReplicaId id : group.caughtUpLearners) {
    if (!canBecomeVoter(peers, id, now))
      continue;
    Membership changed = group.membership;
    remove(changed.learners, id);
    changed.voters.push_back(id);
    return MembershipChange{std::move(changed), id,
                            "it takes the place of a voter that is lost or stops"};
  }
  return std::nullopt;
}

std::size_t countStandbys(const std::vector<ReplicaId> &learners, const PeerDirectory &peers,
                          base::TimePoint now) {
  return static_cast<std::size_t>(
      std::count_if(learners.begin(), learners.end(),
                    [&](ReplicaId id) { return canBecomeVoter(peers, id, now); }));
}

/// Adds a live node with a disk as a learner, up to the wanted number of standbys: each learner
/// costs the leader as much as a voter. While a vote is free, only those count that could take it.
std::optional<MembershipChange> withNewStandby(const GroupView &group, const PeerDirectory &peers,
                                               bool voteIsFree, base::TimePoint now) {
  const Membership &current = group.membership;
  const std::size_t standbys =
      countStandbys(voteIsFree ? group.caughtUpLearners : current.learners, peers, now);
  if (standbys >= std::max<std::size_t>(group.wantedVoters / 2, 1) ||
      current.learners.size() >= MaxLearners)
    return std::nullopt;
  for (const membership::PeerRecord &peer : peers.livePeers(now, VoterLostTimeout)) {
    if (!peer.hasDisk || peer.stopping || contains(current.voters, peer.id) ||
        contains(current.learners, peer.id))
      continue;
    Membership changed = current;
    changed.learners.push_back(peer.id);
    return MembershipChange{std::move(changed), peer.id, "a standby is wanted"};
  }
  return std::nullopt;
}

std::optional<MembershipChange>
withoutLostLearner(const GroupView &group, const PeerDirectory &peers, base::TimePoint now) {
  for (const ReplicaId id : group.membership.learners) {
    if (!peers.isSuperseded(id) && peers.isLive(id, now, LearnerRemovalTimeout))
      continue;
    Membership changed = group.membership;
    remove(changed.learners, id);
    return MembershipChange{std::move(changed), id, "the learner is lost"};
  }
  return std::nullopt;
}

} // namespace

bool isUnderWay(consensus::ProposeResult result) {
  return result == consensus::ProposeResult::Accepted ||
         result == consensus::ProposeResult::MembershipChangePending;
}

std::optional<MembershipChange> MembershipPlanner::next(const GroupView &group,
                                                        const PeerDirectory &peers,
                                                        base::TimePoint now) const {
  if (auto next = withoutReplacedVoter(group, peers))
    return next;
  const LeavingVoters leaving = leavingVoters(group, peers, now);
  const bool voteIsFree = group.membership.voters.size() - leaving.count() < group.wantedVoters;
  if (voteIsFree) {
    if (auto next = withPromotedLearner(group, peers, now))
      return next;
  }
  if (group.membership.voters.size() > group.wantedVoters) {
    if (const std::optional<ReplicaId> id = leaving.first())
      return withoutVoter(group.membership, *id, "the voter is lost or stops");
  }
  if (auto next = withNewStandby(group, peers, voteIsFree, now))
    return next;
  return withoutLostLearner(group, peers, now);
}

} // namespace banyanrill::node
