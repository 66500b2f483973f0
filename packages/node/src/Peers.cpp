// Messages between nodes: heartbeats, replica messages, forwarded requests and advisory calls. Each
// is one HTTP request with a time limit, so an unresponsive connection is closed and reopened.
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"
#include "banyanrill/http/Address.h"
#include "banyanrill/wire/PeerCodec.h"

#include <algorithm>

namespace banyanrill::node {

namespace {

constexpr const char *PeerPath = "/peer";

constexpr base::Duration HeartbeatTimeout = std::chrono::milliseconds(500);

/// Time without a leader between two log lines about the voters that are missing.
constexpr base::Duration MajorityLogInterval = std::chrono::seconds(2);

/// Time between two log lines about the members that lack much of the log.
constexpr base::Duration LagLogInterval = std::chrono::seconds(1);

} // namespace

void Node::State::onPeerRequest(http::ExchangeId exchange, const http::Request &request) {
  const base::Result<wire::PeerRequest> decoded = wire::decodePeerRequest(request.body);
  if (!decoded) {
    base::logEvent(base::Event::PeerMessageRejected, {{"message", decoded.error().message}});
    this->loop->respond(exchange, {400, {}, {}});
    return;
  }
  std::visit([&](const auto &typed) { this->answerPeer(exchange, typed); }, decoded.value());
}

void Node::State::respondPeer(http::ExchangeId exchange, const wire::PeerReply &reply) {
  this->loop->respond(exchange, {200, {}, wire::encode(reply)});
}

void Node::State::answerPeer(http::ExchangeId exchange,
                             const membership::PeerHeartbeat &heartbeat) {
  this->respondPeer(exchange, this->peerDirectory->onHeartbeat(heartbeat, this->now));
}

void Node::State::answerPeer(http::ExchangeId exchange, const wire::ReplicaMessages &messages) {
  if (this->group) {
    for (const consensus::Message &message : messages.messages) {
      this->group->step(message, this->now);
      // The replica names its last leader until its election timeout; only messages show contact.
      if (message.from == this->group->leader() && message.term == this->group->term())
        this->lastLeaderContact = this->now;
    }
  }
  this->respondPeer(exchange, wire::Acknowledgement());
}

void Node::State::answerPeer(http::ExchangeId exchange, const wire::ForwardedRequest &forwarded) {
  if (!this->group || !this->group->isLeader() || this->group->term() < forwarded.minimumTerm) {
    this->respondPeer(exchange, wire::ForwardedReply());
    return;
  }
  this->answer(forwarded.request, base::TimePoint::max(),
               [this, exchange, term = this->group->term()](jobs::Reply reply) {
                 this->respondPeer(exchange, wire::ForwardedReply{true, term, std::move(reply)});
               });
}

void Node::State::answerPeer(http::ExchangeId exchange, const wire::AdviceRequest &ask) {
  this->askAdvice(ask, [this, exchange](const jobs::AdviceAnswer &answer) {
    this->respondPeer(exchange, answer);
  });
}

void Node::State::callPeer(
    const std::string &address, const wire::PeerRequest &request, base::Duration timeout,
    std::function<void(base::Verdict, std::optional<wire::PeerReply>)> done) {
  this->postToPeer(address, wire::encode(request), timeout, std::move(done));
}

void Node::State::postToPeer(
    const std::string &address, std::string message, base::Duration timeout,
    std::function<void(base::Verdict, std::optional<wire::PeerReply>)> done) {
  const std::optional<http::Address> target = http::parseAddress(address);
  if (!target) {
    done(base::Verdict::DidNotRun, std::nullopt);
    return;
  }
  http::Call call;
  call.host = target->host;
  call.port = target->port;
  call.timeout = timeout;
  call.request.method = "POST";
  call.request.path = PeerPath;
  call.request.body = std::move(message);
  this->call(std::move(call), [this, done = std::move(done)](const http::CallResult &result) {
    std::optional<wire::PeerReply> reply;
    if (result.verdict == base::Verdict::Ran && result.response.status == 200) {
      base::Result<wire::PeerReply> decoded = wire::decodePeerReply(result.response.body);
      if (decoded)
        reply = std::move(decoded.value());
      else
        base::logEvent(base::Event::PeerMessageRejected, {{"message", decoded.error().message}});
    }
    if (!reply)
      ++this->metrics.peerCallsFailed;
    done(result.verdict, std::move(reply));
  });
}

void Node::State::sendHeartbeats() {
  for (const std::string &address : this->peerDirectory->takeDueAddresses(this->now)) {
    this->callPeer(address, this->peerDirectory->makeHeartbeat(), HeartbeatTimeout,
                   [this](base::Verdict /*verdict*/, std::optional<wire::PeerReply> answered) {
                     const auto *reply =
                         answered ? std::get_if<membership::PeerHeartbeatReply>(&*answered)
                                  : nullptr;
                     if (reply == nullptr)
                       return;
                     this->peerDirectory->onHeartbeatReply(*reply, this->now);
                     if (reply->leader == reply->responder.id) {
                       this->lastLeaderContact = this->now;
                       this->highestLeaderTerm = std::max(this->highestLeaderTerm, reply->term);
                     }
                     if (this->peerDirectory->isBootstrapping())
                       this->bootstrapGroup();
                   });
  }
}

void Node::State::sendReplicaMessages() {
  for (const base::DaemonId id : this->replicaSender.waitingPeers()) {
    if (this->peerDirectory->find(id) == nullptr)
      this->replicaSender.drop(id);
  }
  for (ReplicaCall &call : this->replicaSender.takeCalls()) {
    const std::string &address = this->peerDirectory->find(call.id.to)->address;
    this->callPeer(address, wire::ReplicaMessages{std::move(call.messages)}, call.timeout,
                   [this, id = call.id](base::Verdict /*verdict*/,
                                        const std::optional<wire::PeerReply> &reply) {
                     this->replicaSender.onCallEnded(id, reply.has_value());
                     if (!reply && id.traffic == ReplicaTraffic::Bulk && this->group)
                       this->group->onUndelivered(id.to);
                   });
  }
}

void Node::State::logLaggingMembers() {
  if (this->now < this->nextLagLog)
    return;
  this->nextLagLog = this->now + LagLogInterval;
  for (const consensus::PeerProgress &peer : this->group->laggingPeers()) {
    const auto found = this->replicaSender.counters().find(peer.id);
    const ReplicaCallCounters counted =
        found == this->replicaSender.counters().end() ? ReplicaCallCounters() : found->second;
    base::logEvent(base::Event::MemberLags,
                   {{"node", std::to_string(peer.id)},
                    {"match", std::to_string(peer.match)},
                    {"last_index", std::to_string(this->group->lastIndex())},
                    {"snapshot_bytes", std::to_string(peer.snapshotBytes)},
                    {"snapshot_sent", std::to_string(peer.snapshotOffset)},
                    {"repeats", std::to_string(peer.repeats)},
                    {"calls", std::to_string(counted.calls)},
                    {"failed_calls", std::to_string(counted.failures)},
                    {"bytes_sent", std::to_string(counted.bytes)}});
  }
}

jobs::Member Node::State::memberOf(base::DaemonId id) const {
  const membership::PeerRecord *peer = id == this->peerDirectory->self().id
                                           ? &this->peerDirectory->self()
                                           : this->peerDirectory->find(id);
  if (peer == nullptr)
    return {};
  return {id, peer->address, peer->region};
}

void Node::State::bootstrapGroup() {
  if (!this->group || !this->group->isBlank())
    return;
  const std::optional<std::vector<base::DaemonId>> agreed =
      this->peerDirectory->agreedBootstrapMembers(this->now);
  if (!agreed && this->peerDirectory->leader()) {
    // The group already exists; its leader adds this node as a learner.
    this->peerDirectory->endBootstrap({});
    this->group->join(this->now);
    return;
  }
  if (!agreed)
    return;
  std::vector<base::DaemonId> voters = *agreed;
  voters.resize(std::min(voters.size(), 2 * this->options.toleratedFailures + 1));
  this->peerDirectory->endBootstrap(*agreed);
  if (std::find(voters.begin(), voters.end(), this->group->self()) == voters.end()) {
    this->group->join(this->now); // The leader adds this node as a learner.
    return;
  }
  std::map<std::uint32_t, jobs::Member> members;
  for (const base::DaemonId id : voters)
    members.emplace(id, this->memberOf(id));
  this->group->found(voters, members, this->now);
  base::logEvent(base::Event::GroupFounded, {{"voters", std::to_string(voters.size())},
                                             {"known_disks", std::to_string(agreed->size())}});
}

void Node::State::logMissingMajority() {
  if (!this->group->isRunning() || this->group->leader() != base::NoDaemon ||
      this->now < this->nextMajorityLog)
    return;
  this->nextMajorityLog = this->now + MajorityLogInterval;
  std::vector<base::DaemonId> silent;
  std::vector<base::DaemonId> withoutAddress;
  std::size_t heard = 0;
  const std::vector<consensus::ReplicaId> voters = this->group->membership().voters;
  for (const consensus::ReplicaId id : voters) {
    if (this->peerDirectory->isLive(id, this->now, MajorityLogInterval)) {
      ++heard;
      continue;
    }
    (this->memberOf(id).address.empty() ? withoutAddress : silent).push_back(id);
  }
  if (heard > voters.size() / 2)
    return;
  base::logEvent(base::Event::NoMajorityHeard,
                 {{"voters", std::to_string(voters.size())},
                  {"heard", std::to_string(heard)},
                  {"silent", base::joined(silent)},
                  {"without_address", base::joined(withoutAddress)},
                  {"term", std::to_string(this->group->term())},
                  {"last_index", std::to_string(this->group->lastIndex())}});
}

void Node::State::updateKnownLeader() {
  if (!this->group->isRunning())
    return;
  for (const auto &[id, member] : this->group->table().state().members)
    this->peerDirectory->learnAddress(id, member.address, member.region);
  const base::DaemonId leader = this->group->leader();
  const bool isSelf = leader == this->group->self();
  if (leader != base::NoDaemon && (!isSelf || this->group->isLeader())) {
    this->peerDirectory->setLeader(leader, this->group->term());
    if (isSelf)
      this->lastLeaderContact = this->now; // Counts once this node has lost its leadership.
  }
}

void Node::State::changeMembership() {
  this->nextMembershipCheck = this->now + MembershipCheckInterval;
  GroupView view;
  view.membership = this->group->membership();
  view.caughtUpLearners = this->group->caughtUpLearners();
  view.self = this->group->self();
  view.wantedVoters = 2 * this->options.toleratedFailures + 1;
  view.leaderSince = this->leaderSince;
  const std::optional<MembershipChange> next =
      this->membershipPlanner.next(view, *this->peerDirectory, this->now);
  if (!next)
    return;
  const consensus::ProposeResult result =
      this->group->proposeMembership(next->membership, this->now);
  if (isUnderWay(result))
    this->nextMembershipCheck = this->now;
  if (result != consensus::ProposeResult::Accepted)
    return;
  base::logEvent(base::Event::MembershipProposed,
                 {{"node", std::to_string(next->node)},
                  {"reason", std::string(next->reason)},
                  {"voters", std::to_string(next->membership.voters.size())},
                  {"learners", std::to_string(next->membership.learners.size())},
                  {"term", std::to_string(this->group->term())}});
}

void Node::State::proposeMemberAddresses() {
  const consensus::Membership membership = this->group->membership();
  const std::map<std::uint32_t, jobs::Member> &named = this->group->table().state().members;
  for (const std::vector<consensus::ReplicaId> *ids : {&membership.voters, &membership.learners}) {
    for (const consensus::ReplicaId id : *ids) {
      const jobs::Member member = this->memberOf(id);
      const auto known = named.find(id);
      if (!member.address.empty() && (known == named.end() || known->second != member))
        this->group->propose(jobs::PutMember{member});
    }
  }
}

} // namespace banyanrill::node
