// Typed policies parsed from settings, and the rules that a setting must satisfy.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyanrill::settings {

/// Policy of one operation of a service, at /teams/<team>/operations/<service>.<operation>.
struct OperationPolicy {
  bool repeatable = false;
  base::Resources demand;
  std::int64_t deadlineMs = 10000;
  std::int32_t priority = 0; ///< Higher is more urgent.
  bool crossRegionWhenFull = false;

  bool operator==(const OperationPolicy &) const = default;
};

enum class JobKind : std::uint8_t { Service, Batch, Gang };

/// Policy of one job, at /teams/<team>/{services,batches,gangs}/<name>.
struct JobPolicy {
  JobKind kind = JobKind::Batch;
  std::string team;
  std::int32_t count = 1;
  base::Resources demand;
  std::int32_t priority = 0;
  std::vector<std::string> dataCentres; ///< Empty: any.
  std::int32_t maxAttempts = 3;         ///< For each task; services have no limit.
  std::int64_t runMs = 0;               ///< Declared run time; 0 if unknown.
  std::int64_t deadlineMs = 0;          ///< From acceptance; 0 if none.
  bool preemptible = true;
  bool checkpointable = false;
  bool moveOnIsolation = true;

  bool operator==(const JobPolicy &) const = default;
};

/// Errors: SchemaViolation or Malformed, with the path inside the JSON value.
base::Result<OperationPolicy> parseOperationPolicy(const std::string &json);

/// \param path the setting's path, which gives team and kind.
base::Result<JobPolicy> parseJobPolicy(const std::string &path, const std::string &json);

/// Checks path and value against the schema of that part of the tree. Errors: SchemaViolation,
/// Malformed, NotFound for a path outside the known subtrees.
base::Status checkSetting(const std::string &path, const std::string &json);

} // namespace banyanrill::settings
