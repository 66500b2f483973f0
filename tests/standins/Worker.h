// The worker's side of the ownership lease and of its tasks, without I/O.
#pragma once

#include "Address.h"

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Resources.h"
#include "banyanrill/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace banyanrill::standins {

struct WorkerOptions {
  std::string id;
  std::string dataCentre;
  std::string rack;
  base::Resources capacity;
  std::vector<Address> entries;
  base::Duration usageLag = std::chrono::seconds(2);
  bool failsEverything = false;
};

struct WorkerTask {
  std::string state = "running"; ///< running, succeeded, failed or stopped.
  base::Resources demand;
  base::TimePoint started;
  std::optional<base::TimePoint> ends; ///< Empty: runs until it is stopped.
  bool willFail = false;
  bool keepWhenIsolated = false;
  double usageFactor = 1; ///< Use in relation to the declared demand.
};

using TaskKey = std::pair<std::string, int>; ///< Task and attempt.

/// A start or end of a task, for the journal.
struct TaskChange {
  TaskKey key;
  std::string what; ///< start, end, checkpoint or throttle.
  std::string outcome;
};

/// Polls one owner; see the design, sections 5 and 7. Not thread-safe.
class Worker {
public:
  Worker(WorkerOptions options, base::RandomSource random);

  const WorkerOptions &config() const { return this->options; }

  /// Where the next poll goes; empty while the lease of an earlier owner must first pass.
  std::optional<Address> pollTarget(base::TimePoint now);

  /// Body of a poll that is sent now to `target`.
  nlohmann::json poll(const Address &target, base::TimePoint now);

  /// Uses the answer to the latest poll. Returns what happened to tasks.
  std::vector<TaskChange> onAnswer(const nlohmann::json &answer, base::TimePoint now);

  /// The latest poll failed, or its answer named no owner: the next one goes to another entry.
  void onFailure();

  /// Ends tasks whose time has come or whose lease has passed.
  std::vector<TaskChange> tick(base::TimePoint now);

  /// Ends all tasks, because the process stops.
  std::vector<TaskChange> stopAll();

  /// Demand of the tasks that run now.
  base::Resources taskDemand() const;

private:
  void accept(const Address &address, std::uint64_t newEpoch, std::uint64_t offer);
  void renew(const nlohmann::json &answer, base::TimePoint now, std::vector<TaskChange> &changes);
  bool mayChangeOwner(base::TimePoint now) const;
  void execute(const nlohmann::json &command, base::TimePoint now,
               std::vector<TaskChange> &changes);
  void end(const TaskKey &key, const std::string &outcome, std::vector<TaskChange> &changes);
  void rememberEnd(const TaskKey &key);

  WorkerOptions options;
  base::RandomSource random;
  std::size_t nextEntry = 0;
  std::optional<Address> owner;
  bool ownerSilent = false;    ///< The latest poll to the owner failed; ask an entry.
  bool released = false;       ///< The owner gave the worker up.
  bool formerReleased = false; ///< The owner before this one did.
  std::optional<Address> hint; ///< Asked before the entries.
  std::optional<Address> next; ///< Named, but the lease of the earlier owner has not passed.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  Address pollAddress;
  base::TimePoint pollSent;
  std::optional<base::TimePoint> lastPollToOwner;
  base::TimePoint leaseStart; ///< When the last poll that the owner answered was sent.
  std::optional<base::TimePoint> contactEnds;
  std::map<TaskKey, WorkerTask> tasks;
  std::map<std::string, int> highestAttempt; ///< Of tasks that ended, against late starts.
};

} // namespace banyanrill::standins
