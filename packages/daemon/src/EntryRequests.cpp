#include "banyanrill/daemon/EntryRequests.h"

#include "banyanrill/daemon/Digest.h"
#include "banyanrill/daemon/Replies.h"

#include <algorithm>
#include <charconv>

namespace banyanrill::daemon {

namespace {

/// Owners answer requests that time out in their queue; this is the time for that answer to arrive.
constexpr base::Duration AnswerGrace = std::chrono::milliseconds(250);

/// While another holder runs the request, its outcome is asked for this often.
constexpr base::Duration HolderPollInterval = std::chrono::milliseconds(100);

/// The outcome of a claim is worth recording while callers may still resend.
constexpr base::Duration RecordTimeout = std::chrono::seconds(30);

constexpr std::size_t MaxBusyOwners = 3;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::size_t MaxOpenRequests = 4096;
constexpr std::int64_t MaxDeadlineMs = 60'000;

routing::Location locationOf(const Peer &peer) { return {peer.region, peer.dataCentre}; }

std::vector<std::string> splitPath(const std::string &path) {
  std::vector<std::string> parts;
  std::size_t start = 1;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    parts.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

/// The caller's deadline, bounded by the policy's and by what the system keeps requests for.
std::optional<std::int64_t> deadlineMs(const http::Request &request,
                                       const settings::OperationPolicy &policy) {
  const std::int64_t limit = std::min(policy.deadlineMs, MaxDeadlineMs);
  const std::string header = http::findHeader(request.headers, "banyanrill-deadline-ms");
  if (header.empty())
    return limit;
  std::int64_t wanted = 0;
  const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), wanted);
  if (error != std::errc{} || end != header.data() + header.size() || wanted <= 0)
    return std::nullopt;
  return std::min(wanted, limit);
}

} // namespace

EntryRequests::EntryRequests(Context &sharedContext, Proposals &sharedProposals)
    : context(sharedContext), proposals(sharedProposals),
      selector(routing::OwnerSelectorOptions{}, sharedContext.self(),
               locationOf(sharedContext.config.self()),
               base::RandomSource(sharedContext.random.next())),
      retries(routing::RetryBudgetOptions{}, sharedContext.now) {}

void EntryRequests::onRequest(http::ExchangeId exchange, const http::Request &request,
                              const settings::Tree &settings, base::DaemonId leader) {
  std::optional<Pending> parsed = this->parse(exchange, request, settings);
  if (!parsed)
    return;
  ++this->count.accepted;
  this->retries.onRequest(this->context.now);
  const std::string id = parsed->forward.requestId;
  const bool mustClaim = !parsed->claimKey.empty();
  this->byExchange[exchange] = id;
  this->requests[id] = std::move(*parsed);
  if (mustClaim)
    this->claim(id, leader);
  else
    this->route(id);
}

std::optional<EntryRequests::Pending> EntryRequests::parse(http::ExchangeId exchange,
                                                           const http::Request &request,
                                                           const settings::Tree &settings) {
  const std::vector<std::string> parts = splitPath(request.path);
  if (request.method != "POST" || parts.size() != 5) {
    this->refuseRequest(
        exchange, 404,
        {base::Errc::NotFound, request.path, "use POST /v1/requests/{team}/{service}/{operation}"});
    return std::nullopt;
  }
  const std::string policyPath = "/teams/" + parts[2] + "/operations/" + parts[3] + "." + parts[4];
  const std::optional<settings::Value> value = settings.get(policyPath);
  if (!value && settings.revision() == 0) {
    // Just started: a missing policy says nothing until the settings have arrived.
    this->refuseRequest(exchange, 503,
                        {base::Errc::Unavailable, policyPath, "no settings received yet"});
    return std::nullopt;
  }
  if (!value) {
    this->refuseRequest(exchange, 404,
                        {base::Errc::NotFound, policyPath, "the operation has no policy"});
    return std::nullopt;
  }
  if (this->requests.size() >= MaxOpenRequests) {
    this->refuseRequest(exchange, 429,
                        {base::Errc::LimitReached, request.path, "too many open requests"});
    return std::nullopt;
  }
  const base::Result<settings::OperationPolicy> policy =
      settings::parseOperationPolicy(value->json);
  if (!policy) {
    this->refuseRequest(exchange, 503, policy.error());
    return std::nullopt;
  }
  Pending pending;
  pending.policy = policy.value();
  const std::optional<std::int64_t> deadline = deadlineMs(request, pending.policy);
  if (!deadline) {
    this->refuseRequest(
        exchange, 400,
        {base::Errc::Malformed, "Banyanrill-Deadline-Ms", "must be a positive number"});
    return std::nullopt;
  }
  const std::string key = http::findHeader(request.headers, "idempotency-key");
  if (key.size() > MaxKeyBytes || (key.empty() && !pending.policy.repeatable)) {
    this->refuseRequest(exchange, 400,
                        {base::Errc::Malformed, "Idempotency-Key",
                         "is required for this operation, with at most 256 bytes"});
    return std::nullopt;
  }
  pending.exchange = exchange;
  pending.deadline = this->context.now + std::chrono::milliseconds(*deadline);
  wire::Forward &forward = pending.forward;
  forward.requestId = randomIdentifier();
  forward.team = parts[2];
  forward.service = parts[3];
  forward.operation = parts[4];
  forward.idempotencyKey = key;
  forward.contentType = http::findHeader(request.headers, "content-type");
  forward.body = request.body;
  forward.demand = pending.policy.demand;
  forward.priority = pending.policy.priority;
  if (!pending.policy.repeatable) {
    pending.claimKey = parts[2] + "/" + parts[3] + "/" + parts[4] + "/" + key;
    pending.digest = sha256Hex(request.body);
  }
  return pending;
}

void EntryRequests::claim(const std::string &id, base::DaemonId leader) {
  Pending &pending = this->requests.at(id);
  pending.step = Step::Claiming;
  this->proposals.submit(
      control::ClaimRequest{pending.claimKey, pending.digest, {this->context.self(), id}}, leader,
      pending.deadline, [this, id](ProposalEnd end, const control::Result &result) {
        this->onClaimResult(id, end, result);
      });
}

void EntryRequests::onClaimResult(const std::string &id, ProposalEnd end,
                                  const control::Result &result) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end())
    return;
  Pending &pending = found->second;
  if (end == ProposalEnd::NeverSent) {
    // An earlier request with this key may have run, but this one only ever asked who holds it.
    const base::Verdict verdict =
        pending.dispatchedBefore ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun;
    this->refuse(id, 503, verdict, base::Errc::Unavailable, "no leader is known");
    return;
  }
  if (end == ProposalEnd::Unknown) {
    this->refuse(id, 503, base::Verdict::MayHaveRun, base::Errc::Unavailable,
                 "the claim was not confirmed in time");
    return;
  }
  const auto &claimed = std::get<routing::ClaimResult>(result);
  switch (claimed.state) {
  case routing::ClaimState::Granted:
    pending.claimGranted = true;
    this->route(id);
    return;
  case routing::ClaimState::InProgress:
    pending.dispatchedBefore = true;
    pending.step = Step::WaitingForHolder;
    pending.resumeAt = this->context.now + HolderPollInterval;
    return;
  case routing::ClaimState::Done:
    this->replay(id, *claimed.outcome);
    return;
  case routing::ClaimState::Mismatch:
    this->refuse(id, 422, base::Verdict::DidNotRun, base::Errc::KeyReuse,
                 "the idempotency key was used with another body");
    return;
  case routing::ClaimState::TableFull:
    this->refuse(id, 503, base::Verdict::DidNotRun, base::Errc::LimitReached,
                 "too many claims are held");
    return;
  }
}

void EntryRequests::route(const std::string &id) {
  Pending &pending = this->requests.at(id);
  const wire::Forward &forward = pending.forward;
  base::DaemonId owner = base::NoDaemon;
  if (pending.busyOwners.size() < MaxBusyOwners)
    owner = this->selector.select(forward.team, forward.service, pending.policy.crossRegionWhenFull,
                                  pending.busyOwners, this->context.now);
  pending.forward.mayQueue = false;
  if (owner == base::NoDaemon) {
    // All that have free slots were asked: wait in the queue of one.
    pending.forward.mayQueue = true;
    owner = this->selector.select(forward.team, forward.service, pending.policy.crossRegionWhenFull,
                                  {}, this->context.now);
  }
  if (owner == base::NoDaemon) {
    this->refuse(id, 503,
                 pending.attemptsThatRan > 0 ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun,
                 base::Errc::Unavailable, "no upstream of the service is known");
    return;
  }
  pending.owner = owner;
  pending.step = Step::Forwarded;
  ++pending.forward.attempt;
  pending.forward.remainingMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(pending.deadline - this->context.now)
          .count();
  this->context.send(owner, pending.forward);
}

void EntryRequests::onForwardResult(const wire::ForwardResult &result) {
  const auto found = this->requests.find(result.requestId);
  // Answers of attempts that were given up are dropped: the caller has its answer already.
  if (found == this->requests.end() || found->second.step != Step::Forwarded ||
      found->second.forward.attempt != result.attempt)
    return;
  Pending &pending = found->second;
  switch (result.state) {
  case wire::ForwardState::Answered:
    this->answer(result.requestId, result);
    return;
  case wire::ForwardState::Busy:
    if (pending.forward.mayQueue) {
      this->refuse(result.requestId, 503,
                   pending.attemptsThatRan > 0 ? base::Verdict::MayHaveRun
                                               : base::Verdict::DidNotRun,
                   base::Errc::Unavailable, result.reason);
      return;
    }
    pending.busyOwners.push_back(pending.owner);
    this->route(result.requestId);
    return;
  case wire::ForwardState::Refused:
    this->refuse(result.requestId, 429,
                 pending.attemptsThatRan > 0 ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun,
                 base::Errc::LimitReached, result.reason);
    return;
  case wire::ForwardState::Failed:
    this->onFailedAttempt(result.requestId, result);
    return;
  }
}

void EntryRequests::onFailedAttempt(const std::string &id, const wire::ForwardResult &result) {
  Pending &pending = this->requests.at(id);
  if (result.verdict != base::Verdict::DidNotRun)
    ++pending.attemptsThatRan;
  pending.forward.excludedUpstreams.push_back(result.upstream);
  const bool mayRepeat = pending.policy.repeatable || pending.attemptsThatRan == 0;
  if (mayRepeat) {
    const std::optional<base::Duration> backoff =
        this->retries.tryRetry(static_cast<std::int32_t>(pending.forward.attempt), pending.deadline,
                               this->context.now, this->context.random);
    if (backoff) {
      ++this->count.retried;
      pending.busyOwners.clear();
      pending.step = Step::Backoff;
      pending.resumeAt = this->context.now + *backoff;
      return;
    }
  }
  this->refuse(id, 503,
               pending.attemptsThatRan > 0 ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun,
               base::Errc::Unavailable, "the upstream failed: " + result.reason);
}

void EntryRequests::answer(const std::string &id, const wire::ForwardResult &result) {
  http::Response response{result.status, {}, result.body};
  if (!result.contentType.empty())
    response.headers.emplace_back("content-type", result.contentType);
  response.headers.emplace_back("banyanrill-verdict", "ran");
  ++this->count.answered;
  this->closeClaim(this->requests.at(id), base::Verdict::Ran, response);
  this->finish(id, std::move(response));
}

void EntryRequests::replay(const std::string &id, const routing::RecordedOutcome &outcome) {
  ++this->count.replayed;
  if (outcome.verdict != base::Verdict::Ran || !outcome.bodyKept) {
    const bool ran = outcome.verdict == base::Verdict::Ran;
    const base::Error error{base::Errc::Unavailable, "Idempotency-Key",
                            ran ? "the request ran; its answer was too large to be kept"
                                : "the request may have run; its answer is not known"};
    this->finish(id, refusal(ran ? 409 : 503, outcome.verdict, error));
    return;
  }
  http::Response response{outcome.status, {}, outcome.body};
  if (!outcome.contentType.empty())
    response.headers.emplace_back("content-type", outcome.contentType);
  response.headers.emplace_back("banyanrill-verdict", "ran");
  response.headers.emplace_back("banyanrill-replayed", "true");
  this->finish(id, std::move(response));
}

void EntryRequests::refuse(const std::string &id, int status, base::Verdict verdict,
                           base::Errc code, const std::string &reason) {
  const Pending &pending = this->requests.at(id);
  base::logEvent(base::Event::RequestRefused, {{"request", id},
                                               {"service", pending.forward.service},
                                               {"verdict", std::string(base::toString(verdict))},
                                               {"reason", reason}});
  if (verdict == base::Verdict::DidNotRun)
    ++this->count.refusedDidNotRun;
  else
    ++this->count.refusedMayHaveRun;
  http::Response response =
      refusal(status, verdict, {code, "/v1/requests/" + pending.forward.team, reason});
  this->closeClaim(pending, verdict, response);
  this->finish(id, std::move(response));
}

void EntryRequests::finish(const std::string &id, http::Response response) {
  const auto found = this->requests.find(id);
  response.headers.emplace_back("banyanrill-request-id", id);
  if (!found->second.callerGone)
    this->context.respond(found->second.exchange, std::move(response));
  this->byExchange.erase(found->second.exchange);
  this->requests.erase(found);
}

void EntryRequests::closeClaim(const Pending &pending, base::Verdict verdict,
                               const http::Response &response) {
  if (!pending.claimGranted)
    return;
  const routing::ClaimHolder holder{this->context.self(), pending.forward.requestId};
  const auto ignore = [](ProposalEnd, const control::Result &) {};
  const base::TimePoint deadline = this->context.now + RecordTimeout;
  if (verdict == base::Verdict::DidNotRun) {
    this->proposals.submit(control::ReleaseClaim{pending.claimKey, holder}, this->lastLeader,
                           deadline, ignore);
    return;
  }
  routing::RecordedOutcome outcome;
  outcome.verdict = verdict;
  outcome.status = response.status;
  outcome.contentType = http::findHeader(response.headers, "content-type");
  outcome.body = response.body;
  this->proposals.submit(control::CompleteClaim{pending.claimKey, holder, outcome},
                         this->lastLeader, deadline, ignore);
}

void EntryRequests::refuseRequest(http::ExchangeId exchange, int status, const base::Error &error) {
  this->context.respond(exchange, refusal(status, base::Verdict::DidNotRun, error));
}

void EntryRequests::onDisconnect(http::ExchangeId exchange) {
  const auto found = this->byExchange.find(exchange);
  if (found == this->byExchange.end())
    return;
  // The request goes on: its outcome is recorded for the caller's resend.
  this->requests.at(found->second).callerGone = true;
}

void EntryRequests::onLoadDigest(base::DaemonId from, std::uint64_t incarnation,
                                 const wire::LoadReport &digest) {
  const Peer *peer = this->context.config.find(from);
  if (peer)
    this->selector.updateDigest(from, locationOf(*peer), incarnation, digest.sequence, digest.loads,
                                this->context.now);
}

void EntryRequests::tick(base::DaemonId leader) {
  if (leader != base::NoDaemon)
    this->lastLeader = leader;
  std::vector<std::string> due;
  for (const auto &[id, pending] : this->requests) {
    const bool late = this->context.now >= pending.deadline + AnswerGrace;
    const bool resumes =
        (pending.step == Step::WaitingForHolder || pending.step == Step::Backoff) &&
        this->context.now >= pending.resumeAt;
    if (late || resumes)
      due.push_back(id);
  }
  for (const std::string &id : due) {
    Pending &pending = this->requests.at(id);
    const bool late = this->context.now >= pending.deadline;
    if (pending.step == Step::Forwarded) {
      this->refuse(id, 504, base::Verdict::MayHaveRun, base::Errc::Unavailable,
                   "no answer before the deadline");
      continue;
    }
    if (pending.step == Step::WaitingForHolder && late) {
      this->refuse(id, 409, base::Verdict::MayHaveRun, base::Errc::Unavailable,
                   "another request with this key is in progress");
      continue;
    }
    if (pending.step == Step::WaitingForHolder) {
      this->claim(id, leader);
      continue;
    }
    if (pending.step == Step::Backoff)
      this->route(id);
  }
}

} // namespace banyanrill::daemon
