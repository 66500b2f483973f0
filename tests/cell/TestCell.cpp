#include "TestCell.h"

#include "banyanrill/base/EventLog.h"
#include "banyanrill/daemon/Digest.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace banyanrill::test {

namespace {

using nlohmann::json;

constexpr std::uint16_t FirstHttpPort = 1000;
constexpr std::uint16_t UpstreamPort = 9000;
constexpr std::int32_t Slots = 4;
constexpr base::Resources WorkerCapacity{4000, 4096, 0};
constexpr base::Duration TickInterval = std::chrono::milliseconds(20);
constexpr const char *AdminToken = "admin-token";

daemon::Config configOf(base::DaemonId daemon) {
  daemon::Config config;
  config.cell = "test";
  config.daemon = daemon;
  config.dataFolder = "memory";
  config.adminTokenSha256 = daemon::sha256Hex(AdminToken);
  for (base::DaemonId id = 1; id <= 5; ++id) {
    const bool first = id == 1 || id == 2 || id == 4;
    config.peers.push_back({id, "region", first ? "a" : "b", "127.0.0.1", 1,
                            static_cast<std::uint16_t>(FirstHttpPort + id), id <= 3});
  }
  return config;
}

base::Resources demandOf(const http::Request &request) {
  base::Resources demand;
  std::istringstream parts(http::findHeader(request.headers, "banyanrill-demand"));
  std::string part;
  while (std::getline(parts, part, ';')) {
    const std::int64_t amount = std::stoll(part.substr(part.find('=') + 1));
    if (part.rfind("millicores", 0) == 0)
      demand.millicores = amount;
    else if (part.rfind("memory_mib", 0) == 0)
      demand.memoryMib = amount;
  }
  return demand;
}

std::string verdictOf(const http::Response &response) {
  return http::findHeader(response.headers, "banyanrill-verdict");
}

} // namespace

TestCell::TestCell(std::uint64_t seed, std::size_t workerCount)
    : randomness(seed), now(base::TimePoint{} + std::chrono::hours(1)) {
  base::initializeEventLog("test", base::Severity::Error);
  for (base::DaemonId id = 1; id <= 5; ++id) {
    Node node;
    node.config = configOf(id);
    this->nodes.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < this->nodes.size(); ++i)
    this->startNode(i);
  std::vector<standins::Address> entries;
  for (const Node &node : this->nodes)
    entries.push_back({"127.0.0.1", node.config.self().httpPort});
  for (std::size_t i = 0; i < workerCount; ++i) {
    standins::WorkerOptions options;
    options.id = "w" + std::to_string(i);
    options.dataCentre = i % 2 == 0 ? "a" : "b";
    options.rack = "r" + std::to_string(i / 4);
    options.capacity = WorkerCapacity;
    options.entries = entries;
    this->workers.push_back({standins::Worker(options, base::RandomSource(this->randomness.next())),
                             false,
                             false,
                             this->now,
                             {},
                             0,
                             {}});
    this->upstreams.push_back(
        {"u" + std::to_string(i), i, "", i % entries.size(), this->now, {}, false, {}});
  }
  this->at(this->now, [this] { this->tickStandins(); });
}

TestCell::~TestCell() = default;

void TestCell::at(base::TimePoint time, std::function<void()> action) {
  this->events.push({time, ++this->order, std::move(action)});
}

void TestCell::run(base::Duration time) {
  this->runUntil([] { return false; }, time);
}

bool TestCell::runUntil(const std::function<bool()> &condition, base::Duration limit) {
  const base::TimePoint end = this->now + limit;
  while (!condition()) {
    if (this->events.empty() || this->events.top().at > end) {
      this->now = end;
      return condition();
    }
    const Event event = this->events.top();
    this->events.pop();
    this->now = std::max(this->now, event.at);
    event.action();
  }
  return true;
}

base::Duration TestCell::delay() {
  return base::Duration(500 + static_cast<std::int64_t>(this->randomness.below(8000)));
}

void TestCell::startNode(std::size_t index) {
  Node &node = this->nodes[index];
  ++node.run;
  std::optional<consensus::StoredState> stored;
  if (node.config.self().replica)
    stored = node.disk.state;
  node.disk.opening = daemon::FirstOpening;
  node.disk.isOpen = true;
  auto created = daemon::Core::create(node.config, std::move(stored), this->randomness.next(),
                                      node.run, this->now);
  node.core = std::move(created.value());
  const std::uint64_t run = node.run;
  this->at(this->now, [this, index, run] { this->tickNode(index, run); });
}

void TestCell::tickNode(std::size_t index, std::uint64_t run) {
  Node &node = this->nodes[index];
  if (!node.core || node.run != run)
    return;
  if (this->now < node.pausedUntil) {
    this->at(node.pausedUntil, [this, index, run] { this->tickNode(index, run); });
    return;
  }
  const auto wall =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
  this->execute(index, node.core->tick(this->now, wall.count()));
  if (node.core->isStopping() && node.core->finished()) {
    this->crash(node.config.daemon);
    return;
  }
  this->at(this->now + TickInterval, [this, index, run] { this->tickNode(index, run); });
}

void TestCell::deliver(std::size_t index, std::uint64_t run, daemon::CoreEvent event) {
  Node &node = this->nodes[index];
  if (!node.core || node.run != run)
    return;
  if (this->now < node.pausedUntil) {
    // A paused process receives later what its sockets hold.
    auto held = std::make_shared<daemon::CoreEvent>(std::move(event));
    this->at(node.pausedUntil,
             [this, index, run, held] { this->deliver(index, run, std::move(*held)); });
    return;
  }
  const auto wall =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
  this->execute(index, node.core->handle(std::move(event), this->now, wall.count()));
  // The runtime ticks after each round of events.
  this->execute(index, node.core->tick(this->now, wall.count()));
}

void TestCell::execute(std::size_t index, std::vector<daemon::Action> actions) {
  for (daemon::Action &action : actions)
    std::visit([this, index](auto &typed) { this->take(index, typed); }, action);
}

void TestCell::take(std::size_t index, daemon::SendMessage &action) {
  const base::DaemonId from = this->nodes[index].config.daemon;
  if (action.to == base::NoDaemon || action.to > this->nodes.size())
    return;
  const std::size_t target = action.to - 1;
  const bool lost = this->cuts.count({from, action.to}) || this->randomness.unit() < this->loss;
  if (lost)
    return;
  const std::uint64_t run = this->nodes[target].run;
  auto envelope = std::make_shared<wire::Envelope>(
      wire::Envelope{from, action.to, this->nodes[index].run, std::move(action.body)});
  this->at(this->now + this->delay(), [this, target, run, envelope] {
    this->deliver(target, run, daemon::PeerEvent{*envelope});
  });
}

void TestCell::take(std::size_t, daemon::RespondExchange &action) {
  const auto exchange = this->exchanges.find(action.exchange);
  if (exchange == this->exchanges.end())
    return;
  auto handler = std::make_shared<ResponseHandler>(std::move(exchange->second));
  this->exchanges.erase(exchange);
  for (Node &node : this->nodes)
    node.open.erase(action.exchange);
  auto response = std::make_shared<http::Response>(std::move(action.response));
  this->at(this->now + this->delay(), [handler, response] { (*handler)(*response); });
}

void TestCell::take(std::size_t index, daemon::StartCall &action) {
  if (action.call.port == UpstreamPort) {
    this->runUpstream(index, action);
    return;
  }
  const std::optional<std::size_t> target = this->nodeByPort(action.call.port);
  const std::uint64_t run = this->nodes[index].run;
  const daemon::CallToken token = action.token;
  this->send(*target, std::move(action.call.request),
             [this, index, run, token](std::optional<http::Response> response) {
               http::CallResult result;
               result.verdict = response ? base::Verdict::Ran : base::Verdict::MayHaveRun;
               if (response)
                 result.response = *response;
               this->deliver(index, run, daemon::CallEvent{token, result});
             });
}

void TestCell::take(std::size_t index, daemon::StoreBatch &action) {
  const std::uint64_t run = this->nodes[index].run;
  auto batch = std::make_shared<daemon::StoreBatch>(std::move(action));
  this->at(this->now + this->delay(), [this, index, run, batch] {
    Node &node = this->nodes[index];
    if (!node.core || node.run != run || !node.disk.isOpen || batch->opening != node.disk.opening)
      return;
    if (node.disk.isFull) {
      node.disk.isOpen = false;
      this->deliver(index, run, daemon::StorageFailed{"no space"});
      return;
    }
    this->store(index, *batch);
    if (batch->confirm)
      this->deliver(index, run, daemon::StorageDone{batch->index, batch->term, batch->opening});
  });
}

void TestCell::healDisk(base::DaemonId daemon) {
  Node &node = this->nodes[daemon - 1];
  node.disk.isFull = false;
  if (std::exchange(node.disk.isOpen, true))
    return;
  ++node.disk.opening;
  this->deliver(daemon - 1, node.run, daemon::StorageOpened{node.disk.opening, node.disk.state});
}

void TestCell::store(std::size_t index, const daemon::StoreBatch &batch) {
  consensus::StoredState &state = this->nodes[index].disk.state;
  if (batch.hardState)
    state.hardState = *batch.hardState;
  if (batch.snapshot) {
    state.snapshot = batch.snapshot;
    std::erase_if(state.entries, [&batch](const consensus::Entry &entry) {
      return entry.index <= batch.snapshot->index;
    });
  }
  for (const consensus::Entry &entry : batch.entries) {
    while (!state.entries.empty() && state.entries.back().index >= entry.index)
      state.entries.pop_back();
    state.entries.push_back(entry);
  }
}

void TestCell::send(std::size_t index, http::Request request, ResponseHandler handler) {
  Node &node = this->nodes[index];
  if (!node.core) {
    this->at(this->now + this->delay(), [handler] { handler(std::nullopt); });
    return;
  }
  const http::ExchangeId exchange = ++this->lastExchange;
  this->exchanges[exchange] = std::move(handler);
  node.open.insert(exchange);
  const std::uint64_t run = node.run;
  auto event =
      std::make_shared<daemon::RequestEvent>(daemon::RequestEvent{exchange, std::move(request)});
  this->at(this->now + this->delay(),
           [this, index, run, event] { this->deliver(index, run, std::move(*event)); });
}

void TestCell::closeExchanges(std::size_t index) {
  for (const http::ExchangeId exchange : this->nodes[index].open) {
    const auto found = this->exchanges.find(exchange);
    if (found == this->exchanges.end())
      continue;
    const ResponseHandler handler = std::move(found->second);
    this->exchanges.erase(found);
    this->at(this->now, [handler] { handler(std::nullopt); });
  }
  this->nodes[index].open.clear();
}

void TestCell::crash(base::DaemonId daemon) {
  Node &node = this->nodes[daemon - 1];
  node.core.reset();
  this->closeExchanges(daemon - 1);
}

void TestCell::restart(base::DaemonId daemon) {
  if (!this->isAlive(daemon))
    this->startNode(daemon - 1);
}

void TestCell::pause(base::DaemonId daemon, base::Duration time) {
  this->nodes[daemon - 1].pausedUntil = this->now + time;
}

void TestCell::stopGracefully(base::DaemonId daemon) {
  this->deliver(daemon - 1, this->nodes[daemon - 1].run, daemon::StopEvent{});
}

void TestCell::setCut(base::DaemonId from, base::DaemonId to, bool cut) {
  if (cut)
    this->cuts.insert({from, to});
  else
    this->cuts.erase({from, to});
}

void TestCell::setWorkerCut(std::size_t worker, bool cut) { this->workers[worker].cut = cut; }

void TestCell::healAll() {
  this->cuts.clear();
  this->loss = 0;
  for (TestWorker &worker : this->workers)
    worker.cut = false;
  for (base::DaemonId id = 1; id <= this->nodes.size(); ++id)
    this->restart(id);
}

bool TestCell::isAlive(base::DaemonId daemon) const {
  return this->nodes[daemon - 1].core != nullptr;
}

daemon::Core *TestCell::core(base::DaemonId daemon) { return this->nodes[daemon - 1].core.get(); }

base::DaemonId TestCell::leader() const {
  for (const Node &node : this->nodes) {
    if (node.core && node.core->replication() && node.core->replication()->leads())
      return node.config.daemon;
  }
  return base::NoDaemon;
}

void TestCell::request(base::DaemonId entry, const std::string &operation, bool repeatable,
                       const std::string &key) {
  const std::size_t number = this->callers.size();
  this->callers.push_back({key, "body of " + key, repeatable, false, {}});
  http::Request request{"POST", "/v1/requests/riga/gauge/" + operation, "", {}, "body of " + key};
  request.headers = {{"idempotency-key", key}};
  this->send(entry - 1, std::move(request), [this, number](std::optional<http::Response> response) {
    CallerRequest &caller = this->callers[number];
    caller.answered = response.has_value();
    if (response)
      caller.response = *response;
  });
}

bool TestCell::set(const std::string &path, const std::string &value) {
  const json body = {{"change_id", "c" + std::to_string(++this->lastChange)},
                     {"edits", {{{"path", path}, {"value", json::parse(value)}}}}};
  const base::TimePoint end = this->now + std::chrono::seconds(30);
  for (base::DaemonId daemon = 1; this->now < end; daemon = daemon % 5 + 1) {
    http::Request request{"POST", "/v1/changes", "", {}, body.dump()};
    request.headers = {{"authorization", std::string("Bearer ") + AdminToken}};
    bool done = false;
    int status = 0;
    this->send(daemon - 1, std::move(request), [&](std::optional<http::Response> response) {
      done = true;
      status = response ? response->status : 0;
    });
    this->runUntil([&done] { return done; }, std::chrono::seconds(20));
    if (status == 200)
      return true;
    this->run(std::chrono::milliseconds(300));
  }
  return false;
}

std::shared_ptr<OperatorRequest> TestCell::submit(base::DaemonId daemon,
                                                  const std::string &change) {
  auto result = std::make_shared<OperatorRequest>();
  http::Request request{"POST", "/v1/changes", "", {}, change};
  request.headers = {{"authorization", std::string("Bearer ") + AdminToken}};
  this->send(daemon - 1, std::move(request),
             [result](const std::optional<http::Response> &response) {
               result->done = true;
               result->status = response ? response->status : 0;
               result->body = response ? response->body : "";
             });
  return result;
}

void TestCell::leave(std::size_t index, base::DaemonId through) {
  TestUpstream &upstream = this->upstreams[index];
  upstream.leaving = true;
  this->send(through - 1, {"DELETE", "/v1/upstreams/" + upstream.id, "", {}, ""},
             [this, index, through](const std::optional<http::Response> &response) {
               if (response && response->status < 300)
                 this->upstreams[index].left = this->now;
               else
                 this->at(this->now + std::chrono::milliseconds(500), [this, index, through] {
                   this->leave(index, through % this->nodes.size() + 1);
                 });
             });
}

bool TestCell::hasLeft(std::size_t upstream) const {
  return this->upstreams[upstream].left.has_value();
}

void TestCell::runUpstream(std::size_t node, const daemon::StartCall &call) {
  const http::Request &request = call.call.request;
  const std::string id = http::findHeader(request.headers, "banyanrill-upstream");
  TestUpstream &upstream = *std::find_if(this->upstreams.begin(), this->upstreams.end(),
                                         [&id](const auto &entry) { return entry.id == id; });
  TestWorker &worker = this->workers[upstream.worker];
  const base::Resources demand = demandOf(request);
  const std::uint64_t execution = ++this->lastExecution;
  upstream.running[execution] = {http::findHeader(request.headers, "banyanrill-owner"), demand,
                                 http::findHeader(request.headers, "banyanrill-request-id"),
                                 this->now};
  worker.requestDemand = worker.requestDemand + demand;
  this->executed.push_back({http::findHeader(request.headers, "idempotency-key"),
                            http::findHeader(request.headers, "banyanrill-request-id")});
  if (upstream.running.size() > static_cast<std::size_t>(Slots))
    this->found.push_back("upstream " + id + " runs more requests than it has slots");
  if (upstream.left && this->now > *upstream.left + std::chrono::seconds(3))
    this->found.push_back("upstream " + id + " got a request more than 3 s after it left");
  // The lease of a former owner ends before the worker accepts the next one.
  if (worker.owner != node)
    this->found.push_back("daemon " + std::to_string(node + 1) +
                          " dispatched after another owner was accepted");
  this->checkWorker(upstream.worker);

  const std::size_t index = upstream.worker;
  const std::uint64_t run = this->nodes[node].run;
  const daemon::CallToken token = call.token;
  const json answer = {{"request", request.body}};
  // One in twenty takes longer than the ownership lease.
  const bool slow = this->randomness.below(20) == 0;
  const base::Duration time = base::Duration(
      slow ? 14'000'000 : 20'000 + static_cast<std::int64_t>(this->randomness.below(200'000)));
  const bool timesOut = time > call.call.timeout;
  this->at(this->now + time, [this, index, execution, demand] {
    this->upstreams[index].running.erase(execution);
    this->workers[index].requestDemand = this->workers[index].requestDemand - demand;
  });
  this->at(this->now + std::min(time, call.call.timeout),
           [this, node, run, token, answer, timesOut] {
             http::CallResult result;
             result.verdict = timesOut ? base::Verdict::MayHaveRun : base::Verdict::Ran;
             if (!timesOut)
               result.response = {200, {{"content-type", "application/json"}}, answer.dump()};
             this->deliver(node, run, daemon::CallEvent{token, result});
           });
}

void TestCell::tickStandins() {
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    TestWorker &worker = this->workers[i];
    this->onTaskChanges(i, worker.worker.tick(this->now));
    if (!worker.polling && this->now >= worker.nextPoll)
      this->pollWorker(i);
    if (this->now >= this->upstreams[i].nextAnnouncement)
      this->announce(i);
  }
  this->at(this->now + TickInterval, [this] { this->tickStandins(); });
}

void TestCell::pollWorker(std::size_t index) {
  TestWorker &worker = this->workers[index];
  const std::optional<standins::Address> target = worker.worker.pollTarget(this->now);
  if (!target)
    return;
  const std::optional<std::size_t> node = this->nodeByPort(target->port);
  const json body = worker.worker.poll(*target, this->now);
  worker.polling = true;
  if (const auto epoch = body.at("epoch").get<std::uint64_t>(); epoch > worker.epoch) {
    worker.epoch = epoch;
    worker.owner = node;
  }
  const auto handler = [this, index](const std::optional<http::Response> &response) {
    TestWorker &polled = this->workers[index];
    polled.polling = false;
    polled.nextPoll = this->now + std::chrono::milliseconds(50);
    if (polled.cut || !response || response->status != 200) {
      polled.worker.onFailure();
      polled.nextPoll = this->now + std::chrono::milliseconds(500);
      return;
    }
    this->onTaskChanges(index, polled.worker.onAnswer(json::parse(response->body), this->now));
  };
  if (worker.cut) {
    this->at(this->now + std::chrono::seconds(2), [handler] { handler(std::nullopt); });
    return;
  }
  // A poll whose daemon has gone silent is given up after a time-out.
  auto done = std::make_shared<bool>(false);
  const auto once = [handler, done](const std::optional<http::Response> &response) {
    if (!std::exchange(*done, true))
      handler(response);
  };
  this->send(*node,
             {"POST", "/v1/workers/" + worker.worker.config().id + "/poll", "", {}, body.dump()},
             once);
  this->at(this->now + std::chrono::seconds(8), [once] { once(std::nullopt); });
}

void TestCell::announce(std::size_t index) {
  TestUpstream &upstream = this->upstreams[index];
  upstream.nextAnnouncement = this->now + std::chrono::seconds(5);
  if (this->workers[upstream.worker].cut || upstream.leaving)
    return;
  std::int64_t others = 0;
  base::Resources inherited;
  json slow = json::array();
  for (const auto &[number, running] : upstream.running) {
    if (running.token == upstream.ownerToken) {
      if (this->now - running.started >= std::chrono::seconds(1))
        slow.push_back(running.requestId);
      continue;
    }
    ++others;
    inherited = inherited + running.demand;
  }
  const json body = {{"id", upstream.id},
                     {"team", "riga"},
                     {"service", "gauge"},
                     {"worker", this->workers[upstream.worker].worker.config().id},
                     {"host", "127.0.0.1"},
                     {"port", UpstreamPort},
                     {"slots", Slots},
                     {"connections", 64},
                     {"in_progress", others},
                     {"millicores", inherited.millicores},
                     {"memory_mib", inherited.memoryMib},
                     {"slow_requests", slow}};
  this->send(upstream.entry, {"POST", "/v1/upstreams", "", {}, body.dump()},
             [this, index](const std::optional<http::Response> &response) {
               TestUpstream &announced = this->upstreams[index];
               if (!response || response->status != 200) {
                 announced.entry = (announced.entry + 1) % this->nodes.size();
                 announced.nextAnnouncement = this->now + std::chrono::milliseconds(500);
                 return;
               }
               const json answer = json::parse(response->body);
               if (answer.at("registered").get<bool>()) {
                 announced.ownerToken = answer.at("owner_token").get<std::string>();
                 return;
               }
               announced.nextAnnouncement = this->now + std::chrono::milliseconds(200);
               if (const auto node = this->nodeByPort(answer.at("port").get<std::uint16_t>()))
                 announced.entry = *node;
             });
}

void TestCell::onTaskChanges(std::size_t worker, const std::vector<standins::TaskChange> &changes) {
  for (const standins::TaskChange &change : changes) {
    std::set<std::size_t> &places = this->tasksRunning[change.key.first];
    if (change.what == "end")
      places.erase(worker);
    if (change.what != "start")
      continue;
    places.insert(worker);
    if (places.size() > 1)
      this->found.push_back("task " + change.key.first + " runs in two places");
  }
  if (!changes.empty())
    this->checkWorker(worker);
}

void TestCell::checkWorker(std::size_t index) {
  const TestWorker &worker = this->workers[index];
  const base::Resources used = worker.worker.taskDemand() + worker.requestDemand;
  if (!used.fitsIn(WorkerCapacity))
    this->found.push_back("worker " + worker.worker.config().id + " is beyond its means");
}

std::optional<std::size_t> TestCell::nodeByPort(std::uint16_t port) const {
  const std::size_t index = port - FirstHttpPort - 1;
  return index < this->nodes.size() ? std::optional(index) : std::nullopt;
}

std::size_t TestCell::executions(const std::string &key) const {
  return static_cast<std::size_t>(
      std::count_if(this->executed.begin(), this->executed.end(),
                    [&key](const Execution &execution) { return execution.key == key; }));
}

Violations TestCell::violations() const {
  Violations all = this->found;
  std::map<std::string, std::size_t> byRequest;
  for (const Execution &execution : this->executed)
    ++byRequest[execution.requestId];
  for (const CallerRequest &caller : this->callers) {
    if (!caller.repeatable && this->executions(caller.key) > 1)
      all.push_back("key " + caller.key + " ran more than once");
    if (!caller.answered)
      continue;
    const std::string id = http::findHeader(caller.response.headers, "banyanrill-request-id");
    const std::string verdict = verdictOf(caller.response);
    if (verdict == "did-not-run" && byRequest.count(id))
      all.push_back("request " + id + " was answered did-not-run and ran");
    if (caller.response.status != 200)
      continue;
    if (json::parse(caller.response.body).value("request", "") != caller.body)
      all.push_back("request " + id + " got the answer to another");
    if (this->executions(caller.key) == 0)
      all.push_back("request " + id + " was answered without an execution");
  }
  return all;
}

} // namespace banyanrill::test
