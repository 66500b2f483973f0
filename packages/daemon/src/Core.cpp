#include "banyanrill/daemon/Core.h"

#include "banyanrill/daemon/Digest.h"
#include "banyanrill/daemon/Replies.h"

#include <deque>

namespace banyanrill::daemon {

namespace {

/// Workers that do not poll within this time are left to the takeover after silence.
constexpr base::Duration HandoverTimeout = std::chrono::seconds(10);

/// One round trip between regions is about 16 ms; a lost message costs one interval.
constexpr base::Duration RevisionRequestInterval = std::chrono::milliseconds(200);

/// Time for the platform's balancer to see the failing health check.
constexpr base::Duration BalancerDelay = std::chrono::seconds(1);

/// Requests have a deadline of at most 60 s.
constexpr base::Duration FinishTimeout = std::chrono::seconds(65);

/// A single notice may be lost, and a leaving instance does not announce itself again. Five repeats
/// end 2.5 s after the first notice, within the 3 s after which the instance gets no new request.
constexpr int LeavingRepeats = 5;
constexpr base::Duration LeavingRepeatInterval = std::chrono::milliseconds(500);

/// Beyond this number, a notice is sent once and not repeated.
constexpr std::size_t MaxLeavingNotices = 1024;

bool hasPrefix(const std::string &path, std::string_view prefix) {
  return path.rfind(prefix, 0) == 0;
}

/// Reads the worker's name from /v1/workers/{id}/poll.
std::optional<base::WorkerId> workerOf(const std::string &path) {
  constexpr std::string_view Prefix = "/v1/workers/";
  constexpr std::string_view Suffix = "/poll";
  const bool matches = path.size() > Prefix.size() + Suffix.size() && hasPrefix(path, Prefix) &&
                       path.compare(path.size() - Suffix.size(), Suffix.size(), Suffix) == 0;
  if (!matches)
    return std::nullopt;
  const std::string name = path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size());
  constexpr std::size_t MaxName = 64;
  const bool valid = name.size() <= MaxName &&
                     name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                            "0123456789._-") == std::string::npos;
  return valid ? std::optional(base::WorkerId{name}) : std::nullopt;
}

} // namespace

base::Result<std::unique_ptr<Core>> Core::create(const Config &config,
                                                 std::optional<consensus::StoredState> stored,
                                                 std::uint64_t seed, std::uint64_t incarnation,
                                                 base::TimePoint now) {
  std::unique_ptr<Core> core(new Core(config, stored, seed, incarnation, now));
  if (!stored)
    return core;
  if (const base::Status status = core->log->load(*stored); !status)
    return status.error();
  core->pushedRevision = core->settings().revision();
  return core;
}

Core::Core(const Config &settingsFile, std::optional<consensus::StoredState> stored,
           std::uint64_t seed, std::uint64_t runNumber, base::TimePoint now)
    : config(settingsFile), context{this->config, now, 0, base::RandomSource(seed), {}, 0},
      incarnation(runNumber), proposals(this->context), gateway(this->context),
      ownerRequests(this->context, this->gateway,
                    std::to_string(settingsFile.daemon) + "." + std::to_string(this->incarnation)),
      entryRequests(this->context, this->proposals),
      operators(this->context, this->proposals,
                stored ? &this->log.emplace(this->context, *stored) : nullptr,
                stored ? &this->leaderDuties.emplace(this->context, *this->log) : nullptr) {
  if (!stored) {
    this->follower.emplace(this->context);
    return;
  }
  this->feedServer.emplace(this->context);
  this->log->setAppliedHandler(
      [this](const control::Command &command, const control::Result &result) {
        this->leaderDuties->onApplied(command, result);
      });
}

std::vector<Action> Core::handle(CoreEvent event, base::TimePoint now, std::int64_t wallClockMs) {
  this->startTime(now, wallClockMs);
  std::visit([this](auto &typed) { this->on(typed); }, event);
  return this->takeActions();
}

std::vector<Action> Core::tick(base::TimePoint now, std::int64_t wallClockMs) {
  this->startTime(now, wallClockMs);
  if (this->log) {
    this->log->tick();
    this->leaderDuties->tick();
    if (this->log->leads() != this->ledBefore) {
      this->ledBefore = !this->ledBefore;
      base::logEvent(this->ledBefore ? base::Event::BecameLeader : base::Event::LostLeadership,
                     {{"term", std::to_string(this->log->replica().term())}});
    }
    this->pushFeed();
  } else {
    this->follower->tick();
  }
  this->checkCurrent();
  const base::DaemonId known = this->leader();
  this->proposals.tick(known);
  this->gateway.tick(this->settings(), known);
  this->ownerRequests.tick();
  this->entryRequests.tick(known);
  this->operators.tick(this->settings());
  this->repeatLeavingNotices();
  if (this->stopping && this->handedOver() && this->log && this->log->leads())
    this->log->transferLeadership();
  return this->takeActions();
}

void Core::startTime(base::TimePoint now, std::int64_t wallClockMs) {
  this->context.now = now;
  this->context.wallClockMs = wallClockMs;
}

std::vector<Action> Core::takeActions() {
  std::vector<Action> outside;
  // Messages to this daemon itself are handled at once; each may cause more.
  std::deque<Action> pending(std::make_move_iterator(this->context.actions.begin()),
                             std::make_move_iterator(this->context.actions.end()));
  this->context.actions.clear();
  while (!pending.empty()) {
    Action action = std::move(pending.front());
    pending.pop_front();
    auto *message = std::get_if<SendMessage>(&action);
    if (!message || message->to != this->config.daemon) {
      outside.push_back(std::move(action));
      continue;
    }
    this->deliver(this->config.daemon, this->incarnation, std::move(message->body));
    for (Action &caused : this->context.actions)
      pending.push_back(std::move(caused));
    this->context.actions.clear();
  }
  return outside;
}

void Core::on(PeerEvent &event) {
  const wire::Envelope &envelope = event.envelope;
  if (envelope.to != this->config.daemon || !this->config.find(envelope.from)) {
    base::logEvent(base::Event::PeerMessageRejected, {{"from", std::to_string(envelope.from)},
                                                      {"reason", "unknown sender or receiver"}});
    return;
  }
  this->deliver(envelope.from, envelope.incarnation, std::move(event.envelope.body));
}

void Core::deliver(base::DaemonId from, std::uint64_t senderIncarnation, wire::Body body) {
  if (auto *message = std::get_if<consensus::Message>(&body)) {
    if (this->log && message->from == from)
      this->log->onMessage(*message);
  } else if (auto *heartbeat = std::get_if<wire::Heartbeat>(&body)) {
    if (this->leaderDuties)
      this->leaderDuties->onHeartbeat(from, *heartbeat);
  } else if (auto *heartbeatAck = std::get_if<wire::HeartbeatAck>(&body)) {
    this->gateway.onHeartbeatAck(*heartbeatAck);
  } else if (auto *propose = std::get_if<wire::Propose>(&body)) {
    if (this->log)
      this->log->onPropose(from, std::move(*propose));
  } else if (auto *proposed = std::get_if<wire::ProposeResult>(&body)) {
    this->proposals.onResult(*proposed);
  } else if (auto *follow = std::get_if<wire::SettingsSubscription>(&body)) {
    if (this->feedServer)
      this->feedServer->onFollow(from, *follow, this->settings(), this->leaderForFeed());
  } else if (auto *feed = std::get_if<wire::SettingsUpdate>(&body)) {
    if (feed->leader == from)
      this->requiredRevision = std::max(this->requiredRevision.value_or(0), feed->to);
    if (this->follower)
      this->follower->onFeed(from, *feed);
  } else if (auto *digest = std::get_if<wire::LoadReport>(&body)) {
    this->entryRequests.onLoadDigest(from, senderIncarnation, *digest);
  } else if (auto *forward = std::get_if<wire::Forward>(&body)) {
    this->ownerRequests.onForward(from, std::move(*forward));
  } else if (auto *forwarded = std::get_if<wire::ForwardResult>(&body)) {
    this->entryRequests.onForwardResult(*forwarded);
  } else if (auto *start = std::get_if<wire::StartTask>(&body)) {
    this->gateway.onStartTask(*start);
  } else if (auto *stop = std::get_if<wire::StopTask>(&body)) {
    this->gateway.onStopTask(*stop);
  } else if (auto *events = std::get_if<wire::TaskEvents>(&body)) {
    if (this->leaderDuties)
      this->leaderDuties->onTaskEvents(from, *events);
  } else if (auto *eventsAck = std::get_if<wire::TaskEventsAck>(&body)) {
    this->gateway.onEventsAck(*eventsAck);
  } else if (auto *leaving = std::get_if<wire::UpstreamLeaving>(&body)) {
    this->ownerRequests.onLeaving(leaving->upstream);
  }
}

void Core::on(RequestEvent &event) {
  const http::Request &request = event.request;
  // Workers and upstream instances bring their own facts; all others are served from the settings.
  const bool needsSettings = hasPrefix(request.path, "/v1/requests") ||
                             hasPrefix(request.path, "/v1/settings") ||
                             hasPrefix(request.path, "/v1/changes");
  if (needsSettings && !this->current) {
    this->context.respond(event.exchange,
                          refusal(503, base::Verdict::DidNotRun,
                                  {base::Errc::Unavailable, request.path,
                                   "the settings are not known to be current yet"}));
    return;
  }
  if (hasPrefix(request.path, "/v1/requests/")) {
    this->entryRequests.onRequest(event.exchange, request, this->settings(), this->leader());
    return;
  }
  if (const std::optional<base::WorkerId> worker = workerOf(request.path);
      worker && request.method == "POST") {
    this->gateway.onPoll(event.exchange, *worker, request.body);
    return;
  }
  constexpr std::string_view Upstreams = "/v1/upstreams";
  if (request.method == "POST" && request.path == Upstreams) {
    this->ownerRequests.onAnnounce(event.exchange, request.body);
    return;
  }
  if (request.method == "DELETE" && hasPrefix(request.path, "/v1/upstreams/")) {
    this->announceLeaving({request.path.substr(Upstreams.size() + 1)});
    this->context.respond(event.exchange, jsonResponse(200, "{}"));
    return;
  }
  this->operators.onRequest(event.exchange, request, this->settings(), this->status());
}

void Core::announceLeaving(const base::UpstreamId &upstream) {
  for (const Peer &peer : this->config.peers)
    this->context.send(peer.daemon, wire::UpstreamLeaving{upstream});
  if (this->leavingNotices.size() < MaxLeavingNotices)
    this->leavingNotices.push_back(
        {upstream, LeavingRepeats, this->context.now + LeavingRepeatInterval});
}

void Core::repeatLeavingNotices() {
  for (LeavingNotice &notice : this->leavingNotices) {
    if (this->context.now < notice.next)
      continue;
    notice.next = this->context.now + LeavingRepeatInterval;
    --notice.repeatsLeft;
    for (const Peer &peer : this->config.peers)
      this->context.send(peer.daemon, wire::UpstreamLeaving{notice.upstream});
  }
  std::erase_if(this->leavingNotices,
                [](const LeavingNotice &notice) { return notice.repeatsLeft == 0; });
}

void Core::on(const DisconnectEvent &event) {
  this->gateway.onDisconnect(event.exchange);
  this->entryRequests.onDisconnect(event.exchange);
  this->operators.onDisconnect(event.exchange);
}

void Core::on(const CallEvent &event) {
  if (!this->ownerRequests.onCallResult(event.token, event.result))
    this->operators.onCallResult(event.token, event.result);
}

void Core::on(const StorageDone &event) {
  if (this->log)
    this->log->onStored(event);
}

void Core::on(const StorageFailed &event) {
  this->storageFailed = true;
  base::logEvent(base::Event::StorageFailed, {{"reason", event.reason}});
  if (this->log)
    this->log->halt();
}

void Core::on(StorageOpened &event) {
  this->storageFailed = false;
  base::logEvent(base::Event::StorageReopened, {});
  if (this->log)
    this->log->resume(event.opening, std::move(event.stored));
}

void Core::on(const StopEvent &) {
  if (this->stopping)
    return;
  this->stopping = true;
  this->stopStarted = this->context.now;
  this->gateway.startStopping();
  base::logEvent(base::Event::DaemonStopping, {});
}

bool Core::handedOver() const {
  const base::Duration elapsed = this->context.now - this->stopStarted;
  if (elapsed < BalancerDelay)
    return false;
  return this->gateway.ownedWorkers() == 0 || elapsed >= HandoverTimeout;
}

bool Core::finished() const {
  const bool idle = this->handedOver() && this->entryRequests.open() == 0 &&
                    this->ownerRequests.inProgress() == 0 && this->ownerRequests.queued() == 0;
  return idle || this->context.now - this->stopStarted >= FinishTimeout;
}

base::DaemonId Core::leader() const {
  return this->log ? this->log->leader() : this->follower->leader();
}

const settings::Tree &Core::settings() const {
  return this->log ? this->log->state().settings() : this->follower->settings();
}

void Core::pushFeed() {
  const settings::Revision revision = this->settings().revision();
  if (revision == this->pushedRevision)
    return;
  this->pushedRevision = revision;
  this->feedServer->push(this->settings(), this->leaderForFeed());
}

base::DaemonId Core::leaderForFeed() const {
  const base::DaemonId known = this->leader();
  // A new leader does not know yet all that was committed before its term.
  const bool notReady = known == this->config.daemon && !this->log->leads();
  return notReady ? base::NoDaemon : known;
}

void Core::checkCurrent() {
  if (this->current)
    return;
  const bool leads = this->log && this->log->leads();
  if (leads || (this->requiredRevision && this->settings().revision() >= *this->requiredRevision)) {
    this->current = true;
    return;
  }
  const base::DaemonId known = this->leader();
  const bool due = this->context.now - this->lastRevisionRequest >= RevisionRequestInterval;
  if (known == base::NoDaemon || known == this->config.daemon || !due)
    return;
  this->lastRevisionRequest = this->context.now;
  this->context.send(known, wire::SettingsSubscription{this->settings().revision()});
}

StatusReport Core::status() const {
  StatusReport report;
  report.role = this->log ? (this->log->leads() ? "leader" : "replica") : "entry";
  report.leader = this->leader();
  report.stopping = this->stopping || !this->current;
  report.storageFailed = this->storageFailed;
  const RequestCounters &counters = this->entryRequests.counters();
  report.figures = {{"owned_workers", this->gateway.ownedWorkers()},
                    {"upstream_instances", this->ownerRequests.instances()},
                    {"requests_open", this->entryRequests.open()},
                    {"requests_running", this->ownerRequests.inProgress()},
                    {"requests_queued", this->ownerRequests.queued()},
                    {"requests_accepted_total", counters.accepted},
                    {"requests_answered_total", counters.answered},
                    {"requests_replayed_total", counters.replayed},
                    {"requests_retried_total", counters.retried},
                    {"requests_refused_did_not_run_total", counters.refusedDidNotRun},
                    {"requests_refused_may_have_run_total", counters.refusedMayHaveRun},
                    {"peer_bytes_sent_total", this->peerBytesSent},
                    {"peer_bytes_received_total", this->peerBytesReceived}};
  if (!this->log)
    return report;
  report.figures.emplace_back("commit_index", this->log->replica().commitIndex());
  report.figures.emplace_back("claims", this->log->state().claims());
  report.figures.emplace_back("jobs", this->log->state().jobs().size());
  if (this->leaderDuties->isActive())
    report.figures.emplace_back("live_daemons", this->leaderDuties->liveDaemons());
  return report;
}

} // namespace banyanrill::daemon
