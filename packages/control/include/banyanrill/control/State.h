// The replicated state: settings, owners of workers, tasks of jobs, and claims.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/control/Command.h"
#include "banyanrill/routing/ClaimTable.h"
#include "banyanrill/settings/Tree.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::control {

/// Owner of a worker as named in the log.
struct Owner {
  base::DaemonId daemon = base::NoDaemon;
  std::uint64_t epoch = 0;

  bool operator==(const Owner &) const = default;
};

/// Tasks of one job, and how it ended.
struct JobRecord {
  std::map<std::uint32_t, placement::TaskRecord> tasks;
  bool cancelled = false; ///< Its setting was removed.
  bool ended = false;
  bool succeeded = false;
  std::string reason;

  bool operator==(const JobRecord &) const = default;
};

struct StateLimits {
  std::size_t tasks = 65536;
  std::size_t workers = 8192;
};

/// Deterministic: replicas that apply the same batches hold equal states. Not thread-safe.
class State {
public:
  explicit State(StateLimits limits = {});

  /// Applies one batch; one result for each command.
  std::vector<Result> apply(const Batch &batch);

  /// Result that a change of settings would have now.
  settings::Outcome check(const settings::Change &change) const;

  const settings::Tree &settings() const { return this->tree; }
  const std::map<base::JobId, JobRecord> &jobs() const { return this->jobRecords; }
  std::size_t claims() const { return this->claimTable.size(); }
  std::int64_t logTimeMs() const { return this->timeMs; }

  /// Complete state for a snapshot.
  std::string save() const;

  /// Replaces the state. Errors: DataCorrupted; then nothing is changed.
  base::Status load(const std::string &saved);

private:
  Result run(const ChangeSettings &command);
  Result run(const AssignOwners &command);
  Result run(const ClaimRequest &command);
  Result run(const CompleteClaim &command);
  Result run(const ReleaseClaim &command);
  Result run(const UpdateTasks &command);
  std::optional<settings::Outcome> findLimit(const settings::Change &change) const;
  void updateJobs(const settings::Change &change);

  StateLimits limits;
  settings::Tree tree;
  routing::ClaimTable claimTable;
  std::map<base::JobId, JobRecord> jobRecords;
  std::int64_t timeMs = 0;
  std::uint64_t batches = 0;
};

/// Path under which the owner of a worker is kept in the settings.
std::string ownerPath(const base::WorkerId &worker);

/// Reads the value at an owner's path. Precondition: it satisfies the schema of that subtree.
Owner parseOwner(const std::string &json);

/// Whether a path names a job.
bool isJobPath(const std::string &path);

} // namespace banyanrill::control
