#include "banyanrill/daemon/WorkerApi.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace banyanrill::daemon {

namespace {

using nlohmann::json;

base::Error malformed(std::string path, std::string rule) {
  return {base::Errc::Malformed, std::move(path), std::move(rule)};
}

base::Resources parseResources(const json &value) {
  return {value.at("millicores").get<std::int64_t>(), value.at("memory_mib").get<std::int64_t>(),
          value.value("accelerators", std::int64_t{0})};
}

std::optional<WorkerTaskState> parseState(const std::string &name) {
  if (name == "running")
    return WorkerTaskState::Running;
  if (name == "succeeded")
    return WorkerTaskState::Succeeded;
  if (name == "failed")
    return WorkerTaskState::Failed;
  if (name == "stopped")
    return WorkerTaskState::Stopped;
  return std::nullopt;
}

const char *nameOf(WorkerCommandKind kind) {
  switch (kind) {
  case WorkerCommandKind::Start:
    return "start";
  case WorkerCommandKind::Stop:
    return "stop";
  case WorkerCommandKind::Checkpoint:
    return "checkpoint";
  case WorkerCommandKind::Forget:
    return "forget";
  }
  return "stop";
}

json formatCommand(const WorkerCommand &command) {
  json value = {{"kind", nameOf(command.kind)},
                {"task", formatTaskId(command.task)},
                {"attempt", command.attempt}};
  if (command.kind != WorkerCommandKind::Start)
    return value;
  value["millicores"] = command.demand.millicores;
  value["memory_mib"] = command.demand.memoryMib;
  value["accelerators"] = command.demand.accelerators;
  value["on_isolation"] = command.moveOnIsolation ? "move" : "keep";
  value["spec"] = json::parse(command.spec, nullptr, false);
  return value;
}

} // namespace

base::Result<WorkerPoll> parseWorkerPoll(const std::string &body) {
  try {
    const json value = json::parse(body);
    WorkerPoll poll;
    poll.dataCentre = value.at("data_centre").get<std::string>();
    poll.rack = value.value("rack", "");
    poll.capacity = parseResources(value);
    poll.epoch = value.value("epoch", std::uint64_t{0});
    poll.sequence = value.value("sequence", std::uint64_t{0});
    poll.released = value.value("released", poll.epoch == 0);
    if (!poll.capacity.isValid())
      return malformed("/", "millicores, memory_mib and accelerators must not be negative");
    for (const json &listed : value.value("tasks", json::array())) {
      const auto id = parseTaskId(listed.at("id").get<std::string>());
      const auto state = parseState(listed.at("state").get<std::string>());
      if (!id || !state)
        return malformed("/tasks",
                         "id must be PATH#INDEX and state running, succeeded, failed or stopped");
      WorkerTask task{*id, listed.at("attempt").get<std::uint32_t>(), *state,
                      parseResources(listed)};
      if (!task.demand.isValid())
        return malformed("/tasks", "amounts must not be negative");
      poll.tasks.push_back(std::move(task));
    }
    return poll;
  } catch (const json::exception &failure) {
    return malformed("/", failure.what());
  }
}

std::string formatWorkerAnswer(const WorkerAnswer &answer) {
  json commands = json::array();
  for (const WorkerCommand &command : answer.commands)
    commands.push_back(formatCommand(command));
  const json value = {{"owner", answer.owner},       {"host", answer.host},
                      {"port", answer.port},         {"epoch", answer.epoch},
                      {"sequence", answer.sequence}, {"released", answer.released},
                      {"lease_ms", answer.leaseMs},  {"contact_ms", answer.contactMs},
                      {"commands", commands}};
  return value.dump();
}

base::Result<Announcement> parseAnnouncement(const std::string &body) {
  try {
    const json value = json::parse(body);
    routing::UpstreamAnnouncement announcement;
    announcement.id = {value.at("id").get<std::string>()};
    announcement.team = value.at("team").get<std::string>();
    announcement.service = value.at("service").get<std::string>();
    announcement.worker = {value.at("worker").get<std::string>()};
    announcement.host = value.at("host").get<std::string>();
    announcement.port = value.at("port").get<std::uint16_t>();
    announcement.slots = value.at("slots").get<std::int32_t>();
    announcement.connections = value.at("connections").get<std::int32_t>();
    announcement.inProgress = value.value("in_progress", 0);
    constexpr std::int32_t MaxSlots = 4096;
    const bool valid = announcement.slots > 0 && announcement.slots <= MaxSlots &&
                       announcement.connections > 0 && announcement.inProgress >= 0 &&
                       !announcement.id.value.empty() && !announcement.worker.value.empty();
    if (!valid)
      return malformed("/", "id and worker must not be empty, slots must be 1 to 4096, connections "
                            "positive, in_progress not negative");
    Announcement complete{std::move(announcement), {}, {}};
    complete.slowRequests = value.value("slow_requests", std::vector<std::string>());
    complete.inherited = {value.value("millicores", std::int64_t{0}),
                          value.value("memory_mib", std::int64_t{0}),
                          value.value("accelerators", std::int64_t{0})};
    if (!complete.inherited.isValid())
      return malformed("/", "amounts must not be negative");
    return complete;
  } catch (const json::exception &failure) {
    return malformed("/", failure.what());
  }
}

std::string formatTaskId(const base::TaskId &id) {
  return id.job.value + "#" + std::to_string(id.index);
}

std::optional<base::TaskId> parseTaskId(const std::string &text) {
  const std::size_t separator = text.rfind('#');
  if (separator == std::string::npos || separator == 0)
    return std::nullopt;
  base::TaskId id;
  id.job.value = text.substr(0, separator);
  const char *end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data() + separator + 1, end, id.index);
  if (error != std::errc{} || parsed != end)
    return std::nullopt;
  return id;
}

} // namespace banyanrill::daemon
