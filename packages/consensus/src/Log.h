// The log in memory: entries after the snapshot, with the commit, applied and durable positions.
#pragma once

#include "banyanrill/consensus/Message.h"

#include <deque>
#include <optional>
#include <vector>

namespace banyanrill::consensus {

class Log {
public:
  /// All given entries are durable; the snapshot ends at (snapshotIndex, snapshotTerm).
  Log(Index snapshotIndex, Term snapshotTerm, std::vector<Entry> stored);

  Index baseIndex() const { return this->base; }
  Index firstIndex() const { return this->base + 1; }
  Index lastIndex() const { return this->base + this->entries.size(); }
  Term lastTerm() const {
    return this->entries.empty() ? this->baseTerm : this->entries.back().term;
  }
  Index commitIndex() const { return this->commit; }
  Index appliedIndex() const { return this->applied; }
  Index durableIndex() const { return this->durable; }
  /// Last index handed to storage; not durable until confirmed.
  Index writingIndex() const { return this->writing; }

  /// Empty if the entry is compacted or does not exist.
  std::optional<Term> termAt(Index index) const;
  bool matches(Index index, Term term) const { return this->termAt(index) == term; }
  /// Whether a log that ends in (index, term) holds at least what this one holds.
  bool isCoveredBy(Index index, Term term) const;
  /// Largest index up to `index` whose term is at most `term`; the base if there is none.
  Index lastAtMost(Index index, Term term) const;
  /// Precondition: `index` lies within [firstIndex, lastIndex].
  const Entry &at(Index index) const;
  /// At least one entry if any follows, then bounded by number and by payload bytes.
  std::vector<Entry> slice(Index from, std::size_t maxEntries, std::size_t maxBytes) const;

  void append(Entry entry);
  /// Removes `from` and everything after it. Precondition: `from` is not committed.
  void truncate(Index from);
  /// Precondition: index <= lastIndex. Never moves back.
  void commitTo(Index index);
  /// Replaces everything by a snapshot, which is not durable yet.
  void install(Index index, Term term);
  /// Drops entries up to `index`, which must be applied.
  void compact(Index index);

  bool hasUnwritten() const;
  /// Entries not handed to storage yet; marks everything as handed over.
  std::vector<Entry> takeUnwritten();
  /// What was handed to storage last, and was not truncated since, is durable.
  void confirmWritten() { this->durable = this->writing; }
  /// Entries that are committed and durable here and were not delivered before.
  std::vector<Entry> takeCommitted();

private:
  Index base;
  Term baseTerm;
  std::deque<Entry> entries;
  Index commit;
  Index applied;
  Index durable;
  Index writing;
};

} // namespace banyanrill::consensus
