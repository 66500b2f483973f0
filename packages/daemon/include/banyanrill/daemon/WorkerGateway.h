// An owner's side of its workers: ownership leases, ledgers, and commands for tasks.
#pragma once

#include "banyanrill/control/OwnerIndex.h"
#include "banyanrill/daemon/Action.h"
#include "banyanrill/daemon/WorkerApi.h"
#include "banyanrill/placement/Ledger.h"
#include "banyanrill/settings/Tree.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::daemon {

/// Exists on every daemon. Not thread-safe: part of the core task.
class WorkerGateway {
public:
  explicit WorkerGateway(Context &context);

  /// Handles a poll; the answer follows at once or within 5 s.
  void onPoll(http::ExchangeId exchange, const base::WorkerId &worker, const std::string &body);
  void onDisconnect(http::ExchangeId exchange);

  void onStartTask(const wire::StartTask &command);
  void onStopTask(const wire::StopTask &command);
  void onEventsAck(const wire::TaskEventsAck &ack);
  void onHeartbeatAck(const wire::HeartbeatAck &ack);

  /// Sends heartbeats and events, answers held polls, and finds silent workers. Must be called
  /// before anything else when the settings have changed.
  void tick(const settings::Tree &settings, base::DaemonId leader);

  /// Takes capacity for a request, if the ownership lease holds and it fits.
  bool reserveForRequest(const base::WorkerId &worker, const std::string &holder,
                         const base::Resources &demand);
  void releaseRequest(const base::WorkerId &worker, const std::string &holder);

  /// Records what an upstream instance still runs for a former owner of its worker.
  void noteInherited(const base::WorkerId &worker, const base::UpstreamId &upstream,
                     const base::Resources &demand);

  /// Whether this daemon holds the ownership lease of a worker now.
  bool isOwner(const base::WorkerId &worker) const;

  /// Whether it may also start new work there: not while the worker is being released, and not
  /// until its upstream instances have said what they still run for a former owner.
  bool mayStart(const base::WorkerId &worker) const;

  /// Called when this daemon gives a worker up, so that its upstream instances are dropped.
  void setDroppedHandler(std::function<void(const base::WorkerId &)> handler);

  /// Planned stop: ask the leader for new owners.
  void startStopping() { this->stopping = true; }

  /// Owner that the log names for a worker, as far as this daemon knows.
  std::optional<control::Owner> namedOwner(const base::WorkerId &worker) const {
    return this->owners.find(worker);
  }

  std::size_t ownedWorkers() const { return this->owned.size(); }

private:
  struct OwnedTask {
    std::uint32_t attempt = 0;
    bool started = false;   ///< The worker has listed it.
    bool delivered = false; ///< The worker received its start, so its polls must list it.
  };
  using Attempt = std::pair<base::TaskId, std::uint32_t>;
  struct Command {
    WorkerCommand command;
    std::uint64_t sentWith = 0; ///< Sequence of the answer that carried it, 0 if none yet.
  };
  struct HeldPoll {
    http::ExchangeId exchange = 0;
    base::TimePoint since;
  };
  struct OwnedWorker {
    std::string dataCentre;
    std::string rack;
    std::uint64_t epoch = 0;
    std::uint64_t lastSequence = 0;
    base::TimePoint lastAnswered;
    base::TimePoint leaseUntil;
    placement::Ledger ledger{base::Resources{}};
    base::Resources requestLoad;
    std::size_t requests = 0;
    bool releasing = false;    ///< Another owner was named.
    base::TimePoint settledAt; ///< When all upstream instances must have announced themselves.
    std::map<base::TaskId, OwnedTask> tasks;
    std::set<Attempt> reported; ///< Finished, reported to the leader, still listed by the worker.
    std::vector<Command> commands;
    std::optional<HeldPoll> held;
  };
  /// A worker that has been offered this daemon as owner and has not accepted yet.
  struct Offer {
    std::uint64_t sequence = 0;
    base::TimePoint sentAt;
  };
  /// A worker without an owner that polls here.
  struct Sighting {
    wire::WorkerReport report;
    base::TimePoint seen;
    std::optional<HeldPoll> held;
  };

  void pollOwned(OwnedWorker &worker, http::ExchangeId exchange, const base::WorkerId &id,
                 const WorkerPoll &poll);
  void adopt(const base::WorkerId &id, const WorkerPoll &poll, const Offer &offer);
  void acknowledgeCommands(OwnedWorker &worker, std::uint64_t sequence);
  void reconcileTasks(const base::WorkerId &id, OwnedWorker &worker, const WorkerPoll &poll);
  void noteRunning(const base::WorkerId &id, OwnedWorker &worker, const WorkerTask &task);
  void noteFinished(const base::WorkerId &id, OwnedWorker &worker, const WorkerTask &task);
  void answerOwned(OwnedWorker &worker, http::ExchangeId exchange);
  void answerHeldPoll(OwnedWorker &worker);
  void answerOther(http::ExchangeId exchange, base::DaemonId owner, std::uint64_t epoch,
                   std::uint64_t sequence, bool released);
  void offer(http::ExchangeId exchange, const base::WorkerId &id, std::uint64_t epoch,
             bool released);
  void drop(const base::WorkerId &id);
  void addCommand(OwnedWorker &worker, WorkerCommand command);
  void addEvent(const base::WorkerId &worker, std::uint64_t epoch, const base::TaskId &task,
                std::uint32_t attempt, placement::TaskEventKind kind);
  void closeAttempt(const base::TaskId &task, std::uint32_t attempt);
  bool isClosed(const base::TaskId &task, std::uint32_t attempt) const;
  void forget(const wire::TaskReport &report);
  void sendHeartbeat(base::DaemonId leader);
  void sendEvents(base::DaemonId leader);
  void checkSilence();
  void answerHeld();
  void answerSightings();
  std::int64_t contactMs() const;
  void addWorkers(wire::Heartbeat &heartbeat, base::DaemonId leader);
  wire::WorkerReport report(const base::WorkerId &id, const OwnedWorker &worker) const;

  Context &context;
  std::function<void(const base::WorkerId &)> onDropped;
  control::OwnerIndex owners;
  std::map<base::WorkerId, OwnedWorker> owned;
  std::map<base::WorkerId, Offer> offers;
  std::map<base::WorkerId, Sighting> sightings;
  std::uint64_t lastSequence;
  std::uint64_t heartbeatSequence;
  std::map<std::uint64_t, base::TimePoint> heartbeatsSent;
  /// Reports as the leader holds them, if it acknowledged the latest heartbeat.
  std::map<base::WorkerId, wire::WorkerReport> reportedWorkers;
  base::DaemonId reportedTo = base::NoDaemon;
  std::uint64_t acknowledgedHeartbeat = 0;
  base::TimePoint lastHeartbeat;
  base::TimePoint contactUntil;
  bool stopping = false;
  bool heartbeatDue = false;

  std::deque<wire::TaskReport> events; ///< Not yet acknowledged.
  std::uint64_t eventSequence;         ///< Of the batch in flight.
  std::size_t eventsInFlight = 0;      ///< Events at the front that this batch holds.
  base::TimePoint eventsSent;

  /// Attempts that were refused or stopped before they started: a delayed start must not run them.
  std::map<base::TaskId, std::uint32_t> closed;
  std::deque<base::TaskId> closedOrder;
};

} // namespace banyanrill::daemon
