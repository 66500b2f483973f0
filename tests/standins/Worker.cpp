#include "Worker.h"

#include <algorithm>

namespace banyanrill::standins {

namespace {

using nlohmann::json;

constexpr base::Duration OwnershipLease = std::chrono::seconds(12);
constexpr base::Duration TaskLease = std::chrono::seconds(20);
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
  if (this->next) {
    if (!this->mayChangeOwner(now))
      return std::nullopt;
    // Asked for an offer, still with the earlier epoch. No poll may renew the earlier lease now.
    this->hint = this->next;
    this->next.reset();
    this->owner.reset();
  }
  if (this->owner && !this->ownerSilent)
    return this->owner;
  if (this->hint)
    return this->hint;
  return this->options.entries[this->nextEntry % this->options.entries.size()];
}

json Worker::poll(const Address &target, base::TimePoint now) {
  this->pollAddress = target;
  this->pollSent = now;
  if (this->owner && *this->owner == target)
    this->lastPollToOwner = now;
  json inventory = json::array();
  for (const auto &[key, task] : this->tasks) {
    const bool visible = task.state == "running" && now - task.started >= this->options.usageLag;
    const double factor = visible ? task.usageFactor : 0;
    const auto used = [factor](std::int64_t declared) {
      return static_cast<std::int64_t>(static_cast<double>(declared) * factor);
    };
    inventory.push_back({{"id", key.first},
                         {"attempt", key.second},
                         {"state", task.state},
                         {"millicores", task.demand.millicores},
                         {"memory_mib", task.demand.memoryMib},
                         {"accelerators", task.demand.accelerators},
                         {"millicores_used", used(task.demand.millicores)},
                         {"memory_mib_used", used(task.demand.memoryMib)}});
  }
  return {{"data_centre", this->options.dataCentre},
          {"rack", this->options.rack},
          {"millicores", this->options.capacity.millicores},
          {"memory_mib", this->options.capacity.memoryMib},
          {"accelerators", this->options.capacity.accelerators},
          {"epoch", this->epoch},
          {"sequence", this->sequence},
          {"released", this->epoch == 0 || this->released || this->formerReleased},
          {"tasks", std::move(inventory)}};
}

std::vector<TaskChange> Worker::onAnswer(const json &answer, base::TimePoint now) {
  std::vector<TaskChange> changes;
  const auto named = ownerAddressOf(answer);
  const auto answerEpoch = answer.value("epoch", std::uint64_t{0});
  const bool polledOwner = this->owner && *this->owner == this->pollAddress;
  if (polledOwner && answer.value("released", false)) {
    this->released = true;
    this->owner.reset();
    this->hint = named;
    return changes;
  }
  if (!named) {
    // No owner is named yet: the same daemon is asked again.
    this->ownerSilent = true;
    return changes;
  }
  const bool fromNamed = *named == this->pollAddress;
  if (answerEpoch == this->epoch && polledOwner && fromNamed) {
    this->renew(answer, now, changes);
  } else if (answerEpoch > this->epoch && fromNamed && this->mayChangeOwner(now)) {
    this->accept(*named, answerEpoch, answer.value("sequence", std::uint64_t{0}));
  } else if (answerEpoch > this->epoch) {
    this->next = named;
  } else if (answerEpoch == this->epoch && !this->released) {
    // An entry names the owner that is known already: it is asked again.
    this->owner = named;
    this->ownerSilent = false;
  } else {
    // Out of date, or an owner that released the worker, whose lease a poll would renew.
    this->onFailure();
  }
  return changes;
}

void Worker::renew(const json &answer, base::TimePoint now, std::vector<TaskChange> &changes) {
  this->ownerSilent = false;
  this->formerReleased = false;
  this->sequence = answer.value("sequence", this->sequence);
  this->leaseStart = this->pollSent;
  // The remaining time was right when the answer was sent, which is after the poll was.
  if (answer.contains("contact_ms"))
    this->contactEnds =
        this->pollSent + std::chrono::milliseconds(answer["contact_ms"].get<std::int64_t>());
  if (!answer.contains("commands"))
    return;
  for (const json &command : answer["commands"])
    this->execute(command, now, changes);
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

void Worker::accept(const Address &address, std::uint64_t newEpoch, std::uint64_t offer) {
  this->formerReleased = this->epoch == 0 || this->released;
  this->owner = address;
  this->epoch = newEpoch;
  this->sequence = offer;
  this->ownerSilent = false;
  this->released = false;
  this->lastPollToOwner.reset();
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
    task.keepWhenIsolated = command.value("on_isolation", std::string("move")) == "keep";
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
  } else if (kind == "forget") {
    if (found != this->tasks.end() && !running)
      this->tasks.erase(found);
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
