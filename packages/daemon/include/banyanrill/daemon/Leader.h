// Duties of the leader: which daemons are alive, who owns each worker, and where tasks run.
#pragma once

#include "banyanrill/control/OwnerIndex.h"
#include "banyanrill/control/State.h"
#include "banyanrill/daemon/Action.h"
#include "banyanrill/daemon/Replication.h"
#include "banyanrill/placement/Planner.h"
#include "banyanrill/settings/Policy.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::daemon {

/// Exists on every replica, acts only while it leads. Not thread-safe: part of the core task.
class Leader {
public:
  Leader(Context &context, Replication &replication);

  void onHeartbeat(base::DaemonId from, const wire::Heartbeat &heartbeat);
  void onTaskEvents(base::DaemonId from, const wire::TaskEvents &events);

  /// Called with every applied command.
  void onApplied(const control::Command &command, const control::Result &result);

  /// Assigns owners, plans tasks and sends task commands again that had no effect yet.
  void tick();

  /// Error if a change holds a job that can never run here. Precondition: `isActive()`.
  base::Status checkFeasible(const settings::Change &change) const;

  /// Why a job waits. Precondition: `isActive()`.
  std::string explain(const base::JobId &job) const;

  /// True while this daemon leads and its planner knows the state.
  bool isActive() const { return this->planner.has_value(); }

  std::size_t liveDaemons() const;

private:
  struct DaemonState {
    base::TimePoint lastHeartbeat;
    bool stopping = false;
    std::uint64_t lastSequence = 0;
    std::set<base::WorkerId> reported; ///< All that it owns.
    std::set<base::WorkerId> adopted;  ///< Those of which it holds the ownership lease.
  };
  struct WorkerState {
    wire::WorkerReport report;
    base::DaemonId adoptedBy = base::NoDaemon;
    std::uint64_t adoptedEpoch = 0;
    base::TimePoint lastVouched; ///< When the contact lease of an owner of it was last extended.
  };

  void activate();
  void deactivate();
  void rebuildPlanner();
  void putJob(const base::JobId &id, const std::string &json);
  void onSettingsApplied(const settings::Change &change);
  void onTasksApplied(const control::UpdateTasks &update);
  void noteWorker(base::DaemonId from, const wire::WorkerReport &report);
  void dropAdoption(base::DaemonId from, const base::WorkerId &worker);
  void updatePlannerWorker(const WorkerState &worker);
  bool isLive(const DaemonState &daemon) const;
  void assignOwners();
  /// How well a daemon suits a worker; less is better.
  struct OwnerRank {
    int distance = 0; ///< 0: same data centre, 1: same region, 2: another region.
    std::size_t owned = 0;

    auto operator<=>(const OwnerRank &) const = default;
  };
  OwnerRank rankOwner(const Peer &peer, const wire::WorkerReport &worker,
                      const std::map<base::DaemonId, std::size_t> &owned) const;
  bool mayOwn(base::DaemonId id) const;
  base::DaemonId chooseOwner(const wire::WorkerReport &worker,
                             const std::map<base::DaemonId, std::size_t> &owned) const;
  void rebalance(const std::map<base::DaemonId, std::size_t> &owned);
  void runPlanner();
  void submitTasks(control::UpdateTasks update);
  void declareLost();
  void sendTaskCommands();
  void sendTaskCommand(const placement::TaskRecord &task, bool confirmOnly);
  void confirmTasksOn(const base::WorkerId &worker);
  bool isTrusted(const wire::TaskReport &report);
  const placement::TaskRecord *findTask(const base::TaskId &id) const;

  Context &context;
  Replication &replication;
  std::optional<placement::Planner> planner;
  base::TimePoint activeSince;
  std::map<base::DaemonId, DaemonState> daemons;
  std::map<base::WorkerId, WorkerState> workers;
  std::map<base::TaskId, base::TimePoint> lastCommand;
  std::map<base::TaskId, bool> stopWithCheckpoint;
  /// Running tasks whose worker got a new owner that has not yet said whether they still run.
  std::set<base::TaskId> unconfirmed;
  std::set<base::WorkerId> assignmentsInFlight;
  /// Acknowledgements to send once the updates that the events caused are applied.
  struct PendingAck {
    base::DaemonId daemon = base::NoDaemon;
    std::uint64_t sequence = 0;
    std::uint64_t update = 0; ///< Number of the update that must be applied first.
  };
  std::deque<PendingAck> pendingAcks;
  std::uint64_t updatesSubmitted = 0;
  std::uint64_t updatesApplied = 0;
  /// Records that are appended but not yet applied; newer than those of the control state.
  std::map<base::TaskId, placement::TaskRecord> submitted;
  base::TimePoint lastAssignment;
  base::TimePoint lastRebalance;
  base::TimePoint lastLossCheck;
  control::OwnerIndex owners;
  /// Parsed settings of the jobs that have not ended; parsing at each use would cost too much.
  std::map<base::JobId, settings::JobPolicy> policies;
};

} // namespace banyanrill::daemon
