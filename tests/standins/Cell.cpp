#include "Cell.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace banyanrill::standins {

namespace {

using nlohmann::json;

constexpr std::size_t MailboxSize = 65536;
constexpr base::Duration TickInterval = std::chrono::milliseconds(20);
constexpr base::Duration AnnouncementInterval = std::chrono::seconds(5);
// Daemons hold polls for 5 s; the rest covers a slow network.
constexpr base::Duration PollTimeout = std::chrono::seconds(8);
// Requests that have run for this long are listed in announcements.
constexpr base::Duration SlowRequest = std::chrono::seconds(1);
constexpr base::Duration CallTimeout = std::chrono::seconds(3);
constexpr base::Duration RetryInterval = std::chrono::milliseconds(500);
constexpr base::Duration MinPollInterval = std::chrono::milliseconds(100);
// Tasks that end within this time are reported in one poll.
constexpr base::Duration ReportDelay = std::chrono::milliseconds(200);

base::Duration millisecondsOf(const json &object, const char *name, std::int64_t fallback) {
  return std::chrono::milliseconds(object.value(name, fallback));
}

/// Parses "millicores=N;memory_mib=N;accelerators=N".
base::Resources parseDemand(const std::string &text) {
  base::Resources demand;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ';');) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos)
      throw std::invalid_argument("demand: must consist of name=value");
    const std::string name = part.substr(0, equals);
    const std::int64_t value = std::stoll(part.substr(equals + 1));
    if (name == "millicores")
      demand.millicores = value;
    else if (name == "memory_mib")
      demand.memoryMib = value;
    else if (name == "accelerators")
      demand.accelerators = value;
    else
      throw std::invalid_argument("demand: unknown resource " + name);
  }
  return demand;
}

/// The caller's key: the header if the daemon forwards it, otherwise the field of the body.
std::string keyOf(const http::Request &request) {
  const std::string header = http::findHeader(request.headers, "idempotency-key");
  if (!header.empty())
    return header;
  const json body = json::parse(request.body, nullptr, false);
  return body.is_object() ? body.value("key", std::string()) : std::string();
}

} // namespace

CellOptions readCellOptions(const json &config) {
  CellOptions options;
  for (const json &entry : config.at("entries")) {
    const auto address = parseAddress(entry.get<std::string>());
    if (!address)
      throw std::invalid_argument("entries: must be of the form host:port");
    options.entries.push_back(*address);
  }
  if (options.entries.empty())
    throw std::invalid_argument("entries: must not be empty");
  options.dataCentre = config.at("data_centre").get<std::string>();
  options.name = config.value("name", options.dataCentre);
  options.listenAddress = config.value("listen", std::string("127.0.0.1"));
  options.rackSize = std::max<std::size_t>(config.value("rack_size", std::size_t{8}), 1);
  options.workers = config.at("workers").get<std::size_t>();
  options.upstreams = config.value("upstreams", std::size_t{0});
  if (options.workers == 0)
    throw std::invalid_argument("workers: must be at least 1");
  const json &capacity = config.at("capacity");
  options.capacity = {capacity.at("millicores").get<std::int64_t>(),
                      capacity.at("memory_mib").get<std::int64_t>(),
                      capacity.value("accelerators", std::int64_t{0})};
  options.team = config.value("team", std::string());
  options.service = config.value("service", std::string());
  options.slots = config.value("slots", 8);
  options.connections = config.value("connections", 64);
  const json operations = config.value("operations", json::object());
  for (const auto &[name, operation] : operations.items())
    options.serviceTimes[name] = millisecondsOf(operation, "service_ms", 0);
  options.failingWorkers = config.value("failing_workers", std::vector<std::size_t>());
  options.usageLag = millisecondsOf(config, "usage_lag_ms", 2000);
  options.drainTimeout = millisecondsOf(config, "drain_ms", 10000);
  options.lateWatch = millisecondsOf(config, "late_watch_ms", 0);
  options.latency = millisecondsOf(config, "latency_ms", 0);
  options.seed = config.at("seed").get<std::uint64_t>();
  options.journal = config.at("journal").get<std::string>();
  return options;
}

Cell::Cell(CellOptions settings)
    : options(std::move(settings)), journal(this->options.journal), random(this->options.seed),
      mailbox(MailboxSize) {
  const base::TimePoint now = base::steadyNow();
  const auto spread = [this](base::Duration interval) {
    return base::Duration(static_cast<std::int64_t>(
        this->random.below(static_cast<std::uint64_t>(interval.count()))));
  };
  for (std::size_t i = 0; i < this->options.workers; ++i) {
    const std::vector<std::size_t> &failing = this->options.failingWorkers;
    WorkerOptions worker{this->options.name + "-w" + std::to_string(i),
                         this->options.dataCentre,
                         this->options.name + "-r" + std::to_string(i / this->options.rackSize),
                         this->options.capacity,
                         this->options.entries,
                         this->options.usageLag,
                         std::count(failing.begin(), failing.end(), i) != 0};
    this->workers.push_back({Worker(std::move(worker), base::RandomSource(this->random.next())),
                             {},
                             0,
                             now,
                             now + spread(std::chrono::seconds(1)),
                             false});
  }
  for (std::size_t i = 0; i < this->options.upstreams; ++i) {
    Upstream upstream;
    upstream.id = this->options.name + "-u" + std::to_string(i);
    upstream.worker = i % this->options.workers;
    upstream.nextEntry = this->random.below(this->options.entries.size());
    upstream.nextAnnouncement = now + spread(std::chrono::seconds(1));
    this->upstreamById[upstream.id] = i;
    this->upstreams.push_back(std::move(upstream));
  }
  http::LoopOptions loopOptions;
  loopOptions.listenAddress = this->options.listenAddress;
  // More than all slots, so that a daemon that exceeds them is seen and not refused.
  loopOptions.maxExchanges =
      4096 + 4 * this->options.upstreams *
                 static_cast<std::size_t>(std::max(this->options.connections, 0));
  http::LoopHandlers handlers;
  handlers.onRequest = [this](http::ExchangeId exchange, http::Request request) {
    this->mailbox.post({exchange, std::move(request), 0, {}});
  };
  handlers.onDisconnect = [](http::ExchangeId) {};
  handlers.onCallResult = [this](http::CallId call, http::CallResult result) {
    this->mailbox.post({0, {}, call, std::move(result)});
  };
  auto started = http::Loop::start(loopOptions, std::move(handlers));
  if (!started)
    throw std::runtime_error(started.error().path + ": " + started.error().message);
  this->loop = std::move(started.value());
  this->journal.write("cell_start", {{"name", this->options.name}, {"port", this->loop->port()}},
                      now);
}

void Cell::run(const std::function<bool()> &stopping) {
  base::TimePoint nextTick = base::steadyNow();
  std::optional<base::TimePoint> drainEnd;
  base::TimePoint watchEnd;
  for (;;) {
    base::TimePoint wake = nextTick;
    if (!this->executions.empty())
      wake = std::min(wake, this->executions.begin()->first);
    if (!this->answers.empty())
      wake = std::min(wake, this->answers.begin()->first);
    for (const Event &event : this->mailbox.receive(wake)) {
      if (event.call == 0) {
        this->onRequest(event.exchange, event.request, base::steadyNow());
        continue;
      }
      const auto found = this->calls.find(event.call);
      if (found == this->calls.end())
        continue; // A poll that was cancelled.
      const CallHandler handler = std::move(found->second);
      this->calls.erase(found);
      handler(event.result);
    }
    const base::TimePoint now = base::steadyNow();
    while (!this->executions.empty() && this->executions.begin()->first <= now) {
      const Execution execution = std::move(this->executions.begin()->second);
      this->executions.erase(this->executions.begin());
      this->finish(execution, now);
    }
    this->answerDue(now);
    if (now < nextTick)
      continue;
    nextTick = now + TickInterval;
    this->tick(now);
    if (!this->leaving && stopping()) {
      this->leaving = true;
      drainEnd = now + this->options.drainTimeout;
      watchEnd = now + this->options.lateWatch;
      for (Upstream &upstream : this->upstreams)
        upstream.nextAnnouncement = now;
      this->journal.write("cell_leaving", {{"name", this->options.name}}, now);
    }
    if (drainEnd && (now >= *drainEnd || (now >= watchEnd && this->isDrained())))
      break;
  }
  const base::TimePoint now = base::steadyNow();
  for (std::size_t i = 0; i < this->workers.size(); ++i)
    this->record(i, this->workers[i].worker.stopAll(), now);
  this->journal.write("cell_stop",
                      {{"name", this->options.name}, {"unfinished", this->executions.size()}}, now);
}

bool Cell::isDrained() const {
  return this->executions.empty() && this->answers.empty() && this->loop->openExchanges() == 0 &&
         std::all_of(this->upstreams.begin(), this->upstreams.end(),
                     [](const Upstream &upstream) { return upstream.left; });
}

void Cell::tick(base::TimePoint now) {
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    this->record(i, this->workers[i].worker.tick(now), now);
    this->drivePolls(i, now);
  }
  for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
    const Upstream &upstream = this->upstreams[i];
    if (upstream.call == 0 && !upstream.left && now >= upstream.nextAnnouncement)
      this->announce(i, now);
  }
}

void Cell::drivePolls(std::size_t index, base::TimePoint now) {
  HostedWorker &hosted = this->workers[index];
  if (hosted.poll != 0) {
    // News do not wait for the end of a long poll.
    if (!hosted.hasNews || now - hosted.pollSent < ReportDelay)
      return;
    this->calls.erase(hosted.poll);
    this->loop->cancel(hosted.poll);
    hosted.poll = 0;
  } else if (now < hosted.nextPoll) {
    return;
  }
  const auto target = hosted.worker.pollTarget(now);
  if (!target)
    return;
  hosted.hasNews = false;
  hosted.pollSent = now;
  hosted.poll =
      this->send(*target, "POST", "/v1/workers/" + hosted.worker.config().id + "/poll",
                 hosted.worker.poll(*target, now), PollTimeout,
                 [this, index](const http::CallResult &r) { this->onPollResult(index, r); });
}

void Cell::onPollResult(std::size_t index, const http::CallResult &result) {
  HostedWorker &hosted = this->workers[index];
  const base::TimePoint now = base::steadyNow();
  hosted.poll = 0;
  hosted.nextPoll = std::max(now, hosted.pollSent + MinPollInterval);
  const json answer = json::parse(result.response.body, nullptr, false);
  if (result.verdict != base::Verdict::Ran || result.response.status != 200 ||
      !answer.is_object()) {
    hosted.worker.onFailure();
    hosted.nextPoll = now + RetryInterval;
    return;
  }
  try {
    this->record(index, hosted.worker.onAnswer(answer, now), now);
  } catch (const json::exception &error) {
    this->journal.write("bad_answer",
                        {{"worker", hosted.worker.config().id}, {"reason", error.what()}}, now);
    hosted.worker.onFailure();
    hosted.nextPoll = now + RetryInterval;
  }
}

void Cell::announce(std::size_t index, base::TimePoint now) {
  Upstream &upstream = this->upstreams[index];
  upstream.nextAnnouncement = now + AnnouncementInterval;
  upstream.callAddress = upstream.owner.value_or(
      this->options.entries[upstream.nextEntry % this->options.entries.size()]);
  const auto handler = [this, index](const http::CallResult &r) {
    this->onAnnounceResult(index, r);
  };
  upstream.departing = this->leaving;
  if (upstream.departing) {
    // Only the first: the time within which requests must end counts from there.
    if (!std::exchange(upstream.departureSent, true))
      this->journal.write("upstream_leaving", {{"upstream", upstream.id}}, now);
    upstream.call = this->send(upstream.callAddress, "DELETE", "/v1/upstreams/" + upstream.id,
                               nullptr, CallTimeout, handler);
    return;
  }
  std::int32_t inherited = 0;
  base::Resources demand;
  for (const auto &[token, part] : upstream.byToken) {
    // Another daemon than the one that issued the token did not dispatch any of these.
    if (upstream.owner && !token.empty() && token == upstream.ownerToken)
      continue;
    inherited += part.first;
    demand = demand + part.second;
  }
  const json body = {{"id", upstream.id},
                     {"team", this->options.team},
                     {"service", this->options.service},
                     {"worker", this->workers[upstream.worker].worker.config().id},
                     {"host", this->options.listenAddress},
                     {"port", this->loop->port()},
                     {"slots", this->options.slots},
                     {"connections", this->options.connections},
                     {"in_progress", inherited},
                     {"millicores", demand.millicores},
                     {"memory_mib", demand.memoryMib},
                     {"accelerators", demand.accelerators},
                     {"slow_requests", this->slowRequests(index, now)}};
  upstream.call =
      this->send(upstream.callAddress, "POST", "/v1/upstreams", body, CallTimeout, handler);
}

json Cell::slowRequests(std::size_t index, base::TimePoint now) const {
  json listed = json::array();
  for (const auto &[end, execution] : this->executions) {
    const bool own = execution.ownerToken == this->upstreams[index].ownerToken;
    if (execution.upstream == index && own && now - execution.started >= SlowRequest)
      listed.push_back(execution.requestId);
  }
  return listed;
}

void Cell::onAnnounceResult(std::size_t index, const http::CallResult &result) {
  Upstream &upstream = this->upstreams[index];
  const base::TimePoint now = base::steadyNow();
  upstream.call = 0;
  const bool good = result.verdict == base::Verdict::Ran && result.response.status >= 200 &&
                    result.response.status < 300;
  if (!good) {
    upstream.owner.reset();
    upstream.ownerToken.clear();
    ++upstream.nextEntry;
    upstream.nextAnnouncement = now + RetryInterval;
    // 404: the daemons do not know the instance, so that it has left.
    if (upstream.departing && result.verdict == base::Verdict::Ran && result.response.status == 404)
      upstream.left = true;
    return;
  }
  if (this->leaving) {
    // This may be the answer to an announcement that was in flight at the stop.
    upstream.left = upstream.departing;
    return;
  }
  const json answer = json::parse(result.response.body, nullptr, false);
  try {
    const Address owner{answer.at("host").get<std::string>(),
                        answer.at("port").get<std::uint16_t>()};
    if (owner.host.empty() || owner.port == 0) {
      upstream.nextAnnouncement = now + RetryInterval;
      return;
    }
    const bool registered = answer.value("registered", true);
    const std::string token = answer.value("owner_token", std::string());
    // The owner must hear of the instance now, not after the next interval. A new token changes
    // which requests count as those of other owners.
    if (owner != upstream.callAddress || (registered && token != upstream.ownerToken))
      upstream.nextAnnouncement = now + MinPollInterval;
    else if (!registered)
      upstream.nextAnnouncement = now + RetryInterval;
    upstream.owner = owner;
    upstream.ownerToken = registered ? token : std::string();
  } catch (const json::exception &error) {
    this->journal.write("bad_answer", {{"upstream", upstream.id}, {"reason", error.what()}}, now);
  }
}

void Cell::onRequest(http::ExchangeId exchange, const http::Request &request, base::TimePoint now) {
  const auto found =
      this->upstreamById.find(http::findHeader(request.headers, "banyanrill-upstream"));
  const std::string operation = request.path.empty() ? "" : request.path.substr(1);
  const auto serviceTime = this->options.serviceTimes.find(operation);
  if (request.method != "POST" || found == this->upstreamById.end() ||
      serviceTime == this->options.serviceTimes.end()) {
    this->reject(exchange, 404, "unknown upstream or operation");
    return;
  }
  Execution execution{exchange,
                      found->second,
                      http::findHeader(request.headers, "banyanrill-request-id"),
                      keyOf(request),
                      operation,
                      request.body,
                      http::findHeader(request.headers, "banyanrill-owner"),
                      {},
                      now};
  try {
    execution.demand = parseDemand(http::findHeader(request.headers, "banyanrill-demand"));
  } catch (const std::exception &) {
    this->reject(exchange, 400, "malformed demand");
    return;
  }
  Upstream &upstream = this->upstreams[execution.upstream];
  HostedWorker &hosted = this->workers[upstream.worker];
  ++upstream.inProgress;
  auto &[count, demand] = upstream.byToken[execution.ownerToken];
  ++count;
  demand = demand + execution.demand;
  hosted.requests = hosted.requests + execution.demand;
  this->journal.write("request_start",
                      {{"request_id", execution.requestId},
                       {"key", execution.key},
                       {"operation", operation},
                       {"upstream", upstream.id},
                       {"worker", hosted.worker.config().id}},
                      now);
  this->checkUpstream(upstream, now);
  this->checkWorker(upstream.worker, now);
  // Between half and one and a half of the configured time.
  const auto time = static_cast<double>(serviceTime->second.count()) * (0.5 + this->random.unit());
  this->executions.emplace(now + base::Duration(static_cast<std::int64_t>(time)),
                           std::move(execution));
}

void Cell::finish(const Execution &execution, base::TimePoint now) {
  Upstream &upstream = this->upstreams[execution.upstream];
  HostedWorker &hosted = this->workers[upstream.worker];
  --upstream.inProgress;
  const auto ofToken = upstream.byToken.find(execution.ownerToken);
  ofToken->second.second = ofToken->second.second - execution.demand;
  if (--ofToken->second.first == 0)
    upstream.byToken.erase(ofToken);
  hosted.requests = hosted.requests - execution.demand;
  this->journal.write("request_end",
                      {{"request_id", execution.requestId},
                       {"key", execution.key},
                       {"operation", execution.operation},
                       {"upstream", upstream.id},
                       {"worker", hosted.worker.config().id}},
                      now);
  const json answer = {{"request_id", execution.requestId},
                       {"operation", execution.operation},
                       {"upstream", upstream.id},
                       {"service_us", (now - execution.started).count()},
                       {"request", execution.body}};
  http::Response response{200,
                          {{"content-type", "application/json"}},
                          answer.dump(-1, ' ', false, json::error_handler_t::replace)};
  this->answers.emplace(now + 2 * this->options.latency,
                        std::pair(execution.exchange, std::move(response)));
}

void Cell::answerDue(base::TimePoint now) {
  while (!this->answers.empty() && this->answers.begin()->first <= now) {
    auto &[exchange, response] = this->answers.begin()->second;
    this->loop->respond(exchange, std::move(response));
    this->answers.erase(this->answers.begin());
  }
}

void Cell::record(std::size_t worker, const std::vector<TaskChange> &changes, base::TimePoint now) {
  HostedWorker &hosted = this->workers[worker];
  for (const TaskChange &change : changes) {
    json line = {{"task", change.key.first},
                 {"attempt", change.key.second},
                 {"worker", hosted.worker.config().id}};
    if (!change.outcome.empty())
      line["outcome"] = change.outcome;
    this->journal.write("task_" + change.what, std::move(line), now);
    hosted.hasNews = hosted.hasNews || change.what != "checkpoint";
  }
  if (!changes.empty())
    this->checkWorker(worker, now);
}

void Cell::checkWorker(std::size_t index, base::TimePoint now) {
  const HostedWorker &hosted = this->workers[index];
  const base::Resources used = hosted.worker.taskDemand() + hosted.requests;
  const base::Resources &limit = this->options.capacity;
  if (used.fitsIn(limit))
    return;
  this->journal.write("over",
                      {{"kind", "worker"},
                       {"id", hosted.worker.config().id},
                       {"millicores", used.millicores},
                       {"memory_mib", used.memoryMib},
                       {"accelerators", used.accelerators}},
                      now);
}

void Cell::checkUpstream(const Upstream &upstream, base::TimePoint now) {
  if (upstream.inProgress <= std::min(this->options.slots, this->options.connections))
    return;
  this->journal.write(
      "over", {{"kind", "upstream"}, {"id", upstream.id}, {"in_progress", upstream.inProgress}},
      now);
}

void Cell::reject(http::ExchangeId exchange, int status, const std::string &reason) {
  this->loop->respond(
      exchange, {status, {{"content-type", "application/json"}}, json({{"error", reason}}).dump()});
}

http::CallId Cell::send(const Address &target, const std::string &method, const std::string &path,
                        const json &body, base::Duration timeout, CallHandler handler) {
  http::Call call;
  call.host = target.host;
  call.port = target.port;
  call.request.method = method;
  call.request.path = path;
  if (!body.is_null()) {
    call.request.headers = {{"content-type", "application/json"}};
    call.request.body = body.dump();
  }
  call.timeout = timeout;
  const http::CallId id = this->loop->call(std::move(call));
  this->calls[id] = std::move(handler);
  return id;
}

} // namespace banyanrill::standins
