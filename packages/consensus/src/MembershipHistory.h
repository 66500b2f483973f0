// Memberships along the log. A membership is in force from the moment its entry is appended.
#pragma once

#include "banyanrill/consensus/Message.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanrill::consensus {

/// Text form "1,2,3;4": voters, then learners.
std::string encodeMembership(const Membership &membership);
std::optional<Membership> decodeMembership(const std::string &text);

bool isVoter(const Membership &membership, ReplicaId id);
bool isLearner(const Membership &membership, ReplicaId id);

/// Whether `to` follows from `from` by one of: add a learner, remove a member, promote a learner,
/// demote a voter. A new member must be a learner first, and one voter must remain.
bool isSingleChange(const Membership &from, const Membership &to);

class MembershipHistory {
public:
  explicit MembershipHistory(Membership initial) {
    this->changes.emplace_back(0, std::move(initial));
  }

  const Membership &current() const { return this->changes.back().second; }
  /// Index of the entry that holds the current membership; zero if the log holds none.
  Index currentIndex() const { return this->changes.back().first; }
  const Membership &at(Index index) const;

  void append(Index index, Membership membership);
  void truncate(Index from);
  void compact(Index index);
  void install(Index index, Membership membership);

private:
  std::vector<std::pair<Index, Membership>> changes;
};

} // namespace banyanrill::consensus
