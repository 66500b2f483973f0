#include "banyanrill/settings/Policy.h"

#include "CheckedJson.h"
#include "SettingPath.h"

#include <utility>

namespace banyanrill::settings {

namespace {

using base::Errc;
using base::Error;
using nlohmann::json;

/// The value, if it parses and satisfies the schema.
base::Result<json> parseChecked(Subtree subtree, const std::string &text) {
  base::Result<json> value = parseJson(text);
  if (!value)
    return value;
  if (const base::Status status = checkSchema(subtree, value.value()); !status)
    return status.error();
  return value;
}

base::Resources demandOf(const json &value) {
  return {value.value("millicores", std::int64_t{0}), value.value("memory_mib", std::int64_t{0}),
          value.value("accelerators", std::int64_t{0})};
}

JobKind kindOf(Subtree subtree) {
  if (subtree == Subtree::Service)
    return JobKind::Service;
  return subtree == Subtree::Gang ? JobKind::Gang : JobKind::Batch;
}

bool isJob(Subtree subtree) {
  return subtree == Subtree::Service || subtree == Subtree::Batch || subtree == Subtree::Gang;
}

} // namespace

base::Result<OperationPolicy> parseOperationPolicy(const std::string &text) {
  const base::Result<json> checked = parseChecked(Subtree::Operation, text);
  if (!checked)
    return checked.error();
  const json &value = checked.value();
  OperationPolicy policy;
  policy.repeatable = value.at("repeatable").get<bool>();
  policy.demand = demandOf(value);
  policy.deadlineMs = value.value("deadline_ms", policy.deadlineMs);
  policy.priority = value.value("priority", policy.priority);
  policy.crossRegionWhenFull = value.value("cross_region", "never") == "when_full";
  return policy;
}

base::Result<JobPolicy> parseJobPolicy(const std::string &path, const std::string &text) {
  const auto segments = splitPath(path);
  const std::optional<Subtree> subtree = segments ? subtreeOf(*segments) : std::nullopt;
  if (!subtree || !isJob(*subtree))
    return Error{Errc::NotFound, printable(path),
                 "a job is at /teams/<team>/{services,batches,gangs}/<name>"};
  const base::Result<json> checked = parseChecked(*subtree, text);
  if (!checked)
    return checked.error();
  const json &value = checked.value();
  JobPolicy policy;
  policy.kind = kindOf(*subtree);
  policy.team = (*segments)[1];
  policy.count = value.at("count").get<std::int32_t>();
  policy.demand = demandOf(value);
  policy.priority = value.value("priority", policy.priority);
  policy.dataCentres = value.value("data_centres", policy.dataCentres);
  policy.maxAttempts = value.value("max_attempts", policy.maxAttempts);
  policy.runMs = value.value("run_ms", policy.runMs);
  policy.deadlineMs = value.value("deadline_ms", policy.deadlineMs);
  policy.preemptible = value.value("preemptible", policy.preemptible);
  policy.checkpointable = value.value("checkpointable", policy.checkpointable);
  policy.moveOnIsolation = value.value("on_isolation", "move") == "move";
  return policy;
}

base::Status checkSetting(const std::string &path, const std::string &text) {
  const auto segments = splitPath(path);
  if (!segments)
    return Error{Errc::Malformed, printable(path), std::string(PathRule)};
  const std::optional<Subtree> subtree = subtreeOf(*segments);
  if (!subtree)
    return Error{Errc::NotFound, path, "the path is outside the known subtrees"};
  const base::Result<json> checked = parseChecked(*subtree, text);
  if (!checked) {
    Error error = checked.error();
    error.path = error.path.empty() ? path : path + "#" + error.path;
    return error;
  }
  return std::monostate{};
}

} // namespace banyanrill::settings
