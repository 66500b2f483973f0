// Requests from outside: answered here if this node leads, else passed to the leader until it has
// answered or the caller's patience ends. Every request may be repeated without harm, because jobs,
// configurations and reports carry their own identity.
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>
#include <sstream>

namespace banyanrill::node {

namespace {

/// Time for the answer's way back to the caller.
constexpr base::Duration AnswerMargin = std::chrono::milliseconds(60);

/// A leader that does not answer within this time is doubted and asked again, or another one.
constexpr base::Duration ForwardTimeout = std::chrono::milliseconds(600);

/// Open requests of one node; more are refused.
constexpr std::size_t MaxOpenRequests = 2048;

/// When a caller should come back if there is no leader: about an election.
constexpr std::int64_t NoLeaderRetryMs = 1000;

/// When a caller should come back if too much is open.
constexpr std::int64_t BusyRetryMs = 1000;

/// Without a leader's answer for this long, new callers are better served elsewhere.
constexpr base::Duration ContactLife = std::chrono::milliseconds(2500);

/// Operators are sent to a leader that was heard from within this time: about three greetings.
constexpr base::Duration RedirectLife = std::chrono::milliseconds(1500);

/// An unchanged report is forwarded again after this time, in case the leader has removed the
/// worker.
constexpr base::Duration ReportLife = std::chrono::milliseconds(4000);

/// Workers whose reports one node remembers.
constexpr std::size_t MaxReports = 2048;

bool changesNothing(const jobs::Request &request) {
  return std::holds_alternative<jobs::StateRequest>(request) ||
         std::holds_alternative<jobs::ReadConfigurationRequest>(request) ||
         std::holds_alternative<jobs::WaveStateRequest>(request);
}

/// A configuration can be so large that a node with a slow link cannot pass it on within the time
/// that its operator waits.
bool carriesConfiguration(const jobs::Request &request) {
  return std::holds_alternative<jobs::ConfigureRequest>(request) ||
         std::holds_alternative<jobs::ReadConfigurationRequest>(request);
}

} // namespace

void Node::State::serve(http::ExchangeId exchange, Door door, const http::Request &request) {
  std::variant<jobs::Request, http::Response> decoded = this->dialect.decode(door, request);
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
  open.giveUpAt = this->now + this->dialect.patience(door, request) - AnswerMargin;
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

bool Node::State::isKnownReport(const jobs::Request &request) const {
  const auto *report = std::get_if<jobs::WorkerReport>(&request);
  if (report == nullptr || !this->roster->leader())
    return false;
  const auto known = this->reports.find(report->profile.life.id);
  return known != this->reports.end() && known->second.term == this->seenTerm &&
         this->now - known->second.forwarded < ReportLife &&
         known->second.profile == report->profile;
}

void Node::State::noteReport(const jobs::Request &request, const jobs::Reply &reply) {
  const auto *report = std::get_if<jobs::WorkerReport>(&request);
  if (report == nullptr || reply.code != jobs::ReplyCode::Done)
    return;
  if (this->reports.size() >= MaxReports)
    this->reports.clear();
  this->reports[report->profile.life.id] = {report->profile, this->now, this->seenTerm};
}

void Node::State::advance(std::uint64_t id) {
  OpenRequest &request = this->open.at(id);
  if (request.underWay)
    return;
  if (this->isKnownReport(request.request)) {
    jobs::Reply known;
    known.reportTo = this->roster->self().controlAddress;
    this->finish(id, std::move(known));
    return;
  }
  if (this->group && this->group->leads()) {
    request.underWay = true;
    ++request.attempts;
    this->answer(request.request, [this, id](jobs::Reply reply) {
      const auto found = this->open.find(id);
      if (found == this->open.end())
        return;
      found->second.underWay = false;
      if (reply.code != jobs::ReplyCode::InDoubt) {
        this->noteReport(found->second.request, reply);
        reply.reportTo = this->roster->self().controlAddress;
        this->finish(id, std::move(reply));
        return;
      }
      // The next leader knows; `retryOpen` asks it.
      found->second.mayHaveRun = true;
    });
    return;
  }
  const std::optional<membership::KnownLeader> leader = this->roster->leader();
  if (!leader || leader->id == this->roster->self().id)
    return;
  if (carriesConfiguration(request.request) && request.attempts == 0 &&
      this->heardLeaderWithin(RedirectLife)) {
    const membership::PeerRecord *record = this->roster->find(leader->id);
    if (record != nullptr && !record->controlAddress.empty()) {
      jobs::Reply elsewhere;
      elsewhere.code = jobs::ReplyCode::AskLeader;
      elsewhere.askAt = record->controlAddress;
      this->finish(id, std::move(elsewhere));
      return;
    }
  }
  this->forward(request, *leader);
}

void Node::State::forward(OpenRequest &request, const membership::KnownLeader &leader) {
  const std::uint64_t id = request.id;
  request.underWay = true;
  ++request.attempts;
  ++this->figures.forwarded;
  const base::Duration timeout = std::clamp(
      request.giveUpAt - this->now, base::Duration(std::chrono::milliseconds(1)), ForwardTimeout);
  this->callPeer(
      leader.address, wire::ForwardedRequest{id, request.request, this->seenTerm}, timeout,
      [this, id, leader](base::Verdict verdict, std::optional<wire::PeerReply> answered) {
        auto *forwarded = answered ? std::get_if<wire::ForwardedReply>(&*answered) : nullptr;
        if (forwarded == nullptr || !forwarded->isLeader)
          this->roster->suspectLeader(leader.id);
        if (forwarded != nullptr && forwarded->isLeader) {
          this->lastContact = this->now;
          this->seenTerm = std::max(this->seenTerm, forwarded->term);
        }
        const auto found = this->open.find(id);
        if (found == this->open.end())
          return;
        OpenRequest &open = found->second;
        open.underWay = false;
        const bool decided = forwarded != nullptr && forwarded->isLeader &&
                             forwarded->reply.code != jobs::ReplyCode::InDoubt;
        if (decided) {
          this->noteReport(open.request, forwarded->reply);
          // The next report comes here, where it is known.
          forwarded->reply.reportTo = this->roster->self().controlAddress;
          this->finish(id, std::move(forwarded->reply));
          return;
        }
        const bool untouched =
            verdict == base::Verdict::DidNotRun || (forwarded != nullptr && !forwarded->isLeader);
        if (!untouched)
          open.mayHaveRun = true;
      });
}

void Node::State::retryOpen() {
  std::vector<std::uint64_t> ids;
  ids.reserve(this->open.size());
  for (const auto &[id, request] : this->open)
    ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const auto found = this->open.find(id);
    if (found == this->open.end())
      continue;
    const OpenRequest &request = found->second;
    if (this->now < request.giveUpAt) {
      this->advance(id);
      continue;
    }
    const bool inDoubt =
        (request.mayHaveRun || request.underWay) && !changesNothing(request.request);
    jobs::Reply reply;
    reply.code = inDoubt ? jobs::ReplyCode::InDoubt : jobs::ReplyCode::Unavailable;
    reply.message = "no leader answered in time";
    reply.retryAfterMs = NoLeaderRetryMs;
    this->finish(id, std::move(reply));
  }
}

void Node::State::finish(std::uint64_t id, jobs::Reply reply) {
  const auto found = this->open.find(id);
  if (found == this->open.end())
    return;
  const OpenRequest &request = found->second;
  const std::string_view name = jobs::nameOf(request.request);
  ++this->figures.replies[std::string(name) + '/' + std::string(jobs::nameOf(reply.code))];
  this->figures.answerTimes[std::string(name)].note(this->now - request.received);
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
                    {"term", std::to_string(this->seenTerm)}});
  }
  this->loop->respond(request.exchange, this->dialect.encode(request.request, reply));
  this->open.erase(found);
}

bool Node::State::isReady() const {
  if (this->draining)
    return false;
  return (this->group && this->group->leads()) || this->heardLeaderWithin(ContactLife);
}

bool Node::State::heardLeaderWithin(base::Duration duration) const {
  return this->lastContact && this->now - *this->lastContact < duration;
}

std::string Node::State::metricsText() const {
  std::ostringstream text;
  const auto line = [&text](const char *name, auto value) {
    text << "banyanrill_" << name << ' ' << value << '\n';
  };
  line("requests_open", this->open.size());
  line("requests_forwarded_total", this->figures.forwarded);
  line("peer_calls_failed_total", this->figures.peerCallsFailed);
  line("leaderships_total", this->figures.leaderships);
  line("leads", this->group && this->group->leads() ? 1 : 0);
  line("knows_leader", this->roster->leader() ? 1 : 0);
  line("log_lines_dropped_total", base::droppedLogLines());
  line("term", this->group ? this->group->term() : this->seenTerm);
  for (const auto &[key, count] : this->figures.replies) {
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
  histograms("banyanrill_request_seconds", "request", this->figures.answerTimes);
  histograms("banyanrill_order_seconds", "order", this->figures.orderTimes);
  histograms("banyanrill_job_seconds", "outcome", this->figures.jobTimes);
  if (!this->dispatcher)
    return text.str();
  const jobs::DispatcherFigures leader = this->dispatcher->figures();
  line("starts_total", leader.starts);
  line("starts_rejected_total", leader.startsRejected);
  line("starts_unanswered_total", leader.startsUnanswered);
  line("stops_total", leader.stops);
  line("holds_total", leader.holds);
  line("holds_unanswered_total", leader.holdsUnanswered);
  line("advice_calls_total", leader.adviceCalls);
  line("advice_failures_total", leader.adviceFailures);
  line("runs_released_total", leader.runsReleased);
  line("workers_removed_total", leader.workersRemoved);
  line("open_steps", leader.openSteps);
  line("workers", leader.sessions);
  return text.str();
}

} // namespace banyanrill::node
