// Commands of the replicated log and their results.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/placement/Planner.h"
#include "banyanrill/routing/ClaimTable.h"
#include "banyanrill/settings/Tree.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace banyanrill::control {

struct ChangeSettings {
  settings::Change change;

  bool operator==(const ChangeSettings &) const = default;
};

struct OwnerAssignment {
  base::WorkerId worker;
  base::DaemonId daemon = base::NoDaemon;

  bool operator==(const OwnerAssignment &) const = default;
};

/// Names owners; applying it gives each worker the next epoch.
struct AssignOwners {
  std::vector<OwnerAssignment> assignments;

  bool operator==(const AssignOwners &) const = default;
};

struct ClaimRequest {
  std::string key;
  std::string digest;
  routing::ClaimHolder holder;

  bool operator==(const ClaimRequest &) const = default;
};

struct CompleteClaim {
  std::string key;
  routing::ClaimHolder holder;
  routing::RecordedOutcome outcome;

  bool operator==(const CompleteClaim &) const = default;
};

struct ReleaseClaim {
  std::string key;
  routing::ClaimHolder holder;

  bool operator==(const ReleaseClaim &) const = default;
};

/// New states of tasks, and jobs that ended with them.
struct UpdateTasks {
  std::vector<placement::TaskRecord> tasks;
  std::vector<placement::EndJob> ended;

  bool operator==(const UpdateTasks &) const = default;
};

using Command = std::variant<ChangeSettings, AssignOwners, ClaimRequest, CompleteClaim,
                             ReleaseClaim, UpdateTasks>;

/// Payload of one log entry.
struct Batch {
  std::int64_t logTimeMs = 0; ///< The leader's wall clock; applying it never goes back.
  std::vector<Command> commands;

  bool operator==(const Batch &) const = default;
};

/// Result of one command; `monostate` where nothing is to be told.
using Result = std::variant<std::monostate, settings::Outcome, routing::ClaimResult>;

} // namespace banyanrill::control
