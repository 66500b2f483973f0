#include "banyanrill/daemon/OwnerRequests.h"

#include "banyanrill/daemon/Replies.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace banyanrill::daemon {

namespace {

/// Changes of load are reported at most this often, to bound the bytes of control.
constexpr base::Duration DigestInterval = std::chrono::milliseconds(500);

/// Tells other daemons that this owner is alive, also while nothing changes.
constexpr base::Duration DigestKeepAlive = std::chrono::seconds(2);

/// An instance that no longer announces itself cannot say whether a request has ended. Deadlines
/// are at most 60 s, and no service is expected to work on a request for twice as long.
constexpr base::Duration AbandonedTimeout = std::chrono::seconds(120);

std::string keyOf(const wire::Forward &forward) {
  return forward.requestId + "." + std::to_string(forward.attempt);
}

/// Upstreams belong to a team, so two teams' services of one name do not share a queue.
std::string queueOf(const wire::Forward &forward) { return forward.team + "/" + forward.service; }

std::string formatDemand(const base::Resources &demand) {
  return "millicores=" + std::to_string(demand.millicores) +
         ";memory_mib=" + std::to_string(demand.memoryMib) +
         ";accelerators=" + std::to_string(demand.accelerators);
}

routing::UpstreamOutcome healthOf(const http::CallResult &result) {
  if (result.verdict == base::Verdict::DidNotRun)
    return routing::UpstreamOutcome::ConnectFailure;
  const bool failed = result.verdict != base::Verdict::Ran || result.response.status >= 500;
  return failed ? routing::UpstreamOutcome::Failure : routing::UpstreamOutcome::Success;
}

} // namespace

OwnerRequests::OwnerRequests(Context &sharedContext, WorkerGateway &gateway, std::string token)
    : context(sharedContext), workers(gateway), ownerToken(std::move(token)),
      upstreams(routing::UpstreamTableOptions{}, base::RandomSource(sharedContext.random.next())),
      queue(routing::AdmissionOptions{}) {
  this->workers.setDroppedHandler([this](const base::WorkerId &worker) {
    std::erase_if(this->abandoned,
                  [&worker](const Abandoned &request) { return request.lease.worker == worker; });
    this->upstreams.dropWorker(worker);
  });
}

void OwnerRequests::onForward(base::DaemonId from, wire::Forward forward) {
  const std::string key = keyOf(forward);
  if (this->active.count(key) || this->waiting.count(key))
    return;
  Request request{from, std::move(forward), {}};
  request.deadline = this->context.now + std::chrono::milliseconds(request.forward.remainingMs);
  if (request.forward.remainingMs <= 0) {
    this->reply(request, wire::ForwardState::Refused, base::Verdict::DidNotRun, "deadline passed");
    return;
  }
  if (this->dispatch(key, request))
    return;
  if (!request.forward.mayQueue) {
    this->reply(request, wire::ForwardState::Busy, base::Verdict::DidNotRun, "no free slot");
    return;
  }
  this->enqueue(key, std::move(request));
}

bool OwnerRequests::dispatch(const std::string &key, Request &request) {
  const wire::Forward &forward = request.forward;
  const auto admits = [&](const base::WorkerId &worker) {
    return this->workers.reserveForRequest(worker, key, forward.demand);
  };
  const std::optional<routing::UpstreamLease> lease = this->upstreams.acquire(
      forward.team, forward.service, forward.excludedUpstreams, this->context.now, admits);
  if (!lease)
    return false;
  http::Call call;
  call.host = lease->host;
  call.port = lease->port;
  call.timeout = std::max(request.deadline - this->context.now, base::Duration{1000});
  call.request.method = "POST";
  call.request.path = "/" + forward.operation;
  call.request.body = forward.body;
  call.request.headers = {{"content-type", forward.contentType},
                          {"banyanrill-request-id", forward.requestId},
                          {"banyanrill-upstream", lease->id.value},
                          {"banyanrill-worker", lease->worker.value},
                          {"banyanrill-owner", this->ownerToken},
                          {"banyanrill-demand", formatDemand(forward.demand)}};
  if (!forward.idempotencyKey.empty())
    call.request.headers.emplace_back("idempotency-key", forward.idempotencyKey);
  const CallToken token = this->context.call(std::move(call));
  this->active[key] = token;
  this->running[token] = {std::move(request), *lease, this->context.now};
  return true;
}

void OwnerRequests::enqueue(const std::string &key, Request request) {
  const wire::Forward &forward = request.forward;
  std::int32_t slots = 0;
  for (const routing::ServiceLoad &load : this->upstreams.loads(this->context.now)) {
    if (load.team == forward.team && load.service == forward.service)
      slots = load.totalSlots;
  }
  if (slots == 0) {
    this->reply(request, wire::ForwardState::Busy, base::Verdict::DidNotRun, "no upstream");
    return;
  }
  const routing::QueuedRequest queued{key, forward.team, queueOf(forward), forward.priority,
                                      request.deadline};
  const routing::Admission admission = this->queue.push(
      queued, this->upstreams.serviceTime(forward.team, forward.service), slots, this->context.now);
  if (admission == routing::Admission::Queued) {
    this->waiting[key] = std::move(request);
    return;
  }
  const bool full = admission == routing::Admission::QueueFull;
  this->reply(request, wire::ForwardState::Refused, base::Verdict::DidNotRun,
              full ? "queue full" : "deadline too short for the queue");
}

bool OwnerRequests::onCallResult(CallToken token, const http::CallResult &result) {
  const auto found = this->running.find(token);
  if (found == this->running.end())
    return false;
  const Running done = std::move(found->second);
  this->running.erase(found);
  const wire::Forward &forward = done.request.forward;
  const std::string key = keyOf(forward);
  this->active.erase(key);
  if (result.verdict == base::Verdict::MayHaveRun)
    this->abandoned.push_back(
        {key, forward.requestId, done.lease, done.startedAt, this->context.now});
  else
    this->release(key, done.lease, healthOf(result), done.startedAt);

  wire::ForwardResult answer;
  answer.requestId = forward.requestId;
  answer.attempt = forward.attempt;
  answer.verdict = result.verdict;
  answer.upstream = done.lease.id;
  answer.reason = result.failure;
  if (result.verdict == base::Verdict::Ran) {
    answer.state = wire::ForwardState::Answered;
    answer.status = result.response.status;
    answer.contentType = http::findHeader(result.response.headers, "content-type");
    answer.body = result.response.body;
  }
  this->context.send(done.request.from, std::move(answer));
  this->dispatchWaiting(queueOf(forward));
  return true;
}

void OwnerRequests::release(const std::string &key, const routing::UpstreamLease &lease,
                            routing::UpstreamOutcome outcome, base::TimePoint startedAt) {
  this->upstreams.release(lease.id, outcome, this->context.now - startedAt, this->context.now);
  this->workers.releaseRequest(lease.worker, key);
}

void OwnerRequests::releaseEnded(const Announcement &announcement) {
  const std::vector<std::string> &slow = announcement.slowRequests;
  std::erase_if(this->abandoned, [&](Abandoned &request) {
    if (request.lease.id != announcement.upstream.id)
      return false;
    const bool runs = std::find(slow.begin(), slow.end(), request.requestId) != slow.end();
    request.announcementsWithout = runs ? 0 : request.announcementsWithout + 1;
    // The first announcement may have been sent before the request had run long enough to be
    // listed.
    if (request.announcementsWithout < 2)
      return false;
    this->release(request.key, request.lease, routing::UpstreamOutcome::Failure, request.startedAt);
    return true;
  });
}

void OwnerRequests::releaseExpired() {
  std::erase_if(this->abandoned, [this](const Abandoned &request) {
    if (this->context.now - request.abandonedAt < AbandonedTimeout)
      return false;
    this->release(request.key, request.lease, routing::UpstreamOutcome::Failure, request.startedAt);
    return true;
  });
}

void OwnerRequests::dispatchWaiting(const std::string &service) {
  while (const std::optional<routing::QueuedRequest> next =
             this->queue.pop(service, this->context.now)) {
    const auto found = this->waiting.find(next->requestId);
    if (found == this->waiting.end())
      continue;
    if (!this->dispatch(found->first, found->second)) {
      // The slot went elsewhere: back into the queue, from which it is refused if it cannot make
      // it.
      Request request = std::move(found->second);
      const std::string key = found->first;
      this->waiting.erase(found);
      this->enqueue(key, std::move(request));
      return;
    }
    this->waiting.erase(found);
  }
}

void OwnerRequests::reply(const Request &request, wire::ForwardState state, base::Verdict verdict,
                          const std::string &reason) {
  wire::ForwardResult answer;
  answer.requestId = request.forward.requestId;
  answer.attempt = request.forward.attempt;
  answer.state = state;
  answer.verdict = verdict;
  answer.reason = reason;
  this->context.send(request.from, std::move(answer));
}

void OwnerRequests::onAnnounce(http::ExchangeId exchange, const std::string &body) {
  const base::Result<Announcement> parsed = parseAnnouncement(body);
  if (!parsed) {
    this->context.respond(exchange, refusal(400, base::Verdict::DidNotRun, parsed.error()));
    return;
  }
  const routing::UpstreamAnnouncement &announced = parsed.value().upstream;
  const bool own = this->workers.isOwner(announced.worker);
  base::DaemonId owner = own ? this->context.self() : base::NoDaemon;
  if (!own) {
    if (const auto named = this->workers.namedOwner(announced.worker))
      owner = named->daemon;
  }
  bool registered = false;
  if (own) {
    registered = this->upstreams.announce(announced, this->context.now);
    this->releaseEnded(parsed.value());
    this->workers.noteInherited(announced.worker, announced.id, parsed.value().inherited);
  }
  const Peer *peer = this->context.config.find(owner);
  const nlohmann::json answer = {{"owner", owner},
                                 {"host", peer ? peer->address : ""},
                                 {"port", peer ? peer->httpPort : 0},
                                 {"registered", registered},
                                 {"owner_token", registered ? this->ownerToken : ""}};
  this->context.respond(exchange, jsonResponse(200, answer.dump()));
  if (registered)
    this->dispatchWaiting(announced.team + "/" + announced.service);
}

void OwnerRequests::onLeaving(const base::UpstreamId &upstream) { this->upstreams.leave(upstream); }

void OwnerRequests::tick() {
  this->releaseExpired();
  for (const base::UpstreamId &gone : this->upstreams.expire(this->context.now))
    base::logEvent(base::Event::UpstreamLeft, {{"upstream", gone.value}, {"reason", "silent"}});
  for (const routing::QueuedRequest &expired : this->queue.expire(this->context.now)) {
    const auto found = this->waiting.find(expired.requestId);
    if (found == this->waiting.end())
      continue;
    this->reply(found->second, wire::ForwardState::Refused, base::Verdict::DidNotRun,
                "deadline passed in the queue");
    this->waiting.erase(found);
  }
  std::set<std::string> services;
  for (const auto &[key, request] : this->waiting)
    services.insert(queueOf(request.forward));
  for (const std::string &service : services)
    this->dispatchWaiting(service);
  this->sendDigest();
}

void OwnerRequests::sendDigest() {
  const base::Duration age = this->context.now - this->lastDigest;
  if (age < DigestInterval)
    return;
  std::vector<routing::ServiceLoad> loads = this->upstreams.loads(this->context.now);
  if (loads == this->lastLoads && age < DigestKeepAlive)
    return;
  this->lastDigest = this->context.now;
  this->lastLoads = loads;
  const wire::LoadReport digest{++this->digestSequence, std::move(loads)};
  for (const Peer &peer : this->context.config.peers)
    this->context.send(peer.daemon, digest);
}

} // namespace banyanrill::daemon
