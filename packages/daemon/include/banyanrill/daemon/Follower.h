// Keeps a copy of the settings on a daemon without a disk, and serves such daemons from a replica.
#pragma once

#include "banyanrill/daemon/Action.h"
#include "banyanrill/settings/Tree.h"

#include <map>

namespace banyanrill::daemon {

/// The following side. Not thread-safe: part of the core task.
class Follower {
public:
  explicit Follower(Context &context);

  void onFeed(base::DaemonId from, const wire::SettingsUpdate &feed);

  /// Asks a replica for changes every second; takes another one if it does not answer.
  void tick();

  const settings::Tree &settings() const { return this->tree; }

  /// Leader as the replica last named it, `NoDaemon` if that is too long ago.
  base::DaemonId leader() const;

private:
  void chooseReplica();

  Context &context;
  settings::Tree tree;
  base::DaemonId replica = base::NoDaemon;
  std::size_t tried = 0;
  base::DaemonId knownLeader = base::NoDaemon;
  base::TimePoint lastAsked;
  base::TimePoint lastFed;
  base::TimePoint chosenAt;
};

/// The serving side, on replicas. Not thread-safe: part of the core task.
class FeedServer {
public:
  explicit FeedServer(Context &context);

  void onFollow(base::DaemonId from, const wire::SettingsSubscription &follow,
                const settings::Tree &tree, base::DaemonId leader);

  /// Pushes new changes to the daemons that asked in the last seconds.
  void push(const settings::Tree &tree, base::DaemonId leader);

private:
  struct Subscriber {
    settings::Revision revision = 0;
    base::TimePoint until;
  };

  void feed(base::DaemonId to, Subscriber &subscriber, const settings::Tree &tree,
            base::DaemonId leader);

  Context &context;
  std::map<base::DaemonId, Subscriber> subscribers;
};

} // namespace banyanrill::daemon
