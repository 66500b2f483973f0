// Invariants of the protocol over everything that the replicas of one test group do.
#pragma once

#include "banyanrill/consensus/Replica.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace banyanrill::consensus::testing {

/// Every member function throws std::runtime_error when an invariant is violated.
class SafetyChecker {
public:
  /// At most one leader per term.
  void observe(ReplicaId id, const Replica &replica);
  /// Logs match: equal index and term mean an equal entry with an equal predecessor.
  void store(const std::vector<Entry> &entries, Term previousTerm);
  /// A committed entry never changes, and no command is committed twice.
  void commit(const Entry &entry);
  /// A snapshot holds exactly the committed state.
  void install(const Snapshot &snapshot) const;
  /// A read never returns less than what was acknowledged before it.
  void read(Index atRequest, Index returned) const;

  Index committed() const { return this->entries.size(); }
  const Entry &at(Index index) const { return this->entries.at(index - 1); }
  /// State after `index`, long enough for several chunks.
  std::string stateAt(Index index) const;

private:
  std::map<Term, ReplicaId> leaders;
  std::map<std::pair<Index, Term>, std::pair<Entry, Term>> stored;
  std::vector<Entry> entries;
  std::vector<std::size_t> digests{0};
  std::map<std::string, Index> commands;
};

} // namespace banyanrill::consensus::testing
