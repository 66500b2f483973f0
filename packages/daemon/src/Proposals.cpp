#include "banyanrill/daemon/Proposals.h"

#include <vector>

namespace banyanrill::daemon {

namespace {

/// A commit takes a few milliseconds within a region; a lost message costs one interval.
constexpr base::Duration ResendInterval = std::chrono::milliseconds(500);

/// Two daemons with outdated knowledge may name each other as leader.
constexpr base::Duration MinRedirectInterval = std::chrono::milliseconds(20);

/// Callers' requests and operators' changes are bounded by HTTP exchanges; this is the sum of both.
constexpr std::size_t MaxPending = 8192;

} // namespace

Proposals::Proposals(Context &sharedContext)
    : context(sharedContext), lastId(sharedContext.random.next()) {}

void Proposals::submit(control::Command command, base::DaemonId leader, base::TimePoint deadline,
                       Done done) {
  if (leader == base::NoDaemon || this->pending.size() >= MaxPending) {
    done(ProposalEnd::NeverSent, {});
    return;
  }
  const std::uint64_t id = ++this->lastId;
  Pending &added = this->pending[id];
  added = {std::move(command), deadline, {}, std::move(done)};
  this->send(id, added, leader);
}

void Proposals::onResult(const wire::ProposeResult &result) {
  const auto found = this->pending.find(result.proposal);
  if (found == this->pending.end())
    return;
  if (result.state != wire::ProposalState::Applied) {
    const bool hinted = result.leader != base::NoDaemon && result.leader != this->context.self();
    if (hinted && this->context.now - found->second.lastSent >= MinRedirectInterval)
      this->send(found->first, found->second, result.leader);
    return;
  }
  const Done done = std::move(found->second.done);
  this->pending.erase(found);
  done(ProposalEnd::Applied, result.result);
}

void Proposals::tick(base::DaemonId leader) {
  std::vector<Done> expired;
  for (auto next = this->pending.begin(); next != this->pending.end();) {
    auto &[id, proposal] = *next;
    if (this->context.now >= proposal.deadline) {
      expired.push_back(std::move(proposal.done));
      next = this->pending.erase(next);
      continue;
    }
    if (leader != base::NoDaemon && this->context.now - proposal.lastSent >= ResendInterval)
      this->send(id, proposal, leader);
    ++next;
  }
  for (const Done &done : expired)
    done(ProposalEnd::Unknown, {});
}

void Proposals::send(std::uint64_t id, Pending &proposal, base::DaemonId leader) {
  proposal.lastSent = this->context.now;
  this->context.send(leader, wire::Propose{id, proposal.command});
}

} // namespace banyanrill::daemon
