// The control state of this daemon: replicated through the log on a replica, followed on a daemon
// without a disk.
#pragma once

#include "banyanrill/consensus/Replica.h"
#include "banyanrill/control/State.h"
#include "banyanrill/daemon/Action.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace banyanrill::daemon {

/// Called with each applied command and its result, on replicas.
using AppliedHandler = std::function<void(const control::Command &, const control::Result &)>;

/// A replica's part of the log. Not thread-safe: part of the core task.
class Replication {
public:
  /// Errors of a damaged snapshot are reported by `load`, which must be called first.
  Replication(Context &context, consensus::StoredState stored);

  /// Restores the control state from the stored snapshot. Errors: DataCorrupted.
  base::Status load(const consensus::StoredState &stored);

  void setAppliedHandler(AppliedHandler handler);

  void onMessage(const consensus::Message &message);
  void onPropose(base::DaemonId from, wire::Propose propose);
  void onStored(const StorageDone &done);

  /// Storage failed: stop taking part, so that nothing is acknowledged that is not durable.
  void halt();

  /// The data folder is open again: take part with what is durable. The control state stays as it
  /// is, since all that was applied is committed. Precondition: halted.
  void resume(std::uint64_t folderOpening, consensus::StoredState stored);

  /// Appends a command of this daemon's own; only while it leads.
  void submit(control::Command command);

  /// Advances timers and appends what was proposed since the last call.
  void tick();

  /// Gives leadership to another replica, for a graceful stop.
  void transferLeadership();

  /// True once this replica leads and has applied everything committed before its term.
  bool leads() const;

  base::DaemonId leader() const;
  const control::State &state() const { return this->controlState; }
  const consensus::Replica &replica() const { return this->log; }

private:
  struct Origin {
    base::DaemonId daemon = base::NoDaemon;
    std::uint64_t proposal = 0;
  };
  struct Queued {
    control::Command command;
    Origin origin;
  };
  struct Appended {
    consensus::Term term = 0;
    std::vector<Origin> origins;
  };

  void appendQueued();
  void drainOutput();
  void apply(const consensus::Entry &entry);
  void answerLost();
  void takeSnapshot();

  Context &context;
  control::State controlState;
  consensus::Replica log;
  AppliedHandler onApplied;
  std::deque<Queued> queue;
  std::map<consensus::Index, Appended> appended;
  consensus::Index applied = 0;
  consensus::Term appliedTerm = 0;
  consensus::Index snapshotIndex = 0;
  consensus::Term barrierTerm = 0; ///< Term in which this leader's barrier was appended.
  consensus::Term readyTerm = 0;   ///< Term in which its barrier was applied.
  bool halted = false;
  std::uint64_t opening = FirstOpening; ///< Of the data folder.
};

} // namespace banyanrill::daemon
