// Chooses an owner by distance and reported free slots.
#include "banyanrill/routing/OwnerSelector.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace banyanrill::routing {

namespace {

using ServiceKey = std::pair<std::string, std::string>;

struct Slots {
  std::int32_t free = 0;
  std::int32_t total = 0;
};

struct Digest {
  Location where;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  base::TimePoint received;
  std::map<ServiceKey, Slots> loads;
};

struct Candidate {
  base::DaemonId owner = base::NoDaemon;
  Slots *slots = nullptr;
};

} // namespace

struct OwnerSelector::State {
  OwnerSelectorOptions options;
  base::DaemonId self;
  Location here;
  base::RandomSource random;
  std::map<base::DaemonId, Digest> digests;

  bool isCurrent(const Digest &digest, base::TimePoint now) const {
    return now - digest.received < this->options.digestTimeout;
  }

  /// 0: this daemon, 1: its data centre, 2: its region, 3: another region.
  std::size_t distanceTo(base::DaemonId owner, const Location &where) const {
    if (owner == this->self)
      return 0;
    if (where.region != this->here.region)
      return 3;
    return where.dataCentre == this->here.dataCentre ? 1 : 2;
  }

  const Candidate &betterOfTwo(const std::vector<Candidate> &candidates) {
    const std::size_t first = this->random.below(candidates.size());
    if (candidates.size() == 1)
      return candidates[first];
    const std::size_t other =
        (first + 1 + this->random.below(candidates.size() - 1)) % candidates.size();
    return candidates[other].slots->free > candidates[first].slots->free ? candidates[other]
                                                                         : candidates[first];
  }
};

OwnerSelector::OwnerSelector(OwnerSelectorOptions options, base::DaemonId self, Location here,
                             base::RandomSource random)
    : state(std::make_unique<State>(State{options, self, std::move(here), random, {}})) {}

OwnerSelector::~OwnerSelector() = default;
OwnerSelector::OwnerSelector(OwnerSelector &&) noexcept = default;
OwnerSelector &OwnerSelector::operator=(OwnerSelector &&) noexcept = default;

void OwnerSelector::updateDigest(base::DaemonId owner, const Location &where,
                                 std::uint64_t incarnation, std::uint64_t sequence,
                                 const std::vector<ServiceLoad> &loads, base::TimePoint now) {
  const auto known = this->state->digests.find(owner);
  if (known != this->state->digests.end()) {
    const Digest &digest = known->second;
    if (incarnation == digest.incarnation && sequence <= digest.sequence)
      return;
    if (incarnation < digest.incarnation && this->state->isCurrent(digest, now))
      return;
  } else if (this->state->digests.size() >= this->state->options.owners) {
    for (auto at = this->state->digests.begin(); at != this->state->digests.end();)
      at = this->state->isCurrent(at->second, now) ? std::next(at) : this->state->digests.erase(at);
    if (this->state->digests.size() >= this->state->options.owners)
      return;
  }
  Digest digest{where, incarnation, sequence, now, {}};
  for (const ServiceLoad &load : loads) {
    if (digest.loads.size() >= this->state->options.servicesPerOwner)
      break;
    digest.loads[{load.team, load.service}] = {load.freeSlots, load.totalSlots};
  }
  this->state->digests[owner] = std::move(digest);
}

void OwnerSelector::forget(base::DaemonId owner) { this->state->digests.erase(owner); }

base::DaemonId OwnerSelector::select(const std::string &team, const std::string &service,
                                     bool crossRegion, const std::vector<base::DaemonId> &avoid,
                                     base::TimePoint now) {
  std::array<std::vector<Candidate>, 4> withFree;
  std::array<Candidate, 2> largest; // In this region and in other regions.
  for (auto &[owner, digest] : this->state->digests) {
    const std::size_t distance = this->state->distanceTo(owner, digest.where);
    if (!this->state->isCurrent(digest, now) || (distance == 3 && !crossRegion) ||
        std::find(avoid.begin(), avoid.end(), owner) != avoid.end())
      continue;
    const auto load = digest.loads.find({team, service});
    if (load == digest.loads.end() || load->second.total <= 0)
      continue;
    const Candidate candidate{owner, &load->second};
    if (candidate.slots->free > 0)
      withFree[distance].push_back(candidate);
    Candidate &best = largest[distance == 3 ? 1 : 0];
    if (best.slots == nullptr || candidate.slots->total > best.slots->total)
      best = candidate;
  }
  for (const std::vector<Candidate> &candidates : withFree) {
    if (candidates.empty())
      continue;
    const Candidate &chosen = this->state->betterOfTwo(candidates);
    --chosen.slots->free;
    return chosen.owner;
  }
  return largest[0].slots != nullptr ? largest[0].owner : largest[1].owner;
}

bool OwnerSelector::knows(const std::string &team, const std::string &service,
                          base::TimePoint now) const {
  return std::any_of(this->state->digests.begin(), this->state->digests.end(),
                     [&](const auto &entry) {
                       return this->state->isCurrent(entry.second, now) &&
                              entry.second.loads.count({team, service}) != 0;
                     });
}

} // namespace banyanrill::routing
