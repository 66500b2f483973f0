#include "banyanrill/node/Node.h"

#include "NodeState.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>
#include <ctime>
#include <random>

namespace banyanrill::node {

namespace {

/// The replica's timers need this; the leader's retries use it too.
constexpr base::Duration MemberTick = std::chrono::milliseconds(40);

/// Other nodes only greet and give up requests.
constexpr base::Duration PlainTick = std::chrono::milliseconds(100);

/// How often the leader looks after the group.
constexpr base::Duration StewardInterval = std::chrono::milliseconds(150);

/// Operators send configurations with thousands of queues.
constexpr std::size_t MaxBodyBytes = std::size_t(4) * 1024 * 1024;

/// Orders and answers that come within this time share one exchange with a relay.
constexpr base::Duration RelayInterval = std::chrono::milliseconds(15);

/// A gap between the clocks of this size is a suspension and not the scheduler.
constexpr std::int64_t SuspensionMs = 200;

std::uint64_t randomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t clockMs(clockid_t clock) {
  timespec time = {};
  clock_gettime(clock, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
}

std::string textOf(const http::Listener &listener) {
  return listener.address + ':' + std::to_string(listener.port);
}

} // namespace

std::int64_t Node::State::wallClockMs() { return clockMs(CLOCK_REALTIME); }

Node::State::State(NodeOptions nodeOptions, Dialect nodeDialect)
    : options(std::move(nodeOptions)), dialect(std::move(nodeDialect)), random(randomSeed()),
      now(base::steadyNow()), sleptMs(clockMs(CLOCK_BOOTTIME) - clockMs(CLOCK_MONOTONIC)) {}

base::Status Node::State::start() {
  membership::PeerDirectoryOptions roster;
  roster.self.id = static_cast<base::DaemonId>(this->random.next() | 1U);
  if (!this->options.dataFolder.empty()) {
    GroupHandlers handlers;
    handlers.send = [this](const consensus::Message &message) {
      this->outbox[message.to].push_back(message);
    };
    handlers.applied = [this](const jobs::CommandBatch &batch, const jobs::Effect &effect) {
      this->onApplied(batch, effect);
    };
    handlers.becameLeader = [this] { this->onBecameLeader(); };
    handlers.lostLeadership = [this] { this->onLostLeadership(); };
    handlers.runLater = [this](std::function<void()> function) {
      const std::lock_guard lock(this->closing);
      if (!this->closed)
        this->loop->run(std::move(function));
    };
    handlers.wake = [this] { this->scheduleWork(); };
    base::Result<std::unique_ptr<Group>> opened =
        Group::open(this->options.dataFolder, base::RandomSource(this->random.next()),
                    std::move(handlers), this->now);
    if (!opened)
      return opened.error();
    this->group = std::move(opened.value());
    roster.self.id = this->group->self();
  }
  roster.self.address =
      this->options.advertised.empty() ? textOf(this->options.peer) : this->options.advertised;
  if (this->options.control)
    roster.self.controlAddress = textOf(*this->options.control);
  roster.self.dataCentre = this->options.dataCentre;
  roster.self.region = this->options.region;
  roster.self.hasDisk = this->group != nullptr;
  roster.seeds = this->options.seeds;
  roster.canBootstrap =
      this->options.firstStart && this->group != nullptr && this->group->isBlank();
  roster.minimumBootstrapMembers = 2 * this->options.tolerated + 1;
  this->roster = std::make_unique<membership::PeerDirectory>(std::move(roster), this->now);
  if (this->group && this->group->isBlank() && !this->options.firstStart)
    this->group->join(this->now);

  http::LoopOptions loopOptions;
  loopOptions.listenAddress = this->options.peer.address;
  loopOptions.port = this->options.peer.port;
  loopOptions.maxBodyBytes = MaxBodyBytes;
  loopOptions.customHeaders = {"x-deadline-ms"};
  this->doors.push_back(Door::Peer);
  const auto addDoor = [&](const std::optional<http::Listener> &listener, Door door) {
    if (!listener)
      return;
    loopOptions.moreListeners.push_back(*listener);
    this->doors.push_back(door);
  };
  addDoor(this->options.control, Door::Control);
  addDoor(this->options.front, Door::Front);
  addDoor(this->options.ready, Door::Ready);
  addDoor(this->options.metrics, Door::Metrics);
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
  this->loopKnown.count_down();
  this->loop->run([this] { this->onWake(); });
  return std::monostate();
}

void Node::State::onRequest(http::ExchangeId exchange, const http::Request &request) {
  this->loopKnown.wait();
  this->now = base::steadyNow();
  this->scheduleWork();
  const Door door = this->doors.at(request.listener);
  switch (door) {
  case Door::Peer:
    this->onPeerRequest(exchange, request);
    return;
  case Door::Ready:
    this->loop->respond(exchange, {this->isReady() ? 200 : 503, {}, {}});
    return;
  case Door::Metrics:
    this->loop->respond(exchange, {200, {{"content-type", "text/plain"}}, this->metricsText()});
    return;
  case Door::Control:
  case Door::Front:
    this->serve(exchange, door, request);
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
  // Runs after the events that are there already, so that they share one log entry.
  this->loop->run([this] { this->work(); });
}

void Node::State::work() {
  this->workScheduled = false;
  this->now = base::steadyNow();
  const std::int64_t wallClock = wallClockMs();
  if (this->group) {
    this->group->work(this->now, wallClock);
    if (this->dispatcher) {
      std::vector<jobs::Action> actions = this->dispatcher->takeActions(this->now, wallClock);
      for (jobs::Action &action : actions)
        this->carryOut(std::move(action));
      this->group->work(this->now, wallClock);
    }
    this->followGroup();
  }
  this->sendReplicaMessages();
  this->relay();
}

void Node::State::relay() {
  const bool waiting = !this->answers.answers.answers.empty() ||
                       std::any_of(this->relays.begin(), this->relays.end(),
                                   [](const auto &entry) { return !entry.second.orders.empty(); });
  if (!waiting)
    return;
  if (this->now >= this->nextRelay) {
    this->nextRelay = this->now + RelayInterval;
    this->sendRelayed();
    this->sendAnswers();
  }
  this->loop->wakeAt(std::min(this->nextWake, this->nextRelay));
}

void Node::State::noticeSuspension() {
  const std::int64_t slept = clockMs(CLOCK_BOOTTIME) - clockMs(CLOCK_MONOTONIC);
  if (slept - this->sleptMs >= SuspensionMs) {
    base::logEvent(base::Event::MachineWasSuspended,
                   {{"ms", std::to_string(slept - this->sleptMs)}});
    this->lastContact.reset();
    if (const auto leader = this->roster->leader(); leader && leader->id != this->roster->self().id)
      this->roster->suspectLeader(leader->id);
  }
  this->sleptMs = slept;
}

void Node::State::logLeader() {
  const std::optional<membership::KnownLeader> leader = this->roster->leader();
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
  this->noticeSuspension();
  this->logLeader();
  if (this->group) {
    this->group->tick(this->now);
    if (this->roster->isBootstrapping())
      this->foundGroup();
    if (this->group->leads() && this->now >= this->nextSteward) {
      this->nextSteward = this->now + StewardInterval;
      const std::size_t voters = std::max<std::size_t>(2 * this->options.tolerated + 1, 1);
      const std::optional<consensus::Membership> next = this->steward.next(
          this->group->membership(), *this->roster, this->group->self(), voters, this->now);
      if (next &&
          this->group->proposeMembership(*next, this->now) == consensus::ProposeResult::Accepted)
        base::logEvent(base::Event::MembershipProposed,
                       {{"voters", std::to_string(next->voters.size())},
                        {"learners", std::to_string(next->learners.size())},
                        {"term", std::to_string(this->group->term())}});
      this->updateAdvisers();
      this->nameMembers();
    }
  }
  this->greet();
  this->retryOpen();
  this->expireRelayed();
  if (this->draining) {
    this->drained = this->open.empty();
    // The message that passes leadership on may be lost.
    if (this->group && this->group->leads())
      this->group->transferLeadership(this->now);
  }
  this->scheduleWork();
  base::flushEventLog();
  this->nextWake = this->now + (this->group ? MemberTick : PlainTick);
  this->loop->wakeAt(this->nextWake);
}

Node::Node(std::unique_ptr<State> owned) : state(std::move(owned)) {}

Node::~Node() {
  {
    const std::lock_guard lock(this->state->closing);
    this->state->closed = true;
  }
  this->state->ownedLoop.reset();
}

base::Result<std::unique_ptr<Node>> Node::start(NodeOptions options, Dialect dialect) {
  auto state = std::make_unique<State>(std::move(options), std::move(dialect));
  const base::Status opened = state->start();
  if (!opened)
    return opened.error();
  return std::unique_ptr<Node>(new Node(std::move(state)));
}

void Node::reload(NodeOptions options) {
  State *target = this->state.get();
  target->loop->run([target, changed = std::move(options)]() mutable {
    target->roster->setSeeds(changed.seeds);
    target->options.seeds = std::move(changed.seeds);
  });
}

void Node::drain() {
  State *target = this->state.get();
  target->loop->run([target] {
    target->draining = true;
    target->loop->closeAfterAnswers();
    target->roster->setStopping();
    if (target->group)
      target->group->transferLeadership(base::steadyNow());
    target->scheduleWork();
  });
}

void Node::refuse() { this->state->loop->drain(); }

bool Node::isDrained() const { return this->state->drained.load(); }

} // namespace banyanrill::node
