// Requests from callers, workers and operators. The leader answers them itself; other nodes forward
// them to the leader and retry until it answers or the caller's deadline passes. All requests are
// idempotent, because jobs, configurations and reports carry their own identity.
#include "MetricLabel.h"
#include "NodeState.h"
#include "ReplicaTiming.h"
#include "banyanrill/base/EventLog.h"
#include "banyanrill/wire/PeerCodec.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace banyanrill::node {

namespace {

/// Time reserved for the response to reach the caller.
constexpr base::Duration AnswerMargin = std::chrono::milliseconds(60);

/// A leader that does not answer within this time, and the time that the request needs on its way,
/// is suspected; the request is then retried at the same leader or a new one.
constexpr base::Duration ForwardTimeout = std::chrono::milliseconds(600);

/// A leader that cannot confirm that it leads says so within this time.
constexpr base::Duration UnconfirmedAnswerTime = std::chrono::milliseconds(400);

/// Open requests of one node; further ones are refused.
constexpr std::size_t MaxOpenRequests = 2048;

/// Retry-After when too many requests are open.
constexpr std::int64_t BusyRetryMs = 1000;

/// Operators are redirected only to a leader heard from within this time: about three heartbeat
/// intervals.
constexpr base::Duration RedirectContactTimeout = std::chrono::milliseconds(1500);

/// An unchanged report is forwarded again after this time, in case the leader has removed the
/// worker.
constexpr base::Duration ReportRefreshInterval = std::chrono::milliseconds(4000);

/// Counters of refusals by queue and cause; the other queues share one.
constexpr std::size_t MaxRefusalCounters = 64;

/// Workers whose last acknowledged report one node remembers.
constexpr std::size_t MaxReports = 2048;

bool isReadOnly(const jobs::Request &request) {
  return std::holds_alternative<jobs::StateRequest>(request) ||
         std::holds_alternative<jobs::ReadConfigurationRequest>(request) ||
         std::holds_alternative<jobs::WaveStateRequest>(request);
}

/// Whether its sender repeats the request when it is refused. Operators' changes and workers that
/// leave do not come back soon, so they wait for a leader as long as they can.
bool isRefusedInOutage(const jobs::Request &request) {
  return std::holds_alternative<jobs::SubmitRequest>(request) ||
         std::holds_alternative<jobs::StateRequest>(request) ||
         std::holds_alternative<jobs::CancelRequest>(request) ||
         std::holds_alternative<jobs::WorkerReport>(request);
}

/// A configuration can be too large for a node with a slow link to forward within the operator's
/// time limit.
bool carriesConfiguration(const jobs::Request &request) {
  return std::holds_alternative<jobs::ConfigureRequest>(request) ||
         std::holds_alternative<jobs::ReadConfigurationRequest>(request);
}

bool isUnconfirmed(const wire::ForwardedReply *forwarded) {
  return forwarded != nullptr && forwarded->isLeader &&
         forwarded->reply.code == jobs::ReplyCode::Unconfirmed;
}

/// Whether the answer says that the request has not run and will not.
bool promisesNotRun(const jobs::Request &request, jobs::ReplyCode code) {
  switch (code) {
  case jobs::ReplyCode::Unauthorized:
  case jobs::ReplyCode::Forbidden:
  case jobs::ReplyCode::Busy:
  case jobs::ReplyCode::Unavailable:
  case jobs::ReplyCode::Unconfirmed:
    return true;
  case jobs::ReplyCode::NoSuchQueue:
    return std::holds_alternative<jobs::SubmitRequest>(request);
  default:
    return false;
  }
}

std::string_view nameOf(ListenerKind kind) {
  switch (kind) {
  case ListenerKind::Peer:
    return "peers";
  case ListenerKind::Control:
    return "control";
  case ListenerKind::Front:
    return "callers";
  case ListenerKind::Ready:
    return "readiness";
  case ListenerKind::Metrics:
    return "metrics";
  }
  return "";
}

} // namespace

void Node::State::serve(http::ExchangeId exchange, ListenerKind kind,
                        const http::Request &request) {
  std::variant<jobs::Request, http::Response> decoded = this->adapter.decodeRequest(kind, request);
  if (auto *refusal = std::get_if<http::Response>(&decoded)) {
    base::logEvent(base::Event::RequestRefused, {{"method", request.method},
                                                 {"path", request.path.substr(0, 128)},
                                                 {"status", std::to_string(refusal->status)},
                                                 {"verdict", "did-not-run"}});
    this->loop->respond(exchange, std::move(*refusal));
    return;
  }
  const std::uint64_t id = ++this->lastRequest;
  OpenRequest &open = this->open[id];
  open.id = id;
  open.exchange = exchange;
  open.request = std::move(std::get<jobs::Request>(decoded));
  open.received = this->now;
  open.deadline = this->now + this->adapter.callerTimeout(kind, request) - AnswerMargin;
  if (this->open.size() > MaxOpenRequests) {
    jobs::Reply busy;
    busy.code = jobs::ReplyCode::Busy;
    busy.message = "too many requests are open";
    busy.retryAfterMs = BusyRetryMs;
    this->finish(id, std::move(busy));
    return;
  }
  this->advance(id);
}

bool Node::State::isAcknowledgedReport(const jobs::Request &request) const {
  const auto *report = std::get_if<jobs::WorkerReport>(&request);
  if (report == nullptr || !this->peerDirectory->leader())
    return false;
  const auto known = this->reports.find(report->profile.incarnation.id);
  return known != this->reports.end() && known->second.term == this->highestLeaderTerm &&
         this->now - known->second.forwarded < ReportRefreshInterval &&
         known->second.profile == report->profile;
}

void Node::State::rememberReport(const jobs::Request &request, const jobs::Reply &reply) {
  const auto *report = std::get_if<jobs::WorkerReport>(&request);
  if (report == nullptr || reply.code != jobs::ReplyCode::Done || !reply.message.empty())
    return;
  if (this->reports.size() >= MaxReports)
    this->reports.clear();
  this->reports[report->profile.incarnation.id] = {report->profile, this->now,
                                                   this->highestLeaderTerm};
}

void Node::State::advance(std::uint64_t id) {
  OpenRequest &request = this->open.at(id);
  if (request.inFlight)
    return;
  if (this->isAcknowledgedReport(request.request)) {
    jobs::Reply known;
    known.reportTo = this->peerDirectory->self().controlAddress;
    this->finish(id, std::move(known));
    return;
  }
  if (this->group && this->group->isLeader()) {
    request.inFlight = true;
    ++request.attempts;
    this->answer(request.request, request.deadline, [this, id](jobs::Reply reply) {
      const auto found = this->open.find(id);
      if (found == this->open.end())
        return;
      found->second.inFlight = false;
      if (reply.code == jobs::ReplyCode::Unconfirmed)
        return; // Has not run; `retryOpen` asks again.
      if (reply.code != jobs::ReplyCode::InDoubt) {
        this->rememberReport(found->second.request, reply);
        reply.reportTo = this->peerDirectory->self().controlAddress;
        this->finish(id, std::move(reply));
        return;
      }
      // The next leader knows the outcome; `retryOpen` asks it.
      found->second.mayHaveRun = true;
    });
    return;
  }
  // Before the request is forwarded: to a leader that is silent it would only come into doubt.
  if (this->refuseInOutage(request))
    return;
  const std::optional<membership::KnownLeader> leader = this->peerDirectory->leader();
  if (!leader || leader->id == this->peerDirectory->self().id)
    return;
  if (carriesConfiguration(request.request) && request.attempts == 0 &&
      this->heardLeaderWithin(RedirectContactTimeout)) {
    const membership::PeerRecord *record = this->peerDirectory->find(leader->id);
    if (record != nullptr && !record->controlAddress.empty()) {
      jobs::Reply elsewhere;
      elsewhere.code = jobs::ReplyCode::RedirectToLeader;
      elsewhere.leaderAddress = record->controlAddress;
      this->finish(id, std::move(elsewhere));
      return;
    }
  }
  // Otherwise the request would often be open at the leader when the caller's time is over, and
  // then count as one that may have run.
  if (request.wasUnconfirmed && request.deadline - this->now < UnconfirmedAnswerTime)
    return;
  this->forward(request, *leader);
}

void Node::State::forward(OpenRequest &request, const membership::KnownLeader &leader) {
  const std::uint64_t id = request.id;
  request.inFlight = true;
  ++request.attempts;
  ++this->metrics.forwarded;
  std::string message = wire::encode(
      wire::PeerRequest(wire::ForwardedRequest{id, request.request, this->highestLeaderTerm}));
  const base::Duration transfer = transferTime(message.size());
  const base::Duration timeout =
      std::clamp(request.deadline - this->now, base::Duration(std::chrono::milliseconds(1)),
                 ForwardTimeout + transfer);
  const bool mayHaveArrived = timeout > transfer;
  this->postToPeer(leader.address, std::move(message), timeout,
                   [this, id, leader, mayHaveArrived](base::Verdict verdict,
                                                      std::optional<wire::PeerReply> answered) {
                     auto *forwarded =
                         answered ? std::get_if<wire::ForwardedReply>(&*answered) : nullptr;
                     // A leader that could not get all of the message in time is not to blame.
                     const bool isSilent = forwarded == nullptr &&
                                           (mayHaveArrived || verdict == base::Verdict::DidNotRun);
                     if (isSilent || (forwarded != nullptr && !forwarded->isLeader))
                       this->peerDirectory->suspectLeader(leader.id);
                     if (forwarded != nullptr && forwarded->isLeader) {
                       this->lastLeaderContact = this->now;
                       this->highestLeaderTerm = std::max(this->highestLeaderTerm, forwarded->term);
                     }
                     const auto found = this->open.find(id);
                     if (found == this->open.end())
                       return;
                     OpenRequest &open = found->second;
                     open.inFlight = false;
                     open.wasUnconfirmed = isUnconfirmed(forwarded);
                     if (open.wasUnconfirmed)
                       return; // Has not run; `retryOpen` asks again.
                     const bool decided = forwarded != nullptr && forwarded->isLeader &&
                                          forwarded->reply.code != jobs::ReplyCode::InDoubt;
                     if (decided) {
                       this->rememberReport(open.request, forwarded->reply);
                       // Directs the worker's next report to this node, which remembers the last
                       // one.
                       forwarded->reply.reportTo = this->peerDirectory->self().controlAddress;
                       this->finish(id, std::move(forwarded->reply));
                       return;
                     }
                     const bool didNotRun = verdict == base::Verdict::DidNotRun ||
                                            (forwarded != nullptr && !forwarded->isLeader);
                     if (!didNotRun)
                       open.mayHaveRun = true;
                   });
}

void Node::State::retryOpen() {
  // The caller whose time ends first is answered first.
  std::vector<std::pair<base::TimePoint, std::uint64_t>> order;
  order.reserve(this->open.size());
  for (const auto &[id, request] : this->open)
    order.emplace_back(request.deadline, id);
  std::sort(order.begin(), order.end());
  for (const auto &[deadline, id] : order) {
    const auto found = this->open.find(id);
    if (found == this->open.end())
      continue;
    const OpenRequest &request = found->second;
    if (this->now < request.deadline) {
      this->advance(id);
      continue;
    }
    this->giveUp(request, "no leader answered in time",
                 OutagePolicy::retryAfterMs(this->withoutLeader(), this->random));
  }
}

bool Node::State::refuseInOutage(const OpenRequest &request) {
  if (!isRefusedInOutage(request.request))
    return false;
  const OutageDecision decision =
      OutagePolicy::decide(this->withoutLeader(), request.deadline - this->now, this->random);
  if (decision.hold)
    return false;
  ++this->metrics.outageRefusals[std::string(jobs::nameOf(request.request))];
  this->giveUp(request, "no leader will answer in time", decision.retryAfterMs);
  return true;
}

void Node::State::giveUp(const OpenRequest &request, std::string reason,
                         std::int64_t retryAfterMs) {
  const bool inDoubt = (request.mayHaveRun || request.inFlight) && !isReadOnly(request.request);
  jobs::Reply reply;
  reply.code = inDoubt ? jobs::ReplyCode::InDoubt : jobs::ReplyCode::Unavailable;
  reply.message = std::move(reason);
  reply.retryAfterMs = retryAfterMs;
  this->finish(request.id, std::move(reply));
}

base::Duration Node::State::withoutLeader() const {
  if (this->group && this->group->isLeader())
    return base::Duration::zero();
  return this->now - this->lastLeaderContact.value_or(this->aloneSince);
}

void Node::State::watchOutage() {
  const base::Duration silence = this->withoutLeader();
  const std::optional<membership::KnownLeader> leader = this->peerDirectory->leader();
  // Three heartbeats without an answer: another daemon may know a successor.
  if (silence >= RedirectContactTimeout && leader && leader->id != this->peerDirectory->self().id)
    this->peerDirectory->suspectLeader(leader->id);
  const bool isOutage = OutagePolicy::isOutage(silence);
  if (std::exchange(this->inOutage, isOutage) == isOutage)
    return;
  std::uint64_t refused = 0;
  for (const auto &[request, count] : this->metrics.outageRefusals)
    refused += count;
  if (isOutage)
    base::logEvent(
        base::Event::OutageBegan,
        {{"ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(silence).count())},
         {"contact", this->lastLeaderContact ? "lost" : "none"},
         {"open", std::to_string(this->open.size())},
         {"term", std::to_string(this->highestLeaderTerm)}});
  else
    base::logEvent(base::Event::OutageEnded, {{"refused_total", std::to_string(refused)},
                                              {"term", std::to_string(this->highestLeaderTerm)}});
}

void NodeMetrics::countLoadRefusal(const std::string &queue, jobs::RefusalCause cause) {
  std::pair<std::string, std::string> key(queue, jobs::nameOf(cause));
  if (this->loadRefusals.size() >= MaxRefusalCounters && this->loadRefusals.count(key) == 0)
    key.first = "other";
  ++this->loadRefusals[key];
}

void Node::State::finish(std::uint64_t id, jobs::Reply reply) {
  const auto found = this->open.find(id);
  if (found == this->open.end())
    return;
  const OpenRequest &request = found->second;
  // The refusal is about the last attempt; an earlier one may have reached a leader that acted.
  if (request.mayHaveRun && !isReadOnly(request.request) &&
      promisesNotRun(request.request, reply.code)) {
    reply.code = jobs::ReplyCode::InDoubt;
    reply.message = "an earlier attempt may have run; the last one: " + reply.message;
  }
  const std::string_view name = jobs::nameOf(request.request);
  ++this->metrics.replies[std::string(name) + '/' + std::string(jobs::nameOf(reply.code))];
  this->metrics.answerTimes[std::string(name)].note(this->now - request.received);
  const bool routine = std::holds_alternative<jobs::StateRequest>(request.request) ||
                       std::holds_alternative<jobs::WorkerReport>(request.request);
  if (!routine || reply.code != jobs::ReplyCode::Done) {
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->now - request.received);
    base::logEvent(base::Event::RequestAnswered,
                   {{"request", std::string(name)},
                    {"subject", jobs::subjectOf(request.request)},
                    {"number", std::to_string(id)},
                    {"outcome", std::string(jobs::nameOf(reply.code))},
                    {"reason", reply.message},
                    {"attempts", std::to_string(request.attempts)},
                    {"ms", std::to_string(waited.count())},
                    {"term", std::to_string(this->highestLeaderTerm)}});
  }
  this->loop->respond(request.exchange, this->adapter.encodeReply(request.request, reply));
  this->open.erase(found);
}

bool Node::State::isReady() const {
  if (this->draining)
    return false;
  if (this->group && this->group->isLeader())
    return true;
  // A node that has had no contact yet cannot serve anybody.
  return this->lastLeaderContact && !OutagePolicy::isOutage(this->withoutLeader());
}

bool Node::State::heardLeaderWithin(base::Duration duration) const {
  return this->lastLeaderContact && this->now - *this->lastLeaderContact < duration;
}

namespace {

void appendWorkspaces(std::ostringstream &text, std::vector<jobs::WorkspaceLoad> loads) {
  std::sort(loads.begin(), loads.end(),
            [](const jobs::WorkspaceLoad &left, const jobs::WorkspaceLoad &right) {
              return std::pair(right.use.millicores, std::string_view(left.name)) <
                     std::pair(left.use.millicores, std::string_view(right.name));
            });
  const auto append = [&text](const std::string &label, const jobs::WorkspaceLoad &load) {
    const auto line = [&](const char *name, const char *resource, std::int64_t value) {
      text << "banyanrill_workspace_" << name << '{' << label << ",resource=\"" << resource
           << "\"} " << value << '\n';
    };
    const auto lines = [&line](const char *name, const base::Resources &amount) {
      line(name, "millicores", amount.millicores);
      line(name, "memory_mib", amount.memoryMib);
      line(name, "accelerators", amount.accelerators);
    };
    lines("used", load.use);
    lines("limit", load.limit);
    text << "banyanrill_workspace_tasks_held{" << label << "} " << load.held << '\n';
  };
  jobs::WorkspaceLoad rest;
  for (std::size_t index = 0; index < loads.size(); ++index) {
    const jobs::WorkspaceLoad &load = loads[index];
    if (index < MaxLabelledWorkspaces) {
      append("workspace=\"" + escapeLabelValue(load.name) + "\"", load);
      continue;
    }
    rest.use = rest.use + load.use;
    rest.limit = rest.limit + load.limit;
    rest.held += load.held;
  }
  if (loads.size() > MaxLabelledWorkspaces)
    append("workspace=\"\",rest=\"true\"", rest);
}

} // namespace

std::string Node::State::metricsText() const {
  std::ostringstream text;
  const auto line = [&text](const char *name, auto value) {
    text << "banyanrill_" << name << ' ' << value << '\n';
  };
  line("requests_open", this->open.size());
  line("requests_forwarded_total", this->metrics.forwarded);
  line("peer_calls_failed_total", this->metrics.peerCallsFailed);
  line("leaderships_total", this->metrics.leaderships);
  const std::vector<http::ReceiveUsage> clients = this->loop->receiveUsage();
  for (std::size_t index = 0; index < clients.size(); ++index) {
    const auto perListener = [&](const char *name, auto value) {
      text << "banyanrill_clients_" << name << "{listener=\""
           << nameOf(this->listenerKinds.at(index)) << "\"} " << value << '\n';
    };
    perListener("held_bytes", clients[index].bytes);
    perListener("connections", clients[index].connections);
    perListener("refused_total", clients[index].refused);
    perListener("closed_total", clients[index].closed);
    perListener("too_large_total", clients[index].tooLarge);
    perListener("withheld_answers_total", clients[index].withheld);
  }
  if (this->group) {
    line("storage_open", this->group->isOpen() ? 1 : 0);
    line("storage_failures_total", this->group->storageFailures());
    line("voters", this->group->membership().voters.size());
    line("learners", this->group->membership().learners.size());
    line("last_index", this->group->lastIndex());
    line("snapshots_total", this->group->snapshotsTaken());
    line("snapshot_bytes", this->group->snapshotBytes());
    for (const auto &[id, counted] : this->replicaSender.counters()) {
      const std::string peer = "{peer=\"" + std::to_string(id) + "\"}";
      line(("replica_calls_total" + peer).c_str(), counted.calls);
      line(("replica_calls_failed_total" + peer).c_str(), counted.failures);
      line(("replica_bytes_sent_total" + peer).c_str(), counted.bytes);
    }
  }
  line("leads", this->group && this->group->isLeader() ? 1 : 0);
  line("knows_leader", this->peerDirectory->leader() ? 1 : 0);
  line("without_leader_milliseconds",
       std::chrono::duration_cast<std::chrono::milliseconds>(this->withoutLeader()).count());
  for (const auto &[request, count] : this->metrics.outageRefusals)
    line(("refusals_total{cause=\"no_leader\",request=\"" + request + "\"}").c_str(), count);
  line("log_lines_dropped_total", base::droppedLogLines());
  line("term", this->group ? this->group->term() : this->highestLeaderTerm);
  for (const auto &[key, count] : this->metrics.loadRefusals)
    text << "banyanrill_refusals_total{cause=\"" << key.second << "\",queue=\""
         << escapeLabelValue(key.first) << "\"} " << count << '\n';
  for (const auto &[key, count] : this->metrics.replies) {
    const std::size_t slash = key.find('/');
    text << "banyanrill_replies_total{request=\"" << key.substr(0, slash) << "\",outcome=\""
         << key.substr(slash + 1) << "\"} " << count << '\n';
  }
  const auto histograms = [&text](const char *name, const char *label,
                                  const std::map<std::string, base::LatencyHistogram> &all) {
    for (const auto &[value, histogram] : all) {
      std::string labels = label;
      labels.append("=\"").append(value).append("\"");
      text << histogram.text(name, labels);
    }
  };
  histograms("banyanrill_request_seconds", "request", this->metrics.answerTimes);
  histograms("banyanrill_order_seconds", "order", this->metrics.orderTimes);
  histograms("banyanrill_job_seconds", "outcome", this->metrics.jobTimes);
  text << this->callers.metricsText();
  if (!this->dispatcher)
    return text.str();
  const jobs::DispatcherCounters leader = this->dispatcher->counters();
  line("starts_total", leader.starts);
  line("starts_rejected_total", leader.startsRejected);
  line("starts_unanswered_total", leader.startsUnanswered);
  line("stops_total", leader.stops);
  line("holds_total", leader.renewals);
  line("holds_unanswered_total", leader.renewalsUnanswered);
  line("advice_calls_total", leader.adviceCalls);
  line("advice_failures_total", leader.adviceFailures);
  line("runs_released_total", leader.runsReleased);
  line("workers_removed_total", leader.workersRemoved);
  line("open_steps", leader.openSteps);
  line("workers", leader.sessions);
  line("placement_waits_total", leader.waits.begun);
  line("placement_waits_reached_total", leader.waits.reached);
  line("placement_waits_given_up_total", leader.waits.givenUp);
  for (std::size_t outcome = 0; outcome < jobs::GangOutcomes; ++outcome)
    text << "banyanrill_gangs{outcome=\"" << jobs::GangOutcomeNames.at(outcome) << "\"} "
         << leader.gangs.at(outcome) << '\n';
  appendWorkspaces(text, this->dispatcher->workspaceLoads());
  return text.str();
}

} // namespace banyanrill::node
