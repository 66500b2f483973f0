#include "banyanrill/daemon/Follower.h"

#include <algorithm>
#include <vector>

namespace banyanrill::daemon {

namespace {

constexpr base::Duration FollowInterval = std::chrono::seconds(1);

/// Three lost answers; another replica then has 10 s left of the 13 s for a change to be in force.
constexpr base::Duration ReplicaTimeout = std::chrono::seconds(3);

/// A subscription outlives a few lost renewals.
constexpr base::Duration SubscriptionTime = std::chrono::seconds(5);

/// Order in which a daemon tries replicas: same data centre, same region, other regions.
int distance(const Peer &from, const Peer &to) {
  if (from.dataCentre == to.dataCentre)
    return 0;
  return from.region == to.region ? 1 : 2;
}

} // namespace

Follower::Follower(Context &sharedContext) : context(sharedContext) { this->chooseReplica(); }

void Follower::onFeed(base::DaemonId from, const wire::SettingsUpdate &feed) {
  if (from != this->replica)
    return;
  // A replica without contact to a leader answers, but is no proof that the settings are current.
  if (feed.leader != base::NoDaemon) {
    this->lastFed = this->context.now;
    this->knownLeader = feed.leader;
  }
  if (feed.values) {
    this->tree.followSnapshot(feed.to, *feed.values);
    return;
  }
  if (feed.from <= this->tree.revision() && feed.to > this->tree.revision())
    this->tree.follow(feed.to, feed.changes);
}

void Follower::tick() {
  const base::TimePoint now = this->context.now;
  if (now - std::max(this->lastFed, this->chosenAt) >= ReplicaTimeout)
    this->chooseReplica();
  if (now - this->lastAsked < FollowInterval)
    return;
  this->lastAsked = now;
  this->context.send(this->replica, wire::SettingsSubscription{this->tree.revision()});
}

base::DaemonId Follower::leader() const {
  return this->context.now - this->lastFed < ReplicaTimeout ? this->knownLeader : base::NoDaemon;
}

void Follower::chooseReplica() {
  const Peer &self = this->context.config.self();
  std::vector<const Peer *> replicas;
  for (const Peer &peer : this->context.config.peers) {
    if (peer.replica)
      replicas.push_back(&peer);
  }
  // Daemons of one data centre start at different replicas, so that the load is spread.
  const auto rank = [&self](const Peer *peer) {
    return std::pair(distance(self, *peer), (peer->daemon + self.daemon) % 8);
  };
  std::sort(replicas.begin(), replicas.end(),
            [&rank](const Peer *a, const Peer *b) { return rank(a) < rank(b); });
  this->replica = replicas[this->tried++ % replicas.size()]->daemon;
  this->chosenAt = this->context.now;
  this->lastAsked = {};
}

FeedServer::FeedServer(Context &sharedContext) : context(sharedContext) {}

void FeedServer::onFollow(base::DaemonId from, const wire::SettingsSubscription &follow,
                          const settings::Tree &tree, base::DaemonId leader) {
  Subscriber &subscriber = this->subscribers[from];
  subscriber.revision = follow.revision;
  subscriber.until = this->context.now + SubscriptionTime;
  this->feed(from, subscriber, tree, leader);
}

void FeedServer::push(const settings::Tree &tree, base::DaemonId leader) {
  for (auto next = this->subscribers.begin(); next != this->subscribers.end();) {
    auto &[daemon, subscriber] = *next;
    if (this->context.now >= subscriber.until) {
      next = this->subscribers.erase(next);
      continue;
    }
    if (subscriber.revision < tree.revision())
      this->feed(daemon, subscriber, tree, leader);
    ++next;
  }
}

void FeedServer::feed(base::DaemonId to, Subscriber &subscriber, const settings::Tree &tree,
                      base::DaemonId leader) {
  wire::SettingsUpdate feed;
  feed.from = subscriber.revision;
  feed.to = std::max(tree.revision(), subscriber.revision);
  feed.leader = leader;
  if (subscriber.revision < tree.revision()) {
    std::optional<std::vector<settings::Applied>> changes = tree.changesSince(subscriber.revision);
    if (changes)
      feed.changes = std::move(*changes);
    else
      feed.values = tree.list("/");
  }
  // A lost feed shows at the next `Follow`, which names the revision that the daemon really has.
  subscriber.revision = feed.to;
  this->context.send(to, std::move(feed));
}

} // namespace banyanrill::daemon
