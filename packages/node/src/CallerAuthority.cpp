// The leader's check of callers' keys, and the confirmation rounds that bound how long a former
// leader accepts a withdrawn key.
#include "CallerAuthority.h"

#include "MetricLabel.h"
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>
#include <sstream>

namespace banyanrill::node {

namespace {

/// A request that waits longer for a round is given back to its node, which asks again. Less than
/// the time after which that node suspects a silent leader.
constexpr base::Duration MaxAuthorityWait = std::chrono::milliseconds(250);

/// Between the beginnings of two rounds, so that a flood of wrong keys does not become a flood of
/// messages in the group. Waiting requests begin the next one with the node's next tick.
constexpr base::Duration MinRoundInterval = std::chrono::milliseconds(40);

/// Rounds go on for this long after the last request with a key, so that rare requests need not
/// wait either.
constexpr base::Duration AuthorityIdleTime = std::chrono::seconds(10);

/// Requests that wait for a round; further ones are given back at once.
constexpr std::size_t MaxAuthorityWaiters = 4096;

/// Label of the workspaces that have no metrics of their own.
constexpr const char *OtherWorkspaces = "(others)";

/// Between two log lines about refusals of one kind.
constexpr base::Duration RefusalLogInterval = std::chrono::seconds(1);

/// Log lines about keys that one change of the configuration withdraws.
constexpr std::size_t MaxWithdrawnLines = 32;

jobs::Reply refusalOf(CallerRefusal kind) {
  jobs::Reply reply;
  switch (kind) {
  case CallerRefusal::KeyAbsent:
    reply.code = jobs::ReplyCode::Unauthorized;
    reply.message = "the request needs a key";
    break;
  case CallerRefusal::KeyUnknown:
    reply.code = jobs::ReplyCode::Unauthorized;
    reply.message = "the key is unknown";
    break;
  case CallerRefusal::ForeignJob:
    reply.code = jobs::ReplyCode::Forbidden;
    reply.message = "the job belongs to another workspace";
    break;
  case CallerRefusal::Unconfirmed:
    reply.code = jobs::ReplyCode::Unconfirmed;
    reply.message = "the leader could not confirm its leadership";
    break;
  }
  return reply;
}

std::optional<CallerRefusal> refusalFor(const jobs::Access &access, const jobs::Job *job) {
  if (access.isRefused())
    return access.kind == jobs::AccessKind::KeyAbsent ? CallerRefusal::KeyAbsent
                                                      : CallerRefusal::KeyUnknown;
  if (job == nullptr)
    return std::nullopt;
  switch (jobs::ownershipOf(*job, access)) {
  case jobs::Ownership::Allowed:
    return std::nullopt;
  case jobs::Ownership::NeedsKey:
    return CallerRefusal::KeyAbsent;
  case jobs::Ownership::Foreign:
    return CallerRefusal::ForeignJob;
  }
  return std::nullopt;
}

} // namespace

WorkspaceCounters &CallerAuthority::countersOf(const std::string &workspace) {
  const auto found = this->workspaces.find(workspace);
  if (found != this->workspaces.end())
    return found->second;
  return this
      ->workspaces[this->workspaces.size() < MaxLabelledWorkspaces ? workspace : OtherWorkspaces];
}

std::string CallerAuthority::metricsText() const {
  std::ostringstream text;
  for (const auto &[name, counters] : this->workspaces) {
    const std::string label = "{workspace=\"" + escapeLabelValue(name) + "\"} ";
    text << "banyanrill_workspace_requests_total" << label << counters.served << '\n'
         << "banyanrill_workspace_foreign_total" << label << counters.foreign << '\n';
  }
  for (std::size_t kind = 0; kind < this->refusals.size(); ++kind) {
    if (this->refusals.at(kind).total != 0)
      text << "banyanrill_callers_refused_total{reason=\"" << CallerRefusalNames.at(kind) << "\"} "
           << this->refusals.at(kind).total << '\n';
  }
  return text.str();
}

const jobs::KeyTable &Node::State::callerKeys() {
  const std::optional<jobs::Configuration> &configuration =
      this->group->table().state().configuration;
  if (!configuration || this->callers.keys.version() == configuration->version)
    return this->callers.keys;
  const jobs::KeyTable former = std::exchange(this->callers.keys, jobs::KeyTable(*configuration));
  const std::vector<jobs::WithdrawnKey> withdrawn = this->callers.keys.withdrawnSince(former);
  for (std::size_t index = 0; index < withdrawn.size() && index < MaxWithdrawnLines; ++index)
    base::logEvent(base::Event::KeyWithdrawn, {{"key_digest", withdrawn[index].digest},
                                               {"workspace", withdrawn[index].workspace},
                                               {"version", std::to_string(configuration->version)},
                                               {"of", std::to_string(withdrawn.size())}});
  return this->callers.keys;
}

template <CallerRequest Request>
void Node::State::checkCaller(const Request &request, const ReplyTo &reply,
                              base::TimePoint deadline) {
  if (!this->callerKeys().isRestricted()) {
    this->answerTyped(request, jobs::Access(), reply);
    return;
  }
  this->checkKey(
      request, reply,
      {this->callers.age.roundsBegun(), std::min(deadline, this->now + MaxAuthorityWait)});
}

template <CallerRequest Request>
void Node::State::checkKey(const Request &request, const ReplyTo &reply, CallerCheck check) {
  const jobs::Table &table = this->group->table();
  std::string id;
  const jobs::Queue *queue = table.findQueue(request.host, request.path, id);
  const jobs::Access access = this->callerKeys().check(queue, request.key);
  const jobs::Job *job = queue == nullptr || id.empty() ? nullptr : table.findJob(id);
  const auto waitAndCheckAgain = [&] {
    this->awaitAuthority(check.latest, [this, request, reply, check](bool confirmed) {
      if (confirmed) {
        this->checkKey(request, reply, check);
        return;
      }
      this->noteRefusal(CallerRefusal::Unconfirmed, {});
      reply(refusalOf(CallerRefusal::Unconfirmed));
    });
  };
  if (const std::optional<CallerRefusal> refusal = refusalFor(access, job)) {
    // A former leader must not refuse a key, or a job, that is newer than its table.
    if (!this->callers.age.hasConfirmedRoundAfter(check.roundsAtArrival)) {
      waitAndCheckAgain();
      return;
    }
    if (*refusal == CallerRefusal::ForeignJob)
      ++this->callers.countersOf(access.workspace).foreign;
    this->noteRefusal(*refusal, request.key);
    reply(refusalOf(*refusal));
    return;
  }
  if (!request.key.empty()) {
    this->callers.lastRequest = this->now;
    const Authority authority = this->callers.age.check(sinceBoot());
    if (authority == Authority::ConfirmFirst) {
      waitAndCheckAgain();
      return;
    }
    if (authority == Authority::BeginRound)
      this->beginAuthorityRound();
  }
  if (access.kind == jobs::AccessKind::Member)
    ++this->callers.countersOf(access.workspace).served;
  this->answerTyped(request, access, reply);
}

template void Node::State::checkCaller(const jobs::SubmitRequest &, const ReplyTo &,
                                       base::TimePoint);
template void Node::State::checkCaller(const jobs::StateRequest &, const ReplyTo &,
                                       base::TimePoint);
template void Node::State::checkCaller(const jobs::CancelRequest &, const ReplyTo &,
                                       base::TimePoint);

void Node::State::proposeForCaller(jobs::Command command, const jobs::Access &access,
                                   const std::string &submitted, ReplyTo reply) {
  this->group->propose(std::move(command), [this, access, submitted, proposed = sinceBoot(),
                                            reply = std::move(reply)](ProposalOutcome outcome) {
    if (outcome != ProposalOutcome::Applied) {
      jobs::Reply undecided = refusalOf(CallerRefusal::Unconfirmed);
      if (outcome == ProposalOutcome::InDoubt) {
        undecided.code = jobs::ReplyCode::InDoubt;
        undecided.message = "the leader lost leadership";
      }
      reply(std::move(undecided));
      return;
    }
    // The entry is committed in this leader's own term, so a majority accepted it after it was
    // proposed: this node still led then, and the key was valid by a table that lacked nothing.
    this->callers.age.onProof(proposed);
    const jobs::Job *job = submitted.empty() ? nullptr : this->group->table().findJob(submitted);
    // Another workspace's submission under the same identifier was earlier in the log.
    if (const std::optional<CallerRefusal> refusal = refusalFor(access, job)) {
      this->noteRefusal(*refusal, {});
      reply(refusalOf(*refusal));
      return;
    }
    if (this->callers.age.check(sinceBoot()) != Authority::ConfirmFirst) {
      reply({});
      return;
    }
    // The entry took longer than the proof may be old, or this node stood still.
    this->awaitAuthority(this->now + MaxAuthorityWait, [reply](bool confirmed) {
      jobs::Reply late;
      if (!confirmed) {
        late.code = jobs::ReplyCode::InDoubt;
        late.message = "the leader could not confirm its leadership after it acted";
      }
      reply(std::move(late));
    });
  });
}

void Node::State::awaitAuthority(base::TimePoint latest,
                                 std::function<void(bool confirmed)> proceed) {
  if (this->now >= latest || this->callers.waiters.size() >= MaxAuthorityWaiters) {
    proceed(false);
    return;
  }
  this->callers.waiters.push_back({latest, std::move(proceed)});
  this->beginAuthorityRound();
}

void Node::State::beginAuthorityRound() {
  if (this->callers.age.isRoundOpen() || this->now < this->callers.nextRound)
    return;
  this->callers.nextRound = this->now + MinRoundInterval;
  const std::uint64_t round = this->callers.age.beginRound(sinceBoot());
  this->group->confirmLeadership(
      [this, round](bool confirmed) {
        if (!this->callers.age.endRound(round, confirmed))
          return;
        for (const AuthorityWaiter &waiter : std::exchange(this->callers.waiters, {}))
          waiter.proceed(confirmed);
      },
      this->now);
}

void Node::State::keepAuthority() {
  std::vector<AuthorityWaiter> expired;
  std::vector<AuthorityWaiter> waiting;
  for (AuthorityWaiter &waiter : std::exchange(this->callers.waiters, {}))
    (waiter.latest <= this->now ? expired : waiting).push_back(std::move(waiter));
  this->callers.waiters = std::move(waiting);
  for (const AuthorityWaiter &waiter : expired)
    waiter.proceed(false);
  const bool isInUse = this->callers.lastRequest != base::TimePoint::min() &&
                       this->now - this->callers.lastRequest < AuthorityIdleTime;
  const bool isDue = isInUse && this->callers.age.check(sinceBoot()) != Authority::Allowed;
  if (this->group->isLeader() && (isDue || !this->callers.waiters.empty()))
    this->beginAuthorityRound();
}

void Node::State::resetAuthority() {
  this->callers.age.reset();
  this->callers.nextRound = base::TimePoint::min();
  for (const AuthorityWaiter &waiter : std::exchange(this->callers.waiters, {}))
    waiter.proceed(false);
}

void Node::State::noteRefusal(CallerRefusal kind, const std::string &key) {
  const auto index = static_cast<std::size_t>(kind);
  RefusalCounter &counter = this->callers.refusals.at(index);
  ++counter.total;
  if (this->now < counter.nextLog)
    return;
  counter.nextLog = this->now + RefusalLogInterval;
  const std::uint64_t count = counter.total - std::exchange(counter.logged, counter.total);
  base::logEvent(base::Event::CallersRefused,
                 {{"reason", std::string(CallerRefusalNames.at(index))},
                  {"count", std::to_string(count)},
                  {"last_key_digest", key.empty() ? std::string() : jobs::shortDigest(key)}});
}

} // namespace banyanrill::node
