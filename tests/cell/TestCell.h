// Runs the cores of several daemons in one thread with a virtual clock, a lossy network, and
// stand-ins for workers and upstream instances, and records what these see.
#pragma once

#include "Worker.h"

#include "banyanrill/daemon/Core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace banyanrill::test {

/// What one caller's request came to.
struct CallerRequest {
  std::string key;
  std::string body;
  bool repeatable = true;
  bool answered = false; ///< False: the connection was lost.
  http::Response response;
};

/// What an operator saw of one change.
struct OperatorRequest {
  bool done = false;
  int status = 0; ///< 0 if the connection was lost.
  std::string body;
};

/// Violations of the invariants, as sentences; empty if there are none.
using Violations = std::vector<std::string>;

class TestCell {
public:
  /// Three replicas (daemons 1 to 3) and two daemons without a disk; daemons 1, 2 and 4 are in one
  /// data centre, 3 and 5 in another of the same region.
  TestCell(std::uint64_t seed, std::size_t workers);
  ~TestCell();

  void run(base::Duration time);

  /// Runs until the condition holds; returns whether it did in time.
  bool runUntil(const std::function<bool()> &condition, base::Duration limit);

  void crash(base::DaemonId daemon); ///< What was not yet durable is lost.
  void restart(base::DaemonId daemon);
  void pause(base::DaemonId daemon, base::Duration time);
  void stopGracefully(base::DaemonId daemon);

  /// Cuts or restores messages between two daemons, in the given direction.
  void setCut(base::DaemonId from, base::DaemonId to, bool cut);
  void setWorkerCut(std::size_t worker, bool cut); ///< The worker reaches no daemon.
  /// Its disk refuses writes until `healDisk`, which opens the data folder again.
  void fillDisk(base::DaemonId daemon) { this->nodes[daemon - 1].disk.isFull = true; }
  void healDisk(base::DaemonId daemon);
  void healAll();
  void setLoss(double share) { this->loss = share; }

  bool isAlive(base::DaemonId daemon) const;
  daemon::Core *core(base::DaemonId daemon);
  base::DaemonId leader() const;

  /// Sends a caller's request to a daemon; the result is in `requests()`.
  void request(base::DaemonId entry, const std::string &operation, bool repeatable,
               const std::string &key);

  /// Changes one setting; returns false if it was not confirmed as accepted.
  bool set(const std::string &path, const std::string &json);

  /// Sends a change (the body of POST /v1/changes) to a live daemon and does not wait.
  std::shared_ptr<OperatorRequest> submit(base::DaemonId daemon, const std::string &change);

  /// The instance stops announcing itself and leaves through a daemon. A request that reaches it
  /// more than 3 s after that daemon confirmed is a violation. Sent again until confirmed.
  void leave(std::size_t upstream, base::DaemonId through);
  bool hasLeft(std::size_t upstream) const;

  const std::vector<CallerRequest> &requests() const { return this->callers; }
  std::size_t executions(const std::string &key) const;
  base::RandomSource &random() { return this->randomness; }

  /// Everything found so far, continuous checks included.
  Violations violations() const;

private:
  struct Disk {
    consensus::StoredState state;
    bool isFull = false;
    bool isOpen = true;
    std::uint64_t opening = daemon::FirstOpening;
  };
  struct Node {
    daemon::Config config;
    std::unique_ptr<daemon::Core> core;
    Disk disk;
    std::uint64_t run = 0; ///< Events of an earlier run are dropped.
    base::TimePoint pausedUntil;
    std::set<http::ExchangeId> open;
  };
  struct Event {
    base::TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event &other) const {
      return std::pair(other.at, other.order) < std::pair(this->at, this->order);
    }
  };
  struct TestWorker {
    standins::Worker worker;
    bool polling = false;
    bool cut = false;
    base::TimePoint nextPoll;
    base::Resources requestDemand;
    std::uint64_t epoch = 0;          ///< Highest epoch with which the worker polled.
    std::optional<std::size_t> owner; ///< Node that it polled with this epoch first.
  };
  struct Execution {
    std::string key;
    std::string requestId;
  };
  struct RunningRequest {
    std::string token;
    base::Resources demand;
    std::string requestId;
    base::TimePoint started;
  };
  struct TestUpstream {
    std::string id;
    std::size_t worker = 0;
    std::string ownerToken;
    std::size_t entry = 0; ///< Index of the daemon to announce to.
    base::TimePoint nextAnnouncement;
    std::map<std::uint64_t, RunningRequest> running;
    bool leaving = false;
    std::optional<base::TimePoint> left;
  };
  using ResponseHandler = std::function<void(std::optional<http::Response>)>;

  void at(base::TimePoint time, std::function<void()> action);
  void startNode(std::size_t index);
  void tickNode(std::size_t index, std::uint64_t run);
  void deliver(std::size_t index, std::uint64_t run, daemon::CoreEvent event);
  void execute(std::size_t index, std::vector<daemon::Action> actions);
  void take(std::size_t index, daemon::SendMessage &action);
  void take(std::size_t index, daemon::RespondExchange &action);
  void take(std::size_t index, daemon::StartCall &action);
  void take(std::size_t index, daemon::StoreBatch &action);
  void store(std::size_t index, const daemon::StoreBatch &batch);
  void send(std::size_t index, http::Request request, ResponseHandler handler);
  void closeExchanges(std::size_t index);
  void runUpstream(std::size_t node, const daemon::StartCall &call);
  void tickStandins();
  void pollWorker(std::size_t index);
  void announce(std::size_t index);
  void onTaskChanges(std::size_t worker, const std::vector<standins::TaskChange> &changes);
  void checkWorker(std::size_t index);
  std::optional<std::size_t> nodeByPort(std::uint16_t port) const;
  base::Duration delay();

  base::RandomSource randomness;
  base::TimePoint now;
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
  std::vector<Node> nodes;
  std::vector<TestWorker> workers;
  std::vector<TestUpstream> upstreams;
  std::set<std::pair<base::DaemonId, base::DaemonId>> cuts;
  double loss = 0;
  http::ExchangeId lastExchange = 0;
  std::uint64_t lastExecution = 0;
  std::uint64_t lastChange = 0;
  std::map<http::ExchangeId, ResponseHandler> exchanges;
  std::vector<CallerRequest> callers;
  std::vector<Execution> executed;
  std::map<std::string, std::set<std::size_t>> tasksRunning; ///< Task to the workers that run it.
  Violations found;
};

} // namespace banyanrill::test
