#include "Callers.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>

namespace banyanrill::standins {

namespace {

using nlohmann::json;

constexpr std::size_t MailboxSize = 65536;
// Bounds the memory of a run that was configured by mistake; 1,000/s for an hour fit.
constexpr std::size_t MaxRequests = 4'000'000;
// Results come within the timeout; the rest covers a busy machine.
constexpr base::Duration ResultMargin = std::chrono::seconds(5);
// A balancer gives a health check about this long; a paused daemon fails it.
constexpr base::Duration HealthTimeout = std::chrono::seconds(1);

std::string bodyOf(const PlannedRequest &request, const CallerOperation &operation) {
  return json({{"key", request.key}, {"fill", std::string(operation.bodyBytes, 'x')}}).dump();
}

} // namespace

CallersOptions readCallersOptions(const json &config) {
  CallersOptions options;
  for (const json &entry : config.at("entries")) {
    const auto address = parseAddress(entry.get<std::string>());
    if (!address)
      throw std::invalid_argument("entries: must be of the form host:port");
    options.entries.push_back(*address);
  }
  for (const json &operation : config.at("operations"))
    options.operations.push_back({operation.at("name").get<std::string>(),
                                  operation.at("repeatable").get<bool>(),
                                  operation.value("weight", std::uint64_t{1}),
                                  operation.value("body_bytes", std::size_t{0})});
  if (options.entries.empty() || options.operations.empty())
    throw std::invalid_argument("entries, operations: must not be empty");
  options.team = config.at("team").get<std::string>();
  options.service = config.at("service").get<std::string>();
  options.ratePerSecond = config.at("rate_per_s").get<double>();
  options.duration = std::chrono::milliseconds(config.at("duration_ms").get<std::int64_t>());
  options.timeout = std::chrono::milliseconds(config.value("timeout_ms", std::int64_t{10000}));
  options.deadlineMs = config.value("deadline_ms", std::int64_t{0});
  options.resendShare = config.value("resend_share", 0.0);
  options.resendAfter =
      std::chrono::milliseconds(config.value("resend_after_ms", std::int64_t{1000}));
  options.seed = config.at("seed").get<std::uint64_t>();
  options.output = config.at("output").get<std::string>();
  options.planned = config.value("planned", false);
  options.healthInterval =
      std::chrono::milliseconds(config.value("health_interval_ms", std::int64_t{0}));
  if (config.contains("direct"))
    options.direct = config.at("direct").get<std::string>();
  if (!(options.ratePerSecond > 0) || options.duration <= base::Duration::zero())
    throw std::invalid_argument("rate_per_s, duration_ms: must be positive");
  return options;
}

std::vector<PlannedRequest> planRequests(const CallersOptions &options) {
  base::RandomSource random(options.seed);
  const std::uint64_t weights =
      std::accumulate(options.operations.begin(), options.operations.end(), std::uint64_t{0},
                      [](std::uint64_t sum, const CallerOperation &o) { return sum + o.weight; });
  if (weights == 0)
    throw std::invalid_argument("operations: must have a positive weight");
  const double seconds = std::chrono::duration<double>(options.duration).count();
  const auto count = static_cast<std::size_t>(
      std::min(seconds * options.ratePerSecond, static_cast<double>(MaxRequests)));
  std::vector<PlannedRequest> plan;
  for (std::size_t i = 0; i < count; ++i) {
    PlannedRequest request;
    request.at = base::Duration(
        static_cast<std::int64_t>(static_cast<double>(i) * 1e6 / options.ratePerSecond));
    std::uint64_t draw = random.below(weights);
    while (draw >= options.operations[request.operation].weight)
      draw -= options.operations[request.operation++].weight;
    request.entry = random.below(options.entries.size());
    request.key = "c" + std::to_string(options.seed) + "-" + std::to_string(i);
    plan.push_back(std::move(request));
  }
  for (std::size_t i = 0; i < count; ++i) {
    if (options.operations[plan[i].operation].repeatable || random.unit() >= options.resendShare)
      continue;
    PlannedRequest again = plan[i];
    again.at += base::Duration(static_cast<std::int64_t>(
        random.unit() * static_cast<double>(options.resendAfter.count())));
    if (options.entries.size() > 1)
      again.entry =
          (again.entry + 1 + random.below(options.entries.size() - 1)) % options.entries.size();
    again.resendOf = static_cast<std::int64_t>(i);
    plan.push_back(std::move(again));
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const PlannedRequest &a, const PlannedRequest &b) { return a.at < b.at; });
  return plan;
}

std::optional<bool> isOwnAnswer(const http::Response &response, const std::string &operation,
                                const std::string &sentBody, bool recorded) {
  if (response.status != 200 || (recorded && response.body.empty()))
    return std::nullopt;
  const json answer = json::parse(response.body, nullptr, false);
  if (!answer.is_object() || answer.value("operation", json()) != json(operation) ||
      answer.value("request", json()) != json(sentBody))
    return false;
  // A recorded outcome echoes the request that ran, which had another identifier.
  const std::string id = http::findHeader(response.headers, "banyanrill-request-id");
  return recorded || answer.value("request_id", json()) == json(id);
}

Callers::Callers(CallersOptions settings)
    : options(std::move(settings)), plan(planRequests(this->options)), output(this->options.output),
      health(this->options.entries.size()), mailbox(MailboxSize) {
  http::LoopOptions loopOptions;
  loopOptions.serve = false;
  http::LoopHandlers handlers;
  handlers.onRequest = [](http::ExchangeId, http::Request) {};
  handlers.onDisconnect = [](http::ExchangeId) {};
  handlers.onCallResult = [this](http::CallId call, http::CallResult result) {
    this->mailbox.post({call, std::move(result), base::steadyNow()});
  };
  auto started = http::Loop::start(loopOptions, std::move(handlers));
  if (!started)
    throw std::runtime_error(started.error().path + ": " + started.error().message);
  this->loop = std::move(started.value());
}

std::size_t Callers::run() {
  const base::TimePoint start = base::steadyNow();
  for (std::size_t i = 0; i < this->plan.size(); ++i) {
    while (base::steadyNow() < start + this->plan[i].at)
      this->receive(start + this->plan[i].at);
    this->checkEntries(base::steadyNow());
    this->send(i);
  }
  const base::TimePoint end = base::steadyNow() + this->options.timeout + ResultMargin;
  while (!this->open.empty() && base::steadyNow() < end)
    this->receive(end);
  for (const auto &[call, request] : this->open)
    this->write(request, {call, {}, base::steadyNow()});
  return this->plan.size();
}

void Callers::send(std::size_t number) {
  const PlannedRequest &request = this->plan[number];
  const CallerOperation &operation = this->options.operations[request.operation];
  const std::size_t target = this->healthyEntry(request.entry);
  const Address &entry = this->options.entries[target];
  http::Call call;
  call.host = entry.host;
  call.port = entry.port;
  call.timeout = this->options.timeout;
  call.request.method = "POST";
  call.request.path =
      "/v1/requests/" + this->options.team + "/" + this->options.service + "/" + operation.name;
  call.request.headers = {{"content-type", "application/json"}};
  if (!operation.repeatable)
    call.request.headers.emplace_back("idempotency-key", request.key);
  if (this->options.deadlineMs > 0)
    call.request.headers.emplace_back("banyanrill-deadline-ms",
                                      std::to_string(this->options.deadlineMs));
  call.request.body = bodyOf(request, operation);
  if (this->options.direct) {
    call.request.path = "/" + operation.name;
    call.request.headers.emplace_back("banyanrill-upstream", *this->options.direct);
  }
  Open state{number, call.request.body, base::steadyNow(), target};
  this->open.emplace(this->loop->call(std::move(call)), std::move(state));
}

void Callers::receive(base::TimePoint until) {
  for (const Result &result : this->mailbox.receive(until)) {
    const auto checked =
        std::find_if(this->health.begin(), this->health.end(),
                     [&](const EntryHealth &entry) { return entry.check == result.call; });
    if (checked != this->health.end()) {
      checked->check = 0;
      checked->healthy =
          result.result.verdict == base::Verdict::Ran && result.result.response.status == 200;
      continue;
    }
    const auto found = this->open.find(result.call);
    if (found == this->open.end())
      continue;
    this->write(found->second, result);
    this->open.erase(found);
  }
}

void Callers::checkEntries(base::TimePoint now) {
  if (this->options.healthInterval == base::Duration::zero())
    return;
  for (std::size_t i = 0; i < this->health.size(); ++i) {
    EntryHealth &entry = this->health[i];
    if (entry.check != 0 || now < entry.nextCheck)
      continue;
    http::Call call;
    call.host = this->options.entries[i].host;
    call.port = this->options.entries[i].port;
    call.timeout = HealthTimeout;
    call.request.method = "GET";
    call.request.path = "/health";
    entry.nextCheck = now + this->options.healthInterval;
    entry.check = this->loop->call(std::move(call));
  }
}

/// The planned entry, or the next one that is healthy.
std::size_t Callers::healthyEntry(std::size_t planned) const {
  for (std::size_t i = 0; i < this->health.size(); ++i) {
    const std::size_t entry = (planned + i) % this->health.size();
    if (this->health[entry].healthy)
      return entry;
  }
  return planned;
}

void Callers::write(const Open &request, const Result &result) {
  const PlannedRequest &planned = this->plan[request.number];
  const CallerOperation &operation = this->options.operations[planned.operation];
  const bool complete = result.result.verdict == base::Verdict::Ran;
  const http::Response &response = result.result.response;
  std::string verdict;
  if (complete)
    verdict = http::findHeader(response.headers, "banyanrill-verdict");
  else if (result.result.verdict == base::Verdict::DidNotRun)
    verdict = "not-sent";
  json line = {{"key", planned.key},
               {"operation", operation.name},
               {"repeatable", operation.repeatable},
               {"sent_us", request.sent.time_since_epoch().count()},
               {"entry", toString(this->options.entries[request.entry])},
               {"status", complete ? response.status : 0},
               {"verdict", verdict},
               {"request_id", http::findHeader(response.headers, "banyanrill-request-id")},
               {"own", nullptr},
               {"latency_us", (result.received - request.sent).count()},
               {"resend_of", nullptr},
               {"planned", this->options.planned}};
  if (planned.resendOf)
    line["resend_of"] = *planned.resendOf;
  if (!complete)
    line["failure"] = result.result.failure;
  else if (const auto own =
               isOwnAnswer(response, operation.name, request.body, !operation.repeatable))
    line["own"] = *own;
  if (const json answer = json::parse(response.body, nullptr, false); answer.is_object())
    line["service_us"] = answer.value("service_us", std::int64_t{0});
  this->output.write("request", std::move(line), result.received);
}

} // namespace banyanrill::standins
