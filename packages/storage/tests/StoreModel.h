// What a log store should hold, kept in memory, and random batches for it.
#pragma once

#include "banyanrill/storage/LogStore.h"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include "../src/Environment.h"

namespace banyanrill::storage::tests {

struct StoreModel {
  StoredHardState hardState;
  std::optional<StoredSnapshot> snapshot;
  std::vector<StoredEntry> entries;

  bool operator==(const StoreModel &) const = default;

  std::uint64_t snapshotIndex() const { return this->snapshot ? this->snapshot->index : 0; }
  std::uint64_t lastIndex() const { return this->snapshotIndex() + this->entries.size(); }

  void install(const std::optional<StoredSnapshot> &candidate) {
    if (!candidate || candidate->index <= this->snapshotIndex())
      return;
    const auto match = std::find_if(this->entries.begin(), this->entries.end(), [&](const auto &e) {
      return e.index == candidate->index && e.term == candidate->term;
    });
    if (match == this->entries.end())
      this->entries.clear();
    else
      this->entries.erase(this->entries.begin(), match + 1);
    this->snapshot = candidate;
  }

  void write(const Batch &batch) {
    this->hardState = batch.hardState.value_or(this->hardState);
    this->install(batch.snapshot);
    for (const StoredEntry &entry : batch.entries) {
      if (entry.index <= this->snapshotIndex())
        continue;
      this->entries.resize(entry.index - this->snapshotIndex() - 1);
      this->entries.push_back(entry);
    }
  }
};

inline StoreModel modelOf(const RecoveredState &recovered) {
  return {recovered.hardState, recovered.snapshot, recovered.entries};
}

/// In [low, high].
inline std::uint64_t numberBetween(std::uint64_t low, std::uint64_t high) {
  return *rc::gen::inRange<std::uint64_t>(low, high + 1);
}

/// A batch that fits the model: snapshots inside, at the end of and beyond the log; entries that
/// append, that replace a suffix, and that the snapshot covers.
inline Batch randomBatch(const StoreModel &model) {
  Batch batch;
  if (numberBetween(0, 2) == 0)
    batch.hardState = {model.hardState.term + numberBetween(0, 2),
                       static_cast<std::uint32_t>(numberBetween(0, 5))};
  StoreModel after = model;
  if (numberBetween(0, 3) == 0) {
    StoredSnapshot snapshot;
    snapshot.index = numberBetween(model.snapshotIndex(), model.lastIndex() + 2);
    snapshot.term = numberBetween(1, 3);
    snapshot.data = *rc::gen::string<std::string>();
    for (const StoredEntry &entry : model.entries) {
      if (entry.index == snapshot.index && numberBetween(0, 2) != 0)
        snapshot.term = entry.term;
    }
    batch.snapshot = snapshot;
    after.install(snapshot);
  }
  const std::uint64_t oldest = std::max<std::uint64_t>(1, after.snapshotIndex());
  std::uint64_t index = numberBetween(oldest, after.lastIndex() + 1);
  if (numberBetween(0, 2) != 0)
    index = after.lastIndex() + 1;
  for (std::uint64_t count = numberBetween(0, 4); count > 0; --count)
    batch.entries.push_back({index++, numberBetween(1, 3),
                             static_cast<std::uint8_t>(numberBetween(0, 3)),
                             *rc::gen::string<std::string>()});
  return batch;
}

/// Small segments, and no waiting for a disk: these tests damage files, they do not stop machines.
inline Environment quickEnvironment() {
  Environment environment = systemEnvironment();
  environment.segmentBytes = 300;
  environment.files.fsync = [](int) { return 0; };
  environment.files.fdatasync = [](int) { return 0; };
  return environment;
}

/// Names sort by number, so the last one is the newest.
inline std::string newestSegment(const std::string &folder) {
  std::string newest;
  for (const auto &entry : std::filesystem::directory_iterator(folder)) {
    const std::string path = entry.path().string();
    if (entry.path().filename().string().rfind("log-", 0) == 0)
      newest = std::max(newest, path);
  }
  return newest;
}

/// Size of a segment without any batch.
inline constexpr std::size_t EmptySegmentBytes = 83;

} // namespace banyanrill::storage::tests
