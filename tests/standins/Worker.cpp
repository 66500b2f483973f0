#include "Worker.h"

#include <algorithm>

namespace banyanrill::standins {

namespace {

using nlohmann::json;

constexpr base::Duration OwnershipLease = std::chrono::seconds(12);
constexpr base::Duration TaskLease = std::chrono::seconds(15);
constexpr std::size_t MaxRememberedTasks = 65536;

base::Resources resourcesOf(const json &value) {
  return {value.value("millicores", std::int64_t{0}), value.value("memory_mib", std::int64_t{0}),
          value.value("accelerators", std::int64_t{0})};
}

/// Address of the owner in an answer; empty if none is named.
std::optional<Address> ownerAddressOf(const json &answer) {
  Address address;
  const auto host = answer.find("host");
  if (host != answer.end() && host->is_string())
    address.host = host->get<std::string>();
  const auto port = answer.find("port");
  if (port != answer.end() && port->is_number_unsigned())
    address.port = port->get<std::uint16_t>();
  if (address.host.empty() || address.port == 0)
    return std::nullopt;
  return address;
}

} // namespace

Worker::Worker(WorkerOptions settings, base::RandomSource source)
    : options(std::move(settings)), random(source) {
  this->nextEntry = this->random.below(this->options.entries.size());
}

std::optional<Address> Worker::pollTarget(base::TimePoint now) {
  if (this->next && this->mayChangeOwner(now))
    this->accept(this->next->address, this->next->epoch);
  if (this->next)
    return std::nullopt;
  if (this->owner && !this->ownerSilent)
    return this->owner;
  if (this->hint)
    return this->hint;
  return this->options.entries[this->nextEntry % this->options.entries.size()];
}

json Worker::poll(const Address &target, base::TimePoint now) {
  this->pollAddress = target;
  this->pollSent = now;
  this->pollReported.clear();
  if (this->owner && *this->owner == target)
    this->lastPollToOwner = now;
  json inventory = json::array();
  for (const auto &[key, task] : this->tasks) {
    const bool running = task.state == "running";
    if (!running)
      this->pollReported.push_back(key);
    const bool known = running && now - task.started >= this->options.usageLag;
    const double factor = known ? task.usageFactor : 0;
    inventory.push_back(
        {{"id", key.first},
         {"attempt", key.second},
         {"state", task.state},
         {"millicores_used",
          static_cast<std::int64_t>(static_cast<double>(task.demand.millicores) * factor)},
         {"memory_mib_used",
          static_cast<std::int64_t>(static_cast<double>(task.demand.memoryMib) * factor)}});
  }
  return {{"data_centre", this->options.dataCentre},
          {"rack", this->options.rack},
          {"millicores", this->options.capacity.millicores},
          {"memory_mib", this->options.capacity.memoryMib},
          {"accelerators", this->options.capacity.accelerators},
          {"epoch", this->epoch},
          {"sequence", this->sequence},
          {"tasks", std::move(inventory)}};
}

std::vector<TaskChange> Worker::onAnswer(const json &answer, base::TimePoint now) {
  std::vector<TaskChange> changes;
  const auto named = ownerAddressOf(answer);
  const auto answerEpoch = answer.value("epoch", std::uint64_t{0});
  if (!named || answerEpoch < this->epoch || answerEpoch == 0) {
    this->onFailure();
    return changes;
  }
  const bool fromOwner = this->owner && *this->owner == this->pollAddress;
  if (answerEpoch == this->epoch && fromOwner) {
    this->ownerSilent = false;
    this->sequence = answer.value("sequence", this->sequence);
    this->leaseStart = this->pollSent;
    // The remaining time was right when the answer was sent, which is after the poll was.
    if (answer.contains("contact_ms"))
      this->contactEnds =
          this->pollSent + std::chrono::milliseconds(answer["contact_ms"].get<std::int64_t>());
    for (const TaskKey &key : this->pollReported)
      this->tasks.erase(key);
    if (answer.contains("commands")) {
      for (const json &command : answer["commands"])
        this->execute(command, now, changes);
    }
    if (answer.value("released", false)) {
      this->released = true;
      // The next owner is known by address; its epoch comes with its first answer.
      this->owner.reset();
      this->ownerSilent = true;
      this->hint = named;
      return changes;
    }
    this->owner = named;
    return changes;
  }
  if (answerEpoch == this->epoch) {
    // Polls to an owner that released the worker would renew its lease.
    if (this->released) {
      this->onFailure();
      return changes;
    }
    // An entry names the owner that is known already: it is asked again.
    this->owner = named;
    this->ownerSilent = false;
    return changes;
  }
  this->next = NextOwner{*named, answerEpoch};
  if (this->mayChangeOwner(now))
    this->accept(*named, answerEpoch);
  return changes;
}

void Worker::onFailure() {
  this->ownerSilent = true;
  this->hint.reset();
  ++this->nextEntry;
}

std::vector<TaskChange> Worker::tick(base::TimePoint now) {
  std::vector<TaskChange> changes;
  const bool leaseOver = now - this->leaseStart >= TaskLease;
  const bool contactOver = this->contactEnds && now >= *this->contactEnds;
  for (const auto &[key, task] : this->tasks) {
    if (task.state != "running")
      continue;
    if (leaseOver || (contactOver && !task.keepWhenIsolated))
      this->end(key, "stopped", changes);
    else if (task.ends && now >= *task.ends)
      this->end(key, task.willFail ? "failed" : "succeeded", changes);
  }
  return changes;
}

std::vector<TaskChange> Worker::stopAll() {
  std::vector<TaskChange> changes;
  for (const auto &[key, task] : this->tasks) {
    if (task.state == "running")
      this->end(key, "stopped", changes);
  }
  return changes;
}

base::Resources Worker::taskDemand() const {
  base::Resources sum;
  for (const auto &[key, task] : this->tasks) {
    if (task.state == "running")
      sum = sum + task.demand;
  }
  return sum;
}

void Worker::accept(const Address &address, std::uint64_t newEpoch) {
  this->owner = address;
  this->epoch = newEpoch;
  this->sequence = 0;
  this->ownerSilent = false;
  this->released = false;
  this->lastPollToOwner.reset();
  this->next.reset();
  this->hint.reset();
}

bool Worker::mayChangeOwner(base::TimePoint now) const {
  return this->epoch == 0 || this->released || !this->lastPollToOwner ||
         now - *this->lastPollToOwner >= OwnershipLease;
}

void Worker::execute(const json &command, base::TimePoint now, std::vector<TaskChange> &changes) {
  const TaskKey key(command.at("task").get<std::string>(), command.at("attempt").get<int>());
  const std::string kind = command.at("kind").get<std::string>();
  const auto found = this->tasks.find(key);
  const bool running = found != this->tasks.end() && found->second.state == "running";
  if (kind == "start") {
    // A repeated or late command must not run the same attempt again.
    const auto ended = this->highestAttempt.find(key.first);
    if (found != this->tasks.end() ||
        (ended != this->highestAttempt.end() && key.second <= ended->second))
      return;
    const json spec = command.value("spec", json::object());
    const auto runMs = spec.value("run_ms", std::int64_t{0});
    WorkerTask task;
    task.demand = resourcesOf(command);
    task.started = now;
    task.willFail = this->options.failsEverything || spec.value("fail", false);
    if (runMs > 0 || task.willFail)
      task.ends = now + std::chrono::milliseconds(runMs);
    task.keepWhenIsolated = spec.value("on_isolation", std::string("move")) == "keep";
    task.usageFactor = 0.3 + 0.7 * this->random.unit();
    this->tasks.emplace(key, task);
    changes.push_back({key, "start", {}});
  } else if (kind == "stop") {
    if (running) {
      this->end(key, "stopped", changes);
    } else if (found == this->tasks.end()) {
      // Never started here: the owner needs the confirmation, and a late start must not follow.
      this->tasks.emplace(key, WorkerTask{"stopped", {}, now, {}, false, false, 0});
      this->rememberEnd(key);
    }
  } else if (running) {
    if (kind == "throttle")
      found->second.usageFactor /= 2;
    changes.push_back({key, kind, {}});
  }
}

void Worker::end(const TaskKey &key, const std::string &outcome, std::vector<TaskChange> &changes) {
  this->tasks.at(key).state = outcome;
  this->rememberEnd(key);
  changes.push_back({key, "end", outcome});
}

void Worker::rememberEnd(const TaskKey &key) {
  if (this->highestAttempt.size() >= MaxRememberedTasks)
    this->highestAttempt.clear();
  int &highest = this->highestAttempt[key.first];
  highest = std::max(highest, key.second);
}

} // namespace banyanrill::standins
