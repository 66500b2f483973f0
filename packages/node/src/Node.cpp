#include "banyanrill/node/Node.h"

#include "ListenerLimits.h"
#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace banyanrill::node {

namespace {

/// Tick of a node with a disk: short enough for the replica's timers; also drives the leader's
/// retries.
constexpr base::Duration TickWithDisk = std::chrono::milliseconds(40);

/// Tick of a node without a disk, which only sends heartbeats, and retries and expires requests.
constexpr base::Duration TickWithoutDisk = std::chrono::milliseconds(100);

/// How often the leader looks for new addresses of members and for nodes that may ask for advice.
constexpr base::Duration MemberUpdateInterval = std::chrono::milliseconds(150);

/// Orders and answers within this interval are batched into one call to a relay.
constexpr base::Duration RelayInterval = std::chrono::milliseconds(15);

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t clockMs(clockid_t clock) {
  timespec time = {};
  clock_gettime(clock, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

/// Time that the machine has been suspended, which the steady clock does not count.
std::int64_t totalSuspensionMs() { return clockMs(CLOCK_BOOTTIME) - clockMs(CLOCK_MONOTONIC); }

std::string textOf(const http::Listener &listener) {
  return listener.address + ':' + std::to_string(listener.port);
}

} // namespace

std::int64_t Node::State::wallClockMs() { return clockMs(CLOCK_REALTIME); }

base::Duration Node::State::sinceBoot() {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_nsec / 1000);
}

Node::State::State(NodeOptions nodeOptions, ProtocolAdapter protocolAdapter)
    : options(std::move(nodeOptions)), adapter(std::move(protocolAdapter)), random(randomSeed()),
      now(base::steadyNow()), aloneSince(now), suspendedMs(totalSuspensionMs()),
      callers(this->options.authorityMaxAge()) {}

base::Status Node::State::start() {
  membership::PeerDirectoryOptions directoryOptions;
  directoryOptions.self.id = static_cast<base::DaemonId>(this->random.next() | 1U);
  if (!this->options.dataFolder.empty()) {
    GroupHandlers handlers;
    handlers.send = [this](const consensus::Message &message) {
      this->replicaSender.enqueue(message);
    };
    handlers.applied = [this](const jobs::CommandBatch &batch, const jobs::Effect &effect) {
      this->onApplied(batch, effect);
    };
    handlers.becameLeader = [this] { this->onBecameLeader(); };
    handlers.lostLeadership = [this] { this->onLostLeadership(); };
    handlers.runLater = [this](std::function<void()> function) {
      this->loopAssigned.wait();
      const std::lock_guard lock(this->closeMutex);
      if (!this->closed)
        this->loop->run(std::move(function));
    };
    handlers.wake = [this] { this->scheduleWork(); };
    handlers.reopened = [this] { this->onDiskReopened(); };
    base::Result<std::unique_ptr<Group>> opened =
        Group::open(this->options.dataFolder, base::RandomSource(this->random.next()),
                    std::move(handlers), this->now);
    if (!opened)
      return opened.error();
    this->group = std::move(opened.value());
    directoryOptions.self.id = this->group->self();
  }
  directoryOptions.self.address = this->options.advertisedAddress.empty()
                                      ? textOf(this->options.peer)
                                      : this->options.advertisedAddress;
  if (this->options.control)
    directoryOptions.self.controlAddress = textOf(*this->options.control);
  directoryOptions.self.dataCentre = this->options.dataCentre;
  directoryOptions.self.region = this->options.region;
  directoryOptions.self.hasDisk = this->group != nullptr && this->group->offersDisk(this->now);
  directoryOptions.seeds = this->options.seeds;
  directoryOptions.canBootstrap = this->options.firstStart && this->group != nullptr &&
                                  (this->group->isBlank() || !this->group->isOpen());
  directoryOptions.minimumBootstrapMembers = 2 * this->options.toleratedFailures + 1;
  this->peerDirectory =
      std::make_unique<membership::PeerDirectory>(std::move(directoryOptions), this->now);
  if (this->group && this->group->isBlank() && !this->options.firstStart)
    this->group->join(this->now);

  http::LoopOptions loopOptions;
  loopOptions.listenAddress = this->options.peer.address;
  loopOptions.port = this->options.peer.port;
  const auto limitsOf = [this](ListenerKind kind) {
    return receiveLimitsOf(kind, this->options.memoryBytes, this->options.descriptors);
  };
  loopOptions.maxBodyBytes = maxBodyBytesOf(ListenerKind::Peer);
  loopOptions.receive = limitsOf(ListenerKind::Peer);
  loopOptions.customHeaders = {"x-deadline-ms"};
  this->listenerKinds.push_back(ListenerKind::Peer);
  const auto addListener = [&](const std::optional<http::Listener> &listener, ListenerKind kind) {
    if (!listener)
      return;
    loopOptions.moreListeners.push_back(*listener);
    loopOptions.moreListeners.back().maxBodyBytes = maxBodyBytesOf(kind);
    loopOptions.moreListeners.back().receive = limitsOf(kind);
    this->listenerKinds.push_back(kind);
  };
  addListener(this->options.control, ListenerKind::Control);
  addListener(this->options.front, ListenerKind::Front);
  addListener(this->options.ready, ListenerKind::Ready);
  addListener(this->options.metrics, ListenerKind::Metrics);
  http::LoopHandlers handlers;
  handlers.onRequest = [this](http::ExchangeId exchange, const http::Request &request) {
    this->onRequest(exchange, request);
  };
  handlers.onCallResult = [this](http::CallId id, http::CallResult result) {
    this->onCallResult(id, std::move(result));
  };
  handlers.onWake = [this] { this->onWake(); };
  base::Result<std::unique_ptr<http::Loop>> started =
      http::Loop::start(std::move(loopOptions), std::move(handlers));
  if (!started)
    return started.error();
  this->ownedLoop = std::move(started.value());
  this->loop = this->ownedLoop.get();
  this->loopAssigned.count_down();
  this->loop->run([this] { this->onWake(); });
  return std::monostate();
}

void Node::State::onRequest(http::ExchangeId exchange, const http::Request &request) {
  this->loopAssigned.wait();
  this->now = base::steadyNow();
  this->scheduleWork();
  const ListenerKind kind = this->listenerKinds.at(request.listener);
  switch (kind) {
  case ListenerKind::Peer:
    this->onPeerRequest(exchange, request);
    return;
  case ListenerKind::Ready:
    this->loop->respond(exchange, {this->isReady() ? 200 : 503, {}, {}});
    return;
  case ListenerKind::Metrics:
    this->loop->respond(exchange, {200, {{"content-type", "text/plain"}}, this->metricsText()});
    return;
  case ListenerKind::Control:
  case ListenerKind::Front:
    this->serve(exchange, kind, request);
    return;
  }
}

void Node::State::call(http::Call call, std::function<void(http::CallResult)> done) {
  const http::CallId id = this->loop->call(std::move(call));
  this->calls.emplace(id, std::move(done));
}

void Node::State::onCallResult(http::CallId id, http::CallResult result) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end())
    return;
  const std::function<void(http::CallResult)> done = std::move(found->second);
  this->calls.erase(found);
  this->now = base::steadyNow();
  this->scheduleWork();
  done(std::move(result));
}

void Node::State::scheduleWork() {
  if (std::exchange(this->workScheduled, true) || this->loop == nullptr)
    return;
  // Runs after the events already queued, so that their commands share one log entry.
  this->loop->run([this] { this->work(); });
}

void Node::State::work() {
  this->workScheduled = false;
  this->now = base::steadyNow();
  const std::int64_t wallClock = wallClockMs();
  if (this->group) {
    this->group->work(this->now, wallClock);
    if (this->dispatcher && this->mayGiveOrders()) {
      std::vector<jobs::Action> actions = this->dispatcher->takeActions(this->now, wallClock);
      for (jobs::Action &action : actions)
        this->execute(std::move(action));
      this->logWorkers();
      this->logGangs();
      this->logLimits();
      this->logLoad();
      this->group->work(this->now, wallClock);
    }
    this->updateKnownLeader();
  }
  this->sendReplicaMessages();
  this->relay();
}

void Node::State::onDiskReopened() {
  this->now = base::steadyNow();
  if (this->group->isBlank() && !this->peerDirectory->isBootstrapping())
    this->group->join(this->now);
  else if (!this->group->isBlank() && this->peerDirectory->isBootstrapping())
    this->peerDirectory->endBootstrap({});
}

void Node::State::relay() {
  const bool waiting = !this->answers.answers.answers.empty() ||
                       std::any_of(this->relays.begin(), this->relays.end(),
                                   [](const auto &entry) { return !entry.second.empty(); });
  if (!waiting)
    return;
  if (this->now >= this->nextRelay) {
    this->nextRelay = this->now + RelayInterval;
    this->sendRelayed();
    this->sendAnswers();
  }
  this->loop->wakeAt(std::min(this->nextWake, this->nextRelay));
}

bool Node::State::mayGiveOrders() {
  if (this->pauseGuard.mayGiveOrders(this->now, totalSuspensionMs()))
    return true;
  if (std::exchange(this->confirmingLeadership, true))
    return false;
  base::logEvent(base::Event::LeaderWasPaused, {{"term", std::to_string(this->group->term())}});
  this->group->confirmLeadership(
      [this, pause = this->pauseGuard.pauseCount()](bool confirmed) {
        this->confirmingLeadership = false;
        if (!confirmed)
          return; // Asked again with the next tick, if this node still leads then.
        this->pauseGuard.onLeadershipConfirmed(pause);
        this->scheduleWork();
      },
      this->now);
  return false;
}

void Node::State::detectSuspension() {
  const std::int64_t slept = totalSuspensionMs();
  if (slept - this->suspendedMs >= PauseGuard::MinSuspensionMs) {
    base::logEvent(base::Event::MachineWasSuspended,
                   {{"ms", std::to_string(slept - this->suspendedMs)}});
    this->lastLeaderContact.reset();
    this->aloneSince = this->now;
    if (const auto leader = this->peerDirectory->leader();
        leader && leader->id != this->peerDirectory->self().id)
      this->peerDirectory->suspectLeader(leader->id);
  }
  this->suspendedMs = slept;
}

void Node::State::logLeader() {
  const std::optional<membership::KnownLeader> leader = this->peerDirectory->leader();
  const bool isSame = leader.has_value() == this->loggedLeader.has_value() &&
                      (!leader || leader->term == this->loggedLeader->term);
  if (isSame)
    return;
  if (leader)
    base::logEvent(base::Event::LeaderKnown, {{"leader", std::to_string(leader->id)},
                                              {"term", std::to_string(leader->term)},
                                              {"address", leader->address}});
  else
    base::logEvent(base::Event::LeaderUnknown,
                   {{"former", std::to_string(this->loggedLeader->id)},
                    {"term", std::to_string(this->loggedLeader->term)}});
  this->loggedLeader = leader;
}

void Node::State::onWake() {
  this->now = base::steadyNow();
  if (this->now < this->nextWake) {
    this->relay();
    this->loop->wakeAt(this->nextWake);
    return;
  }
  // First of all, since a failure below must not end the ticks.
  this->nextWake = this->now + (this->group ? TickWithDisk : TickWithoutDisk);
  this->loop->wakeAt(this->nextWake);
  this->detectSuspension();
  this->logLeader();
  if (this->group) {
    this->group->tick(this->now);
    this->peerDirectory->setHasDisk(this->group->offersDisk(this->now));
    if (this->peerDirectory->isBootstrapping())
      this->bootstrapGroup();
    this->logMissingMajority();
    if (this->group->isLeader())
      this->logLaggingMembers();
    if (this->group->isLeader() && this->now >= this->nextMembershipCheck)
      this->changeMembership();
    if (this->group->isLeader() && this->now >= this->nextMemberUpdate) {
      this->nextMemberUpdate = this->now + MemberUpdateInterval;
      this->updateAdvisers();
      this->proposeMemberAddresses();
    }
  }
  this->watchOutage();
  this->sendHeartbeats();
  if (this->group)
    this->keepAuthority(); // Before `retryOpen`, which answers requests that still wait as in
                           // doubt.
  this->retryOpen();
  this->expireRelayed();
  if (this->draining) {
    this->drained = this->open.empty();
    // Repeated because the transfer message may be lost.
    if (this->group && this->group->isLeader())
      this->group->transferLeadership(this->now);
  }
  this->scheduleWork();
  base::flushEventLog();
}

Node::Node(std::unique_ptr<State> owned) : state(std::move(owned)) {}

Node::~Node() {
  {
    const std::lock_guard lock(this->state->closeMutex);
    this->state->closed = true;
  }
  this->state->ownedLoop.reset();
}

base::Result<std::unique_ptr<Node>> Node::start(NodeOptions options, ProtocolAdapter adapter) {
  auto state = std::make_unique<State>(std::move(options), std::move(adapter));
  const base::Status opened = state->start();
  if (!opened) {
    {
      const std::lock_guard lock(state->closeMutex);
      state->closed = true;
    }
    state->loopAssigned.count_down(); // The storage thread may wait for it.
    return opened.error();
  }
  return std::unique_ptr<Node>(new Node(std::move(state)));
}

void Node::reload(NodeOptions options) {
  State *target = this->state.get();
  target->loop->run([target, changed = std::move(options)]() mutable {
    target->peerDirectory->setSeeds(changed.seeds);
    target->options.seeds = std::move(changed.seeds);
  });
}

void Node::drain() {
  State *target = this->state.get();
  target->loop->run([target] {
    target->draining = true;
    target->loop->closeAfterAnswers();
    target->peerDirectory->setStopping();
    if (target->group)
      target->group->transferLeadership(base::steadyNow());
    target->scheduleWork();
  });
}

void Node::refuseNewRequests() { this->state->loop->drain(); }

bool Node::isDrained() const { return this->state->drained.load(); }

} // namespace banyanrill::node
