// A simple model of the tree of settings, and random changes for it.
#pragma once

#include "banyanrill/settings/Policy.h"
#include "banyanrill/settings/Tree.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace banyanrill::settings::tests {

using Values = std::map<std::string, Value>;

/// Small enough that random changes reach every bound.
inline TreeLimits smallLimits() {
  TreeLimits limits;
  limits.paths = 4;
  limits.valueBytes = 6;
  limits.totalBytes = 95;
  limits.editsPerChange = 3;
  limits.requestIds = 6;
  limits.auditRecords = 8;
  limits.history = 4;
  return limits;
}

struct TreeModel {
  TreeLimits limits = smallLimits();
  Revision revision = 0;
  Values values;
  std::deque<std::pair<Change, Outcome>> known;
  std::vector<AuditRecord> audit; ///< Oldest first, without bound.

  /// Code of the refusal, or 0.
  int evaluate(const Change &change) const {
    const auto code = [](base::Errc value) { return static_cast<int>(value); };
    if (change.edits.empty())
      return code(base::Errc::Malformed);
    if (change.edits.size() > this->limits.editsPerChange)
      return code(base::Errc::TooLarge);
    std::set<std::string> paths;
    for (const Edit &edit : change.edits) {
      if (!paths.insert(edit.path).second)
        return code(base::Errc::Malformed);
      if (edit.json && edit.json->size() > this->limits.valueBytes)
        return code(base::Errc::TooLarge);
      if (edit.json && !checkSetting(edit.path, *edit.json))
        return checkSetting(edit.path, *edit.json).error().code.value();
    }
    Values after = this->values;
    for (const Edit &edit : change.edits) {
      const auto found = this->values.find(edit.path);
      const Revision version = found == this->values.end() ? 0 : found->second.version;
      if (edit.expectedVersion.value_or(version) != version)
        return code(base::Errc::VersionConflict);
      if (!edit.json && version == 0)
        return code(base::Errc::NotFound);
      if (edit.json)
        after[edit.path] = {*edit.json, this->revision + 1};
      else
        after.erase(edit.path);
    }
    if (after.size() > std::max(this->limits.paths, this->values.size()))
      return code(base::Errc::LimitReached);
    if (bytesOf(after) > std::max(this->limits.totalBytes, bytesOf(this->values)))
      return code(base::Errc::LimitReached);
    return 0;
  }

  static std::size_t bytesOf(const Values &values) {
    std::size_t bytes = 0;
    for (const auto &[path, value] : values)
      bytes += path.size() + value.json.size();
    return bytes;
  }

  /// Takes over a change that was accepted or refused with `outcome`.
  void record(const Change &change, const Outcome &outcome) {
    this->known.emplace_back(change, outcome);
    if (this->known.size() > this->limits.requestIds)
      this->known.pop_front();
    if (!outcome.accepted)
      return;
    ++this->revision;
    for (const Edit &edit : change.edits) {
      const auto found = this->values.find(edit.path);
      AuditRecord record{this->revision, change.wallClockMs, change.author, change.requestId,
                         edit.path,      std::nullopt,       edit.json};
      if (found != this->values.end())
        record.before = found->second.json;
      this->audit.push_back(record);
      if (edit.json)
        this->values[edit.path] = {*edit.json, this->revision};
      else
        this->values.erase(edit.path);
    }
  }

  const std::pair<Change, Outcome> *find(const std::string &requestId) const {
    for (const auto &entry : this->known) {
      if (entry.first.requestId == requestId)
        return &entry;
    }
    return nullptr;
  }
};

inline std::uint64_t numberBetween(std::uint64_t low, std::uint64_t high) {
  return *rc::gen::inRange<std::uint64_t>(low, high + 1);
}

template <typename T> T oneOf(const std::vector<T> &choices) {
  return choices[numberBetween(0, choices.size() - 1)];
}

inline Edit randomEdit(const TreeModel &model) {
  Edit edit;
  // '-' and '.' sort before '/': a prefix must not take in its neighbours.
  edit.path = oneOf<std::string>({"/teams/a/notes/x", "/teams/a/notes/y", "/teams/a/notes/y.z",
                                  "/teams/a-b/notes/x", "/cell/workers/w", "/teams/a/colours/x"});
  if (numberBetween(0, 4) != 0)
    edit.json = oneOf<std::string>({"1", "\"two\"", "[3]", "{", "[1,2,3]"});
  const auto found = model.values.find(edit.path);
  const Revision version = found == model.values.end() ? 0 : found->second.version;
  const std::uint64_t choice = numberBetween(0, 3);
  if (choice == 0)
    edit.expectedVersion = numberBetween(0, model.revision + 1);
  if (choice == 1)
    edit.expectedVersion = version;
  return edit;
}

inline Change randomChange(const TreeModel &model) {
  Change change;
  change.requestId = "r" + std::to_string(numberBetween(0, 40));
  change.author = oneOf<std::string>({"", "night-shift"});
  change.wallClockMs = static_cast<std::int64_t>(numberBetween(0, 5)) - 2;
  for (std::uint64_t count = oneOf<std::uint64_t>({0, 1, 1, 1, 1, 1, 2, 2, 3, 4}); count > 0;
       --count)
    change.edits.push_back(randomEdit(model));
  return change;
}

/// A new change, or one that is sent again at another time.
inline Change randomOrRepeatedChange(const TreeModel &model) {
  if (model.known.empty() || numberBetween(0, 3) != 0)
    return randomChange(model);
  Change change = model.known[numberBetween(0, model.known.size() - 1)].first;
  change.wallClockMs += 1000;
  return change;
}

} // namespace banyanrill::settings::tests
