#include "Log.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::consensus {

Log::Log(Index snapshotIndex, Term snapshotTerm, std::vector<Entry> stored)
    : base(snapshotIndex), baseTerm(snapshotTerm), commit(snapshotIndex), applied(snapshotIndex),
      durable(snapshotIndex), writing(snapshotIndex) {
  for (Entry &entry : stored) {
    this->append(std::move(entry));
  }
  this->writing = this->lastIndex();
  this->durable = this->lastIndex();
}

std::optional<Term> Log::termAt(Index index) const {
  if (index == this->base) {
    return this->baseTerm;
  }
  if (index < this->base || index > this->lastIndex()) {
    return std::nullopt;
  }
  return this->at(index).term;
}

bool Log::isCoveredBy(Index index, Term term) const {
  return term > this->lastTerm() || (term == this->lastTerm() && index >= this->lastIndex());
}

Index Log::lastAtMost(Index index, Term term) const {
  Index found = std::min(index, this->lastIndex());
  while (found > this->base && this->at(found).term > term) {
    --found;
  }
  return found;
}

const Entry &Log::at(Index index) const {
  assert(index > this->base && index <= this->lastIndex());
  return this->entries[index - this->base - 1];
}

std::vector<Entry> Log::slice(Index from, std::size_t maxEntries, std::size_t maxBytes) const {
  std::vector<Entry> result;
  std::size_t bytes = 0;
  for (Index index = from; index <= this->lastIndex() && result.size() < maxEntries; ++index) {
    const Entry &entry = this->at(index);
    bytes += entry.payload.size();
    if (!result.empty() && bytes > maxBytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

void Log::append(Entry entry) {
  assert(entry.index == this->lastIndex() + 1);
  assert(entry.term >= this->lastTerm());
  this->entries.push_back(std::move(entry));
}

void Log::truncate(Index from) {
  assert(from > this->commit && "a committed entry must never be overwritten");
  if (from > this->lastIndex()) {
    return;
  }
  this->entries.resize(from - this->base - 1);
  this->durable = std::min(this->durable, from - 1);
  this->writing = std::min(this->writing, from - 1);
}

void Log::commitTo(Index index) {
  assert(index <= this->lastIndex());
  this->commit = std::max(this->commit, index);
}

void Log::install(Index index, Term term) {
  assert(index > this->commit && "a snapshot must never undo a commit");
  this->entries.clear();
  this->base = index;
  this->baseTerm = term;
  this->commit = index;
  this->applied = index;
  // Zero until the write that contains the snapshot is confirmed.
  this->durable = 0;
  this->writing = 0;
}

void Log::compact(Index index) {
  assert(index <= this->applied);
  if (index <= this->base) {
    return;
  }
  this->baseTerm = this->at(index).term;
  this->entries.erase(this->entries.begin(),
                      this->entries.begin() + static_cast<std::ptrdiff_t>(index - this->base));
  this->base = index;
}

bool Log::hasUnwritten() const { return this->lastIndex() > std::max(this->writing, this->base); }

std::vector<Entry> Log::takeUnwritten() {
  const Index from = std::max(this->writing, this->base) + 1;
  this->writing = this->lastIndex();
  return {this->entries.begin() + static_cast<std::ptrdiff_t>(from - this->base - 1),
          this->entries.end()};
}

std::vector<Entry> Log::takeCommitted() {
  std::vector<Entry> result;
  const Index end = std::min(this->commit, this->durable);
  while (this->applied < end) {
    ++this->applied;
    result.push_back(this->at(this->applied));
  }
  return result;
}

} // namespace banyanrill::consensus
