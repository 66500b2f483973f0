#include "Steward.h"

#include <algorithm>

namespace banyanrill::node {

namespace {

/// A voter that has not greeted for this long is lost: three greetings.
constexpr base::Duration LostAfter = std::chrono::milliseconds(1600);

/// A learner that has not greeted for this long takes no more entries.
constexpr base::Duration ForgottenAfter = std::chrono::seconds(20);

bool contains(const std::vector<consensus::ReplicaId> &ids, consensus::ReplicaId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void remove(std::vector<consensus::ReplicaId> &ids, consensus::ReplicaId id) {
  ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

bool canBecomeVoter(const membership::PeerDirectory &roster, consensus::ReplicaId id,
                    base::TimePoint now) {
  const membership::PeerRecord *peer = roster.find(id);
  return peer != nullptr && !peer->stopping && roster.isLive(id, now, LostAfter);
}

} // namespace

std::optional<consensus::Membership> Steward::next(const consensus::Membership &current,
                                                   const membership::PeerDirectory &roster,
                                                   base::DaemonId self, std::size_t voterCount,
                                                   base::TimePoint now) const {
  consensus::Membership changed = current;
  // A node with a disk that is no member yet. Each learner costs the leader as much as a voter.
  const auto standbys = static_cast<std::size_t>(
      std::count_if(current.learners.begin(), current.learners.end(),
                    [&](consensus::ReplicaId id) { return canBecomeVoter(roster, id, now); }));
  const std::size_t wantedStandbys = std::max<std::size_t>(voterCount / 2, 1);
  for (const membership::PeerRecord &peer : roster.livePeers(now, LostAfter)) {
    if (standbys >= wantedStandbys)
      break;
    if (!peer.hasDisk || contains(current.voters, peer.id) || contains(current.learners, peer.id))
      continue;
    changed.learners.push_back(peer.id);
    return changed;
  }
  std::vector<consensus::ReplicaId> lost;
  for (const consensus::ReplicaId id : current.voters) {
    if (id != self && !roster.isLive(id, now, LostAfter))
      lost.push_back(id);
  }
  const std::size_t liveVoters = current.voters.size() - lost.size();
  if (liveVoters < voterCount) {
    for (const consensus::ReplicaId id : current.learners) {
      if (!canBecomeVoter(roster, id, now))
        continue;
      remove(changed.learners, id);
      changed.voters.push_back(id);
      return changed;
    }
  }
  if (current.voters.size() > voterCount && !lost.empty()) {
    remove(changed.voters, lost.front());
    return changed;
  }
  for (const consensus::ReplicaId id : current.learners) {
    if (roster.isSuperseded(id) || !roster.isLive(id, now, ForgottenAfter)) {
      remove(changed.learners, id);
      return changed;
    }
  }
  return std::nullopt;
}

} // namespace banyanrill::node
