#include "SafetyChecker.h"

#include <functional>
#include <stdexcept>

namespace banyanrill::consensus::testing {

namespace {

void require(bool holds, const std::string &violation) {
  if (!holds) {
    throw std::runtime_error(violation);
  }
}

} // namespace

void SafetyChecker::observe(ReplicaId id, const Replica &replica) {
  if (replica.role() == Role::Leader) {
    const auto [found, added] = this->leaders.emplace(replica.term(), id);
    require(found->second == id, "two leaders in term " + std::to_string(replica.term()));
  }
}

void SafetyChecker::store(const std::vector<Entry> &written, Term previousTerm) {
  for (const Entry &entry : written) {
    const auto [found, added] =
        this->stored.emplace(std::pair(entry.index, entry.term), std::pair(entry, previousTerm));
    require(found->second == std::pair(entry, previousTerm),
            "logs differ at " + std::to_string(entry.index));
    previousTerm = entry.term;
  }
}

void SafetyChecker::commit(const Entry &entry) {
  if (entry.index <= this->entries.size()) {
    require(this->at(entry.index) == entry,
            "committed entry " + std::to_string(entry.index) + " changed");
    return;
  }
  require(entry.index == this->entries.size() + 1, "commits are not contiguous");
  this->entries.push_back(entry);
  this->digests.push_back(this->digests.back() * 31 + std::hash<std::string>{}(entry.payload));
  if (entry.kind == EntryKind::Command) {
    require(this->commands.emplace(entry.payload, entry.index).second,
            "command " + entry.payload + " committed twice");
  }
}

void SafetyChecker::install(const Snapshot &snapshot) const {
  require(snapshot.index <= this->committed() && snapshot.data == this->stateAt(snapshot.index),
          "snapshot " + std::to_string(snapshot.index) + " is not the committed state");
}

void SafetyChecker::read(Index atRequest, Index returned) const {
  require(returned >= atRequest, "read returned " + std::to_string(returned) + " after commit of " +
                                     std::to_string(atRequest));
}

std::string SafetyChecker::stateAt(Index index) const {
  return std::to_string(index) + ":" + std::to_string(this->digests.at(index)) +
         std::string(40 + index % 8, '.');
}

} // namespace banyanrill::consensus::testing
