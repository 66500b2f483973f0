#include "Replay.h"

#include <algorithm>
#include <utility>

namespace banyanrill::storage {

std::optional<std::string> Replay::apply(Record record) {
  if (record.hardState) {
    if (record.hardState->term < this->hardState.term)
      return "the term goes back";
    this->hardState = *record.hardState;
  }
  if (record.snapshot) {
    if (record.snapshot->index < this->snapshot.index)
      return "the snapshot goes back";
    this->snapshot = *record.snapshot;
    if (record.snapshot->resetLog)
      this->entries.clear();
  }
  for (StoredEntry &entry : record.entries) {
    if (entry.index == 0)
      return "an entry has index 0";
    // An empty log accepts any index: the segments before it may have been removed.
    if (!this->entries.empty() && entry.index > this->entries.back().index + 1)
      return "entry " + std::to_string(entry.index) + " follows entry " +
             std::to_string(this->entries.back().index);
    while (!this->entries.empty() && this->entries.back().index >= entry.index)
      this->entries.pop_back();
    this->entries.push_back(std::move(entry));
  }
  return std::nullopt;
}

std::optional<std::string> Replay::finish(std::uint64_t index, std::uint64_t term) {
  if (index < this->snapshot.index)
    return "the log refers to snapshot " + std::to_string(this->snapshot.index) +
           ", which is missing";
  if (index > this->snapshot.index) {
    const bool matches =
        std::any_of(this->entries.begin(), this->entries.end(), [&](const StoredEntry &entry) {
          return entry.index == index && entry.term == term;
        });
    this->snapshot = {index, term, !matches};
    if (!matches)
      this->entries.clear();
  }
  while (!this->entries.empty() && this->entries.front().index <= index)
    this->entries.pop_front();
  if (!this->entries.empty() && this->entries.front().index != index + 1)
    return "the entries " + std::to_string(index + 1) + " to " +
           std::to_string(this->entries.front().index - 1) + " are missing";
  return std::nullopt;
}

} // namespace banyanrill::storage
