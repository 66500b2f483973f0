#include "MembershipPlanner.h"

#include <algorithm>

namespace banyanrill::node {

namespace {

/// A voter that has sent no heartbeat for this long is lost: three heartbeat intervals.
constexpr base::Duration VoterLostTimeout = std::chrono::milliseconds(1600);

/// A learner that has sent no heartbeat for this long is removed.
constexpr base::Duration LearnerRemovalTimeout = std::chrono::seconds(20);

bool contains(const std::vector<consensus::ReplicaId> &ids, consensus::ReplicaId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void remove(std::vector<consensus::ReplicaId> &ids, consensus::ReplicaId id) {
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

/// Whether the node was heard from lately and its disk takes writes.
bool isUsable(const membership::PeerDirectory &peerDirectory, consensus::ReplicaId id,
              base::TimePoint now) {
  const membership::PeerRecord *peer = peerDirectory.find(id);
  return peer != nullptr && peer->hasDisk && peerDirectory.isLive(id, now, VoterLostTimeout);
}

bool canBecomeVoter(const membership::PeerDirectory &peerDirectory, consensus::ReplicaId id,
                    base::TimePoint now) {
  return isUsable(peerDirectory, id, now) && !peerDirectory.find(id)->stopping;
}

} // namespace

std::optional<MembershipChange>
MembershipPlanner::next(const consensus::Membership &current,
                        const membership::PeerDirectory &peerDirectory, base::DaemonId self,
                        std::size_t voterCount, base::TimePoint leaderSince,
                        base::TimePoint now) const {
  consensus::Membership changed = current;
  // Adds a live node with a disk as a learner, up to the wanted number of standbys: each learner
  // costs the leader as much as a voter.
  const auto standbys = static_cast<std::size_t>(
      std::count_if(current.learners.begin(), current.learners.end(), [&](consensus::ReplicaId id) {
        return canBecomeVoter(peerDirectory, id, now);
      }));
  const std::size_t wantedStandbys = std::max<std::size_t>(voterCount / 2, 1);
  for (const membership::PeerRecord &peer : peerDirectory.livePeers(now, VoterLostTimeout)) {
    if (standbys >= wantedStandbys)
      break;
    if (!peer.hasDisk || contains(current.voters, peer.id) || contains(current.learners, peer.id))
      continue;
    changed.learners.push_back(peer.id);
    return MembershipChange{changed, peer.id, "a standby is wanted"};
  }
  std::vector<consensus::ReplicaId> lost;
  const bool mayHaveHeardAll = now - leaderSince >= VoterLostTimeout;
  for (const consensus::ReplicaId id : current.voters) {
    if (mayHaveHeardAll && id != self && !isUsable(peerDirectory, id, now))
      lost.push_back(id);
  }
  const std::size_t liveVoters = current.voters.size() - lost.size();
  if (liveVoters < voterCount) {
    for (const consensus::ReplicaId id : current.learners) {
      if (!canBecomeVoter(peerDirectory, id, now))
        continue;
      remove(changed.learners, id);
      changed.voters.push_back(id);
      return MembershipChange{changed, id, "it takes the place of a lost voter"};
    }
  }
  if (current.voters.size() > voterCount && !lost.empty()) {
    remove(changed.voters, lost.front());
    return MembershipChange{changed, lost.front(), "the voter is lost"};
  }
  for (const consensus::ReplicaId id : current.learners) {
    if (peerDirectory.isSuperseded(id) || !peerDirectory.isLive(id, now, LearnerRemovalTimeout)) {
      remove(changed.learners, id);
      return MembershipChange{changed, id, "the learner is lost"};
    }
  }
  return std::nullopt;
}

} // namespace banyanrill::node
