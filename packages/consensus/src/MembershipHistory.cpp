#include "MembershipHistory.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <map>
#include <string_view>

namespace banyanrill::consensus {

namespace {

enum class Standing : std::uint8_t { Learner, Voter };

bool contains(const std::vector<ReplicaId> &ids, ReplicaId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool parseList(std::string_view text, std::vector<ReplicaId> &ids) {
  while (!text.empty()) {
    ReplicaId id = base::NoDaemon;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    if (error != std::errc() || id == base::NoDaemon) {
      return false;
    }
    ids.push_back(id);
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (text.empty()) {
      return true;
    }
    if (text.front() != ',' || text.size() == 1) {
      return false;
    }
    text.remove_prefix(1);
  }
  return true;
}

std::map<ReplicaId, Standing> standings(const Membership &membership) {
  std::map<ReplicaId, Standing> result;
  for (const ReplicaId id : membership.voters) {
    result.emplace(id, Standing::Voter);
  }
  for (const ReplicaId id : membership.learners) {
    result.emplace(id, Standing::Learner);
  }
  return result;
}

} // namespace

std::string encodeMembership(const Membership &membership) {
  return base::joined(membership.voters) + ";" + base::joined(membership.learners);
}

std::optional<Membership> decodeMembership(const std::string &text) {
  const std::size_t separator = text.find(';');
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  Membership membership;
  const std::string_view view = text;
  if (!parseList(view.substr(0, separator), membership.voters) ||
      !parseList(view.substr(separator + 1), membership.learners)) {
    return std::nullopt;
  }
  return membership;
}

bool isVoter(const Membership &membership, ReplicaId id) { return contains(membership.voters, id); }

bool isLearner(const Membership &membership, ReplicaId id) {
  return contains(membership.learners, id);
}

bool isSingleChange(const Membership &from, const Membership &to) {
  const auto before = standings(from);
  const auto after = standings(to);
  if (to.voters.empty() || after.size() != to.voters.size() + to.learners.size() ||
      after.count(base::NoDaemon) != 0) {
    return false;
  }
  std::size_t differences = 0;
  for (const auto &[id, standing] : after) {
    const auto found = before.find(id);
    if (found == before.end()) {
      if (standing == Standing::Voter) {
        return false;
      }
      ++differences;
    } else if (found->second != standing) {
      ++differences;
    }
  }
  for (const auto &[id, standing] : before) {
    differences += after.count(id) == 0 ? 1 : 0;
  }
  return differences == 1;
}

const Membership &MembershipHistory::at(Index index) const {
  const Membership *found = &this->changes.front().second;
  for (const auto &[from, membership] : this->changes) {
    if (from <= index) {
      found = &membership;
    }
  }
  return *found;
}

void MembershipHistory::append(Index index, Membership membership) {
  assert(index > this->currentIndex());
  this->changes.emplace_back(index, std::move(membership));
}

void MembershipHistory::truncate(Index from) {
  while (this->changes.size() > 1 && this->changes.back().first >= from) {
    this->changes.pop_back();
  }
}

void MembershipHistory::compact(Index index) {
  while (this->changes.size() > 1 && this->changes[1].first <= index) {
    this->changes.erase(this->changes.begin());
  }
}

void MembershipHistory::install(Index index, Membership membership) {
  this->changes.clear();
  this->changes.emplace_back(index, std::move(membership));
}

} // namespace banyanrill::consensus
