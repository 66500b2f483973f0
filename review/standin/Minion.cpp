#include "Minion.h"

#include <algorithm>

namespace review {

using nlohmann::json;

void RunLog::started(const std::string &task, std::int64_t run, const std::string &minion,
                     std::int64_t token) {
  const std::lock_guard lock(this->mutex);
  ++this->startCount;
  const std::string name = task + " run " + std::to_string(run) + " on " + minion;
  this->record.line("start " + name + " token " + std::to_string(token));
  std::map<std::string, std::int64_t> &others = this->running[task];
  for (const auto &[other, otherRun] : others)
    this->record.broken("TWICE", name + " began while run " + std::to_string(otherRun) +
                                     " is at work on " + other);
  others[minion] = run;
  if (const auto earlier = this->done.find(task);
      earlier != this->done.end() && earlier->second.laterStart.empty()) {
    earlier->second.laterStart = name;
    this->checkDone(task, earlier->second);
  }
}

void RunLog::ended(const std::string &task, std::int64_t run, const std::string &minion,
                   const std::string &how) {
  const std::lock_guard lock(this->mutex);
  this->record.line("end " + task + " run " + std::to_string(run) + " on " + minion + ' ' + how);
  this->running[task].erase(minion);
  if (how == "done")
    this->done.emplace(task, Done{run, {}, false});
}

void RunLog::noted(const std::string &task, std::int64_t run) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->done.find(task);
  if (found == this->done.end() || found->second.run != run)
    return;
  found->second.noted = true;
  this->checkDone(task, found->second);
}

void RunLog::checkDone(const std::string &task, const Done &end) {
  if (end.noted && !end.laterStart.empty())
    this->record.broken("TWICE", end.laterStart + " began after run " + std::to_string(end.run) +
                                     " of " + task + " had ended done");
}

std::size_t RunLog::starts() {
  const std::lock_guard lock(this->mutex);
  return this->startCount;
}

std::size_t RunLog::runningNow() {
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto &[task, minions] : this->running)
    count += minions.size();
  return count;
}

Minion::Minion(MinionOptions minionOptions, RunLog &runLog, Record &caseRecord)
    : options(std::move(minionOptions)), log(runLog), record(caseRecord) {
  this->server = std::make_unique<Server>(
      this->options.address, [this](const Request &request) { return this->serve(request); });
  this->worker = std::thread([this] { this->work(); });
  this->reporter = std::thread([this] { this->beat(); });
}

Minion::~Minion() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->reporter.join();
  this->worker.join();
  this->server.reset();
}

std::string Minion::address() const {
  return this->options.address + ':' + std::to_string(this->server->port());
}

void Minion::drain() {
  std::unique_lock lock(this->mutex);
  this->draining = true;
  this->changed.notify_all();
  this->changed.wait(lock, [this] { return this->drainAcknowledged; });
  this->record.line("draining acknowledged " + this->options.id);
}

void Minion::end() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
  for (const auto &[task, run] : this->running)
    this->log.ended(task, run.run, this->options.id, "gone");
  this->running.clear();
  this->changed.notify_all();
}

void Minion::cutOneWay() {
  const std::lock_guard lock(this->mutex);
  this->cut = true;
  this->server->ignoreConnections();
  this->record.line("cut off one way " + this->options.id);
}

std::size_t Minion::runningCount() {
  const std::lock_guard lock(this->mutex);
  return this->running.size();
}

json Minion::report() {
  const std::lock_guard lock(this->mutex);
  return {
      {"Service", this->options.service},
      {"Address", this->address()},
      {"Zone", this->options.zone},
      {"Version", "v1"},
      {"Slots", 8},
      {"State", this->draining ? "draining" : "ready"},
      {"ColdRemainingMs", 0},
      {"Capacity", {{"Cpu", this->options.cpu}, {"MemMb", this->options.memoryMb}, {"Gpus", 0}}},
      {"Labels", {"a", this->options.rack}},
      {"ClockMs", this->clockMs()},
      {"born", this->born},
      {"Sequence", ++this->sequence}};
}

Response Minion::answer(int status, const std::string &reason) {
  json body = {{"ClockMs", this->clockMs()}, {"born", this->born}};
  if (!reason.empty())
    body["Reason"] = reason;
  return {status, body.dump()};
}

Response Minion::serve(const Request &request) {
  std::unique_lock lock(this->mutex);
  // What is lost on the way is neither carried out nor answered.
  const bool wasCut = this->cut;
  this->changed.wait(lock, [&] { return !wasCut || this->stopping; });
  if (this->stopping)
    return this->answer(503);
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != this->options.id)
    return this->answer(421);
  const json order = json::parse(request.body, nullptr, false);
  if (!order.is_object())
    return this->answer(400);
  this->advance();
  const std::int64_t token = order.value("FencingToken", std::int64_t(0));
  if (token < this->fence)
    return this->answer(409, "fence");
  this->fence = token;
  if (request.path == "/v1/run-start")
    return this->start(order);
  if (request.path == "/v1/run-stop")
    return this->stop(order);
  if (request.path == "/v1/hold")
    return this->hold(order, lock);
  return this->answer(404);
}

void Minion::extendLease(const json &order) {
  if (!order.contains("DeadlineMs"))
    return;
  const std::int64_t wanted = order["DeadlineMs"].get<std::int64_t>();
  this->leaseUntilMs =
      std::max(this->leaseUntilMs, std::min(wanted, this->clockMs() + this->options.holdMaxMs));
}

Response Minion::start(const json &order) {
  const std::string task = order["Task"];
  const std::int64_t run = order["Run"];
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run == run) {
    this->extendLease(order);
    return this->answer(200);
  }
  if (order["DeadlineMs"].get<std::int64_t>() <= this->clockMs())
    return this->answer(409, "late");
  this->extendLease(order);
  if (run <= this->barred[task] || (found != this->running.end() && found->second.run > run))
    return this->answer(409, "old");
  const std::string spec = order["TaskSpec"];
  const std::int64_t takesMs = std::strtoll(spec.c_str(), nullptr, 10);
  this->running[task] = {run, nowMs() + takesMs};
  this->log.started(task, run, this->options.id, this->fence);
  this->changed.notify_all();
  return this->answer(200);
}

Response Minion::stop(const json &order) {
  const std::string task = order["Task"];
  const std::int64_t run = order["Run"];
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run <= run)
    this->finish(task, "stopped");
  this->barred[task] = std::max(this->barred[task], run);
  return this->answer(200);
}

Response Minion::hold(const json &order, std::unique_lock<std::mutex> &lock) {
  this->extendLease(order);
  const std::int64_t lastSeen = order.value("LastSeen", std::int64_t(0));
  while (!this->ends.empty() && this->ends.front().number <= lastSeen) {
    const End &end = this->ends.front();
    if (end.how == "done" && !end.lapsedSince)
      this->log.noted(end.task, end.run);
    this->ends.pop_front();
  }
  const std::int64_t waitMs = std::min<std::int64_t>(order.value("WaitMs", 0), 2000);
  this->changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                         [this] { return !this->ends.empty() || this->stopping; });
  this->advance();
  json rows = json::array();
  for (const auto &[task, run] : this->running)
    rows.push_back({task, run.run, "", 50, 0});
  json ended = json::array();
  for (const End &end : this->ends) {
    if (ended.size() < 500)
      ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  const json body = {
      {"ClockMs", this->clockMs()}, {"born", this->born}, {"Running", rows}, {"Ended", ended}};
  const bool isLost = this->cut;
  this->changed.wait(lock, [&] { return !isLost || this->stopping; });
  return {200, body.dump()};
}

void Minion::finish(const std::string &task, const std::string &how) {
  const std::int64_t run = this->running.at(task).run;
  this->running.erase(task);
  this->barred[task] = std::max(this->barred[task], run);
  this->ends.push_back({++this->lastEnd, task, run, how, false});
  this->log.ended(task, run, this->options.id, how);
  this->changed.notify_all();
}

void Minion::advance() {
  std::vector<std::string> done;
  for (const auto &[task, run] : this->running) {
    if (nowMs() >= run.endsAtMs)
      done.push_back(task);
  }
  for (const std::string &task : done)
    this->finish(task, "done");
  if (this->clockMs() < this->leaseUntilMs)
    return;
  for (End &end : this->ends)
    end.lapsedSince = true;
  while (!this->running.empty())
    this->finish(std::string(this->running.begin()->first), "lapsed");
}

void Minion::work() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    this->advance();
    this->changed.wait_for(lock, std::chrono::milliseconds(10));
  }
}

void Minion::beat() {
  constexpr int AnswerMs = 1000;
  std::string target = this->options.control[randomBelow(this->options.control.size())];
  std::int64_t next = nowMs();
  while (true) {
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait_for(lock, std::chrono::milliseconds(20),
                             [this] { return this->stopping; });
      if (this->stopping)
        return;
      const bool isNews = this->draining && !this->drainAcknowledged;
      if (this->cut || (nowMs() < next && !isNews))
        continue;
    }
    const json sent = this->report();
    const CallResult result =
        callAndFollow(target, "PUT", "/v1/instances/" + this->options.id, sent.dump(), AnswerMs);
    if (result.status / 100 != 2) {
      target = this->options.control[randomBelow(this->options.control.size())];
      next = nowMs() + 100;
      continue;
    }
    if (sent["State"] == "draining") {
      const std::lock_guard lock(this->mutex);
      this->drainAcknowledged = true;
      this->changed.notify_all();
    }
    const json body = json::parse(result.body, nullptr, false);
    if (body.is_object() && body.contains("HeartbeatAddress"))
      target = body["HeartbeatAddress"];
    next = nowMs() + this->options.heartbeatMs;
  }
}

} // namespace review
