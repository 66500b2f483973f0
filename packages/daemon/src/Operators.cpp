#include "banyanrill/daemon/Operators.h"

#include "banyanrill/daemon/Digest.h"
#include "banyanrill/daemon/Replies.h"
#include "banyanrill/settings/Policy.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace banyanrill::daemon {

namespace {

using nlohmann::json;

/// Marks a request that was passed on once, so that two daemons cannot pass it to and fro.
constexpr const char *PassedHeader = "banyanrill-passed-by";

/// An election and one commit.
constexpr base::Duration ChangeTimeout = std::chrono::seconds(5);
constexpr base::Duration PassTimeout = std::chrono::seconds(7);
constexpr std::int64_t MaxWatchMs = 30000;
constexpr std::size_t MaxWatches = 1024;
constexpr std::size_t DefaultAuditLimit = 100;
constexpr std::size_t MaxAuditLimit = 1000;

std::uint64_t numberOr(const std::string &text, std::uint64_t fallback) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty() ? value
                                                                                   : fallback;
}

bool isBelow(const std::string &path, const std::string &prefix) {
  if (prefix.empty() || prefix == "/")
    return true;
  return path == prefix || path.rfind(prefix.back() == '/' ? prefix : prefix + "/", 0) == 0;
}

bool mayRead(const Identity &identity, const std::string &path) {
  return identity.admin || isBelow(path, "/teams/" + identity.team);
}

bool mayWrite(const Identity &identity, const std::string &path) {
  if (isBelow(path, "/system"))
    return false;
  return identity.admin || isBelow(path, "/teams/" + identity.team);
}

int toLowerHex(char digit) { return digit >= 'A' && digit <= 'F' ? digit + ('a' - 'A') : digit; }

/// Ignores case: settings accept digests in either. Takes the same time wherever two digests of one
/// length differ, so that answers' times reveal no prefix.
bool equalDigests(const std::string &one, const std::string &other) {
  if (one.size() != other.size())
    return false;
  int difference = 0;
  for (std::size_t i = 0; i < one.size(); ++i)
    difference |= toLowerHex(one[i]) ^ toLowerHex(other[i]);
  return difference == 0;
}

json optionalValue(const std::optional<std::string> &text) {
  return text ? json::parse(*text) : json(nullptr);
}

/// Parses the body of POST /v1/changes.
base::Result<settings::Change> parseChange(const std::string &body, bool &dryRun) {
  try {
    const json value = json::parse(body);
    settings::Change change;
    change.requestId = value.at("change_id").get<std::string>();
    dryRun = value.value("dry_run", false);
    for (const json &listed : value.at("edits")) {
      settings::Edit edit;
      edit.path = listed.at("path").get<std::string>();
      if (!listed.at("value").is_null())
        edit.json = listed.at("value").dump();
      if (listed.contains("if_version") && !listed.at("if_version").is_null())
        edit.expectedVersion = listed.at("if_version").get<settings::Revision>();
      change.edits.push_back(std::move(edit));
    }
    constexpr std::size_t MaxChangeId = 60;
    const bool validId = !change.requestId.empty() && change.requestId.size() <= MaxChangeId &&
                         change.requestId.find('/') == std::string::npos;
    if (!validId || change.edits.empty())
      return base::Error{base::Errc::Malformed, "/",
                         "change_id must have 1 to 60 characters without a slash, and edits at "
                         "least one element"};
    return change;
  } catch (const json::exception &failure) {
    return base::Error{base::Errc::Malformed, "/", failure.what()};
  }
}

const char *phaseName(placement::TaskPhase phase) {
  switch (phase) {
  case placement::TaskPhase::Pending:
    return "pending";
  case placement::TaskPhase::Assigned:
    return "assigned";
  case placement::TaskPhase::Running:
    return "running";
  case placement::TaskPhase::Stopping:
    return "stopping";
  case placement::TaskPhase::Succeeded:
    return "succeeded";
  case placement::TaskPhase::Failed:
    return "failed";
  }
  return "pending";
}

std::string formatMetrics(const StatusReport &status) {
  std::string text;
  for (const auto &[name, value] : status.figures)
    text += "banyanrill_" + name + " " + std::to_string(value) + "\n";
  return text;
}

} // namespace

Operators::Operators(Context &sharedContext, Proposals &sharedProposals,
                     const Replication *ownReplication, const Leader *duties)
    : context(sharedContext), proposals(sharedProposals), replication(ownReplication),
      leaderDuties(duties) {}

void Operators::onRequest(http::ExchangeId exchange, const http::Request &request,
                          const settings::Tree &settings, const StatusReport &status) {
  if (request.path == "/health") {
    const bool healthy = !status.stopping && !status.storageFailed;
    this->context.respond(exchange,
                          jsonResponse(healthy ? 200 : 503, json{{"healthy", healthy}}.dump()));
    return;
  }
  if (request.path == "/metrics") {
    this->context.respond(exchange, {200, {{"content-type", "text/plain"}}, formatMetrics(status)});
    return;
  }
  const std::optional<Identity> identity = this->identify(request, settings);
  if (!identity) {
    this->refuse(exchange, {base::Errc::Unauthorized, "Authorization", "no valid token"});
    return;
  }
  const bool get = request.method == "GET";
  if (get && isBelow(request.path, "/v1/settings")) {
    this->getSettings(exchange, request, *identity, settings);
    return;
  }
  if (get && request.path == "/v1/changes") {
    this->watch(exchange, request, *identity, settings);
    return;
  }
  if (get && request.path == "/v1/status") {
    this->getStatus(exchange, settings, status);
    return;
  }
  const bool forLeader =
      (request.method == "POST" && request.path == "/v1/changes") ||
      (get && (request.path == "/v1/audit" || isBelow(request.path, "/v1/jobs")));
  if (!forLeader) {
    this->refuse(exchange, {base::Errc::NotFound, request.path, "no such resource or method"});
    return;
  }
  if (!this->leadsHere()) {
    this->passToLeader(exchange, request, status.leader);
    return;
  }
  if (request.path == "/v1/changes")
    this->postChange(exchange, request, *identity);
  else if (request.path == "/v1/audit")
    this->getAudit(exchange, request, *identity);
  else if (request.path == "/v1/jobs")
    this->getJobs(exchange, *identity);
  else
    this->explainJob(exchange, request, *identity);
}

std::optional<Identity> Operators::identify(const http::Request &request,
                                            const settings::Tree &settings) const {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string header = http::findHeader(request.headers, "authorization");
  if (header.rfind(Scheme, 0) != 0)
    return std::nullopt;
  const std::string digest = sha256Hex(header.substr(Scheme.size()));
  if (equalDigests(digest, this->context.config.adminTokenSha256))
    return Identity{"admin", true, ""};
  for (const auto &[path, value] : settings.list("/cell/tokens")) {
    const json token = json::parse(value.json);
    if (!equalDigests(token.value("sha256", ""), digest))
      continue;
    Identity identity{path.substr(path.rfind('/') + 1), token.value("role", "") == "admin",
                      token.value("team", "")};
    // Without a team, the token's subtree would be that of all teams.
    if (!identity.admin && identity.team.empty())
      return std::nullopt;
    return identity;
  }
  return std::nullopt;
}

void Operators::getSettings(http::ExchangeId exchange, const http::Request &request,
                            const Identity &identity, const settings::Tree &settings) {
  constexpr std::string_view Prefix = "/v1/settings";
  const std::string path = request.path.substr(Prefix.size());
  const bool recursive = http::findQuery(request.query, "recursive") == "1";
  json values = json::array();
  for (const auto &[found, value] : settings.list(path.empty() ? "/" : path)) {
    if (!mayRead(identity, found) || (!recursive && found != path))
      continue;
    values.push_back(
        {{"path", found}, {"value", json::parse(value.json)}, {"version", value.version}});
  }
  if (!recursive && values.empty()) {
    this->refuse(exchange, {base::Errc::NotFound, path, "no value at this path"});
    return;
  }
  const json answer = {{"revision", settings.revision()}, {"values", std::move(values)}};
  this->context.respond(exchange, jsonResponse(200, answer.dump()));
}

void Operators::postChange(http::ExchangeId exchange, const http::Request &request,
                           const Identity &identity) {
  bool dryRun = false;
  base::Result<settings::Change> parsed = parseChange(request.body, dryRun);
  if (!parsed) {
    this->refuse(exchange, parsed.error());
    return;
  }
  settings::Change change = std::move(parsed.value());
  change.author = identity.name;
  // Operators choose identifiers independently of each other.
  change.requestId = identity.name + "/" + change.requestId;
  change.wallClockMs = this->context.wallClockMs;
  for (const settings::Edit &edit : change.edits) {
    if (mayWrite(identity, edit.path))
      continue;
    this->refuse(exchange,
                 {base::Errc::Forbidden, edit.path, "the token may not change this path"});
    return;
  }
  const settings::Outcome checked = this->replication->state().check(change);
  if (dryRun || !checked.accepted) {
    this->respondOutcome(exchange, checked);
    return;
  }
  if (const base::Status feasible = this->leaderDuties->checkFeasible(change); !feasible) {
    this->refuse(exchange, feasible.error());
    return;
  }
  this->proposals.submit(
      control::ChangeSettings{std::move(change)}, this->context.self(),
      this->context.now + ChangeTimeout,
      [this, exchange](ProposalEnd end, const control::Result &result) {
        if (end == ProposalEnd::Applied) {
          this->respondOutcome(exchange, std::get<settings::Outcome>(result));
          return;
        }
        const base::Verdict verdict =
            end == ProposalEnd::NeverSent ? base::Verdict::DidNotRun : base::Verdict::MayHaveRun;
        this->context.respond(exchange,
                              refusal(503, verdict,
                                      {base::Errc::Unavailable, "/v1/changes",
                                       "the change was not confirmed; repeat it with the same "
                                       "change_id"}));
      });
}

void Operators::respondOutcome(http::ExchangeId exchange, const settings::Outcome &outcome) {
  if (outcome.accepted) {
    this->context.respond(exchange, jsonResponse(200, json{{"revision", outcome.revision}}.dump()));
    return;
  }
  const base::Error error{static_cast<base::Errc>(outcome.errorCode), outcome.errorPath,
                          outcome.errorMessage};
  http::Response response = refusal(statusOf(error), base::Verdict::DidNotRun, error);
  if (outcome.current) {
    json body = json::parse(response.body);
    body["current"] = {{"path", outcome.errorPath},
                       {"value", json::parse(outcome.current->json)},
                       {"version", outcome.current->version}};
    response.body = body.dump();
  }
  this->context.respond(exchange, std::move(response));
}

void Operators::watch(http::ExchangeId exchange, const http::Request &request,
                      const Identity &identity, const settings::Tree &settings) {
  Watch added;
  added.exchange = exchange;
  added.from = numberOr(http::findQuery(request.query, "from"), settings.revision());
  added.prefix = http::findQuery(request.query, "prefix");
  if (!mayRead(identity, added.prefix.empty() ? "/" : added.prefix)) {
    this->refuse(exchange,
                 {base::Errc::Forbidden, added.prefix, "the token may not read this path"});
    return;
  }
  const auto wait = std::min<std::int64_t>(
      MaxWatchMs,
      static_cast<std::int64_t>(numberOr(http::findQuery(request.query, "wait_ms"), 0)));
  added.until = this->context.now + std::chrono::milliseconds(wait);
  if (this->answerWatch(added, settings))
    return;
  if (this->watches.size() >= MaxWatches) {
    this->refuse(exchange, {base::Errc::LimitReached, "/v1/changes", "too many watches"});
    return;
  }
  this->watches.push_back(std::move(added));
}

bool Operators::answerWatch(const Watch &watch, const settings::Tree &settings) {
  const auto changes = settings.changesSince(watch.from);
  if (!changes) {
    const base::Error error{base::Errc::NotFound, "from",
                            "the revision is beyond the history; read the settings again"};
    this->context.respond(watch.exchange, refusal(410, base::Verdict::DidNotRun, error));
    return true;
  }
  json listed = json::array();
  for (const settings::Applied &change : *changes) {
    if (isBelow(change.path, watch.prefix))
      listed.push_back({{"revision", change.revision},
                        {"path", change.path},
                        {"value", optionalValue(change.json)}});
  }
  if (listed.empty() && this->context.now < watch.until)
    return false;
  const json answer = {{"revision", settings.revision()}, {"changes", std::move(listed)}};
  this->context.respond(watch.exchange, jsonResponse(200, answer.dump()));
  return true;
}

void Operators::getAudit(http::ExchangeId exchange, const http::Request &request,
                         const Identity &identity) {
  const std::string path = http::findQuery(request.query, "path");
  if (!mayRead(identity, path.empty() ? "/" : path)) {
    this->refuse(exchange, {base::Errc::Forbidden, path, "the token may not read this path"});
    return;
  }
  const std::size_t limit = std::min<std::size_t>(
      MaxAuditLimit, numberOr(http::findQuery(request.query, "limit"), DefaultAuditLimit));
  json records = json::array();
  const settings::Tree &settings = this->replication->state().settings();
  for (const settings::AuditRecord &record : settings.audit(path.empty() ? "/" : path, limit))
    records.push_back({{"revision", record.revision},
                       {"time_ms", record.wallClockMs},
                       {"author", record.author},
                       {"change_id", record.requestId},
                       {"path", record.path},
                       {"before", optionalValue(record.before)},
                       {"after", optionalValue(record.after)}});
  this->context.respond(exchange, jsonResponse(200, json{{"records", std::move(records)}}.dump()));
}

void Operators::getJobs(http::ExchangeId exchange, const Identity &identity) {
  json jobs = json::array();
  for (const auto &[id, job] : this->replication->state().jobs()) {
    if (!mayRead(identity, id.value))
      continue;
    std::map<std::string, std::size_t> phases;
    for (const auto &[index, task] : job.tasks)
      ++phases[phaseName(task.phase)];
    const char *state = job.ended ? (job.succeeded ? "succeeded" : "failed")
                                  : (job.cancelled ? "cancelling" : "active");
    jobs.push_back(
        {{"job", id.value}, {"state", state}, {"reason", job.reason}, {"tasks", phases}});
  }
  this->context.respond(exchange, jsonResponse(200, json{{"jobs", std::move(jobs)}}.dump()));
}

void Operators::explainJob(http::ExchangeId exchange, const http::Request &request,
                           const Identity &identity) {
  const std::string job = http::findQuery(request.query, "job");
  const auto &jobs = this->replication->state().jobs();
  const auto found = jobs.find({job});
  if (request.path != "/v1/jobs/explain" || found == jobs.end() || !mayRead(identity, job)) {
    this->refuse(exchange, {base::Errc::NotFound, job, "no such job"});
    return;
  }
  const std::string text =
      found->second.ended ? found->second.reason : this->leaderDuties->explain({job});
  this->context.respond(exchange,
                        jsonResponse(200, json{{"job", job}, {"explanation", text}}.dump()));
}

void Operators::getStatus(http::ExchangeId exchange, const settings::Tree &settings,
                          const StatusReport &status) {
  json answer = {{"cell", this->context.config.cell},
                 {"daemon", this->context.self()},
                 {"role", status.role},
                 {"leader", status.leader},
                 {"stopping", status.stopping},
                 {"revision", settings.revision()}};
  for (const auto &[name, value] : status.figures)
    answer[name] = value;
  this->context.respond(exchange, jsonResponse(200, answer.dump()));
}

void Operators::passToLeader(http::ExchangeId exchange, const http::Request &request,
                             base::DaemonId leader) {
  const Peer *peer = this->context.config.find(leader);
  const bool passedBefore = !http::findHeader(request.headers, PassedHeader).empty();
  if (!peer || leader == this->context.self() || passedBefore) {
    this->refuse(exchange, {base::Errc::Unavailable, request.path, "no leader is known"});
    return;
  }
  http::Call call;
  call.host = peer->address;
  call.port = peer->httpPort;
  call.timeout = PassTimeout;
  call.request.method = request.method;
  call.request.path = request.path;
  call.request.query = request.query;
  call.request.body = request.body;
  call.request.headers = {{"authorization", http::findHeader(request.headers, "authorization")},
                          {"content-type", "application/json"},
                          {PassedHeader, std::to_string(this->context.self())}};
  this->passed[this->context.call(std::move(call))] = exchange;
}

bool Operators::onCallResult(CallToken token, const http::CallResult &result) {
  const auto found = this->passed.find(token);
  if (found == this->passed.end())
    return false;
  const http::ExchangeId exchange = found->second;
  this->passed.erase(found);
  if (result.verdict == base::Verdict::Ran) {
    this->context.respond(exchange, result.response);
    return true;
  }
  this->context.respond(exchange, refusal(503, result.verdict,
                                          {base::Errc::Unavailable, "leader",
                                           "the leader did not answer: " + result.failure}));
  return true;
}

void Operators::onDisconnect(http::ExchangeId exchange) {
  std::erase_if(this->watches,
                [exchange](const Watch &watch) { return watch.exchange == exchange; });
}

void Operators::tick(const settings::Tree &settings) {
  std::erase_if(this->watches, [this, &settings](const Watch &watch) {
    const bool news = settings.revision() > watch.from || this->context.now >= watch.until;
    return news && this->answerWatch(watch, settings);
  });
}

void Operators::refuse(http::ExchangeId exchange, const base::Error &error) {
  this->context.respond(exchange, refusal(statusOf(error), base::Verdict::DidNotRun, error));
}

bool Operators::leadsHere() const {
  return this->leaderDuties && this->leaderDuties->isActive() && this->replication->leads();
}

} // namespace banyanrill::daemon
