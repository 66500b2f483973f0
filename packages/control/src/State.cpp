#include "banyanrill/control/State.h"

#include "banyanrill/settings/Policy.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace banyanrill::control {

namespace {

using nlohmann::json;

constexpr std::string_view OwnerPrefix = "/system/owners/";

json encodeTask(const placement::TaskRecord &task) {
  return json::array(
      {task.id.index, task.attempt, static_cast<int>(task.phase), task.worker.value});
}

placement::TaskRecord decodeTask(const base::JobId &job, const json &value) {
  return {{job, value.at(0).get<std::uint32_t>()},
          value.at(1).get<std::uint32_t>(),
          static_cast<placement::TaskPhase>(value.at(2).get<int>()),
          {value.at(3).get<std::string>()}};
}

json encodeJob(const JobRecord &job) {
  json tasks = json::array();
  for (const auto &[index, task] : job.tasks)
    tasks.push_back(encodeTask(task));
  return json::array({std::move(tasks), job.cancelled, job.ended, job.succeeded, job.reason});
}

JobRecord decodeJob(const base::JobId &id, const json &value) {
  JobRecord job;
  for (const json &encoded : value.at(0)) {
    const placement::TaskRecord task = decodeTask(id, encoded);
    job.tasks[task.id.index] = task;
  }
  job.cancelled = value.at(1).get<bool>();
  job.ended = value.at(2).get<bool>();
  job.succeeded = value.at(3).get<bool>();
  job.reason = value.at(4).get<std::string>();
  return job;
}

} // namespace

std::string ownerPath(const base::WorkerId &worker) {
  return std::string(OwnerPrefix) + worker.value;
}

Owner parseOwner(const std::string &text) {
  const json parsed = json::parse(text);
  return {parsed.at("daemon").get<base::DaemonId>(), parsed.at("epoch").get<std::uint64_t>()};
}

bool isJobPath(const std::string &path) {
  if (path.rfind("/teams/", 0) != 0)
    return false;
  const std::size_t kindStart = path.find('/', 7);
  if (kindStart == std::string::npos)
    return false;
  const std::size_t nameStart = path.find('/', kindStart + 1);
  if (nameStart == std::string::npos)
    return false;
  const std::string kind = path.substr(kindStart + 1, nameStart - kindStart - 1);
  return kind == "services" || kind == "batches" || kind == "gangs";
}

State::State(StateLimits limits) : limits(limits) {}

std::vector<Result> State::apply(const Batch &batch) {
  this->timeMs = std::max(this->timeMs, batch.logTimeMs);
  ++this->batches;
  this->claimTable.expire(this->timeMs);
  std::vector<Result> results;
  results.reserve(batch.commands.size());
  for (const Command &command : batch.commands)
    results.push_back(std::visit([this](const auto &typed) { return this->run(typed); }, command));
  return results;
}

settings::Outcome State::check(const settings::Change &change) const {
  if (const std::optional<settings::Outcome> refused = this->findLimit(change))
    return *refused;
  return this->tree.check(change);
}

Result State::run(const ChangeSettings &command) {
  if (const std::optional<settings::Outcome> refused = this->findLimit(command.change))
    return *refused;
  const settings::Revision before = this->tree.revision();
  settings::Outcome outcome = this->tree.apply(command.change);
  // A resend returns the first outcome and leaves the revision as it was.
  if (outcome.accepted && this->tree.revision() != before)
    this->updateJobs(command.change);
  return outcome;
}

Result State::run(const AssignOwners &command) {
  settings::Change change;
  // Operators' identifiers hold the token's name before the slash, so none of them equals this one.
  change.requestId = "/owners-" + std::to_string(this->batches);
  change.author = "system";
  change.wallClockMs = this->timeMs;
  for (const OwnerAssignment &assignment : command.assignments) {
    const std::optional<settings::Value> known = this->tree.get(ownerPath(assignment.worker));
    const Owner current = known ? parseOwner(known->json) : Owner{};
    if (known && current.daemon == assignment.daemon)
      continue;
    const json value = {{"daemon", assignment.daemon}, {"epoch", current.epoch + 1}};
    change.edits.push_back({ownerPath(assignment.worker), value.dump(), std::nullopt});
  }
  if (!change.edits.empty())
    this->tree.apply(change);
  return std::monostate{};
}

Result State::run(const ClaimRequest &command) {
  return this->claimTable.claim(command.key, command.digest, command.holder, this->timeMs);
}

Result State::run(const CompleteClaim &command) {
  this->claimTable.complete(command.key, command.holder, command.outcome, this->timeMs);
  return std::monostate{};
}

Result State::run(const ReleaseClaim &command) {
  this->claimTable.release(command.key, command.holder);
  return std::monostate{};
}

Result State::run(const UpdateTasks &command) {
  for (const placement::TaskRecord &task : command.tasks) {
    const auto job = this->jobRecords.find(task.id.job);
    if (job == this->jobRecords.end() || job->second.ended)
      continue;
    // A late event of an earlier attempt must not undo a newer assignment.
    const auto known = job->second.tasks.find(task.id.index);
    if (known != job->second.tasks.end() && known->second.attempt > task.attempt)
      continue;
    job->second.tasks[task.id.index] = task;
  }
  for (const placement::EndJob &end : command.ended) {
    const auto job = this->jobRecords.find(end.job);
    if (job == this->jobRecords.end())
      continue;
    if (job->second.cancelled) {
      this->jobRecords.erase(job);
      continue;
    }
    job->second.ended = true;
    job->second.succeeded = end.succeeded;
    job->second.reason = end.reason;
    job->second.tasks.clear();
  }
  return std::monostate{};
}

std::optional<settings::Outcome> State::findLimit(const settings::Change &change) const {
  std::size_t tasks = 0;
  for (const auto &[id, job] : this->jobRecords)
    tasks += job.tasks.size();
  for (const settings::Edit &edit : change.edits) {
    if (!isJobPath(edit.path) || !edit.json)
      continue;
    const auto known = this->jobRecords.find({edit.path});
    if (known != this->jobRecords.end() && known->second.cancelled) {
      settings::Outcome refused;
      refused.revision = this->tree.revision();
      refused.errorPath = edit.path;
      refused.errorMessage = "a job of this name is still being cancelled";
      refused.errorCode = static_cast<int>(base::Errc::Unavailable);
      return refused;
    }
    const base::Result<settings::JobPolicy> policy =
        settings::parseJobPolicy(edit.path, *edit.json);
    if (policy)
      tasks += static_cast<std::size_t>(std::max(0, policy.value().count));
  }
  if (tasks <= this->limits.tasks)
    return std::nullopt;
  settings::Outcome refused;
  refused.revision = this->tree.revision();
  refused.errorPath = change.edits.empty() ? "" : change.edits.front().path;
  refused.errorMessage =
      "the cell holds at most " + std::to_string(this->limits.tasks) + " tasks of jobs not ended";
  refused.errorCode = static_cast<int>(base::Errc::LimitReached);
  return refused;
}

void State::updateJobs(const settings::Change &change) {
  for (const settings::Edit &edit : change.edits) {
    if (!isJobPath(edit.path))
      continue;
    if (edit.json) {
      this->jobRecords.try_emplace({edit.path});
      continue;
    }
    const auto job = this->jobRecords.find({edit.path});
    if (job == this->jobRecords.end())
      continue;
    if (job->second.ended) {
      this->jobRecords.erase(job);
      continue;
    }
    job->second.cancelled = true;
  }
}

std::string State::save() const {
  json jobs = json::object();
  for (const auto &[id, job] : this->jobRecords)
    jobs[id.value] = encodeJob(job);
  json complete = {{"jobs", std::move(jobs)}, {"time", this->timeMs}, {"batches", this->batches}};
  const std::string treeBytes = this->tree.save();
  const std::string claimBytes = this->claimTable.save();
  complete["settings"] = json::binary({treeBytes.begin(), treeBytes.end()});
  complete["claims"] = json::binary({claimBytes.begin(), claimBytes.end()});
  const std::vector<std::uint8_t> bytes = json::to_msgpack(complete);
  return {bytes.begin(), bytes.end()};
}

base::Status State::load(const std::string &saved) {
  try {
    const json parsed = json::from_msgpack(saved);
    State loaded(this->limits);
    const auto &treeBytes = parsed.at("settings").get_binary();
    const auto &claimBytes = parsed.at("claims").get_binary();
    if (const base::Status status = loaded.tree.load({treeBytes.begin(), treeBytes.end()}); !status)
      return status.error();
    if (const base::Status status = loaded.claimTable.load({claimBytes.begin(), claimBytes.end()});
        !status)
      return status.error();
    for (const auto &[id, job] : parsed.at("jobs").items())
      loaded.jobRecords[{id}] = decodeJob({id}, job);
    loaded.timeMs = parsed.at("time").get<std::int64_t>();
    loaded.batches = parsed.at("batches").get<std::uint64_t>();
    *this = std::move(loaded);
    return std::monostate{};
  } catch (const json::exception &failure) {
    return base::Error{base::Errc::DataCorrupted, "control state", failure.what()};
  }
}

} // namespace banyanrill::control
