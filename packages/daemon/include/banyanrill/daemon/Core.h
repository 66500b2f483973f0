// The core task's logic: routes events to the parts that decide and collects their actions. It has
// no I/O, so that whole cells can be run in one test with injected faults.
#pragma once

#include "banyanrill/daemon/Action.h"
#include "banyanrill/daemon/EntryRequests.h"
#include "banyanrill/daemon/Follower.h"
#include "banyanrill/daemon/Leader.h"
#include "banyanrill/daemon/Operators.h"
#include "banyanrill/daemon/OwnerRequests.h"
#include "banyanrill/daemon/Proposals.h"
#include "banyanrill/daemon/Replication.h"
#include "banyanrill/daemon/WorkerGateway.h"

#include <memory>
#include <optional>
#include <vector>

namespace banyanrill::daemon {

/// Not thread-safe: owned by the core task.
class Core {
public:
  /// \param stored state found on disk, on replicas only.
  /// \param seed seeds all decisions; must differ between runs in production.
  /// \param incarnation number of this run; must be higher than that of any earlier run.
  /// Errors: DataCorrupted if the stored snapshot cannot be read.
  static base::Result<std::unique_ptr<Core>> create(const Config &config,
                                                    std::optional<consensus::StoredState> stored,
                                                    std::uint64_t seed, std::uint64_t incarnation,
                                                    base::TimePoint now);

  /// Handles one event and returns the actions to take, in order.
  std::vector<Action> handle(CoreEvent event, base::TimePoint now, std::int64_t wallClockMs);

  /// Advances timers. Call at least every 50 ms.
  std::vector<Action> tick(base::TimePoint now, std::int64_t wallClockMs);

  /// Bytes exchanged with other daemons so far, for the metrics.
  void reportPeerBytes(std::uint64_t sent, std::uint64_t received) {
    this->peerBytesSent = sent;
    this->peerBytesReceived = received;
  }

  /// Whether the settings are at least as new as the leader's when this run began. Until then
  /// nothing is served from them: an earlier run may have shown newer ones.
  bool settingsCurrent() const { return this->current; }

  bool isStopping() const { return this->stopping; }

  /// Number of this run, which its messages carry.
  std::uint64_t ownIncarnation() const { return this->incarnation; }

  /// While stopping: whether every worker has been handed over, or that took too long.
  bool handedOver() const;

  /// While stopping: whether nothing is in progress any more.
  bool finished() const;

  base::DaemonId leader() const;
  const settings::Tree &settings() const;
  const WorkerGateway &workers() const { return this->gateway; }
  const EntryRequests &entry() const { return this->entryRequests; }

  /// Null on a daemon without a disk.
  const Replication *replication() const { return this->log ? &*this->log : nullptr; }

private:
  struct LeavingNotice {
    base::UpstreamId upstream;
    int repeatsLeft = 0;
    base::TimePoint next;
  };

  Core(const Config &config, std::optional<consensus::StoredState> stored, std::uint64_t seed,
       std::uint64_t incarnation, base::TimePoint now);

  void on(PeerEvent &event);
  void on(RequestEvent &event);
  void on(const DisconnectEvent &event);
  void on(const CallEvent &event);
  void on(const StorageDone &event);
  void on(const StorageFailed &event);
  void on(StorageOpened &event);
  void on(const StopEvent &event);
  void announceLeaving(const base::UpstreamId &upstream);
  void repeatLeavingNotices();
  void deliver(base::DaemonId from, std::uint64_t senderIncarnation, wire::Body body);
  void startTime(base::TimePoint now, std::int64_t wallClockMs);
  std::vector<Action> takeActions();
  StatusReport status() const;
  void pushFeed();

  Config config;
  Context context;
  std::uint64_t incarnation;
  Proposals proposals;
  std::optional<Replication> log;
  std::optional<Leader> leaderDuties;
  std::optional<FeedServer> feedServer;
  std::optional<Follower> follower;
  WorkerGateway gateway;
  OwnerRequests ownerRequests;
  EntryRequests entryRequests;
  Operators operators;
  std::vector<LeavingNotice> leavingNotices;
  settings::Revision pushedRevision = 0;
  std::uint64_t peerBytesSent = 0;
  std::uint64_t peerBytesReceived = 0;
  void checkCurrent();
  base::DaemonId leaderForFeed() const;

  bool current = false;
  std::optional<settings::Revision> requiredRevision;
  base::TimePoint lastRevisionRequest;
  bool ledBefore = false;
  bool stopping = false;
  bool storageFailed = false;
  base::TimePoint stopStarted;
};

} // namespace banyanrill::daemon
