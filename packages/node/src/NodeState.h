// State of the node, shared by its parts: requests (Requests.cpp), the leader's answers
// (LeaderAnswers.cpp), orders to workers (WorkerOrders.cpp) and peers (Peers.cpp).
#pragma once

#include "CallerAuthority.h"
#include "Group.h"
#include "MembershipPlanner.h"
#include "OutagePolicy.h"
#include "PauseGuard.h"
#include "ReplicaSender.h"
#include "banyanrill/base/LatencyHistogram.h"
#include "banyanrill/jobs/Dispatcher.h"
#include "banyanrill/membership/PeerDirectory.h"
#include "banyanrill/node/Node.h"

#include <atomic>
#include <latch>
#include <mutex>
#include <unordered_map>

namespace banyanrill::node {

/// A caller's request that has not been answered yet.
struct OpenRequest {
  std::uint64_t id = 0; ///< For the log.
  http::ExchangeId exchange = 0;
  jobs::Request request;
  base::TimePoint received;
  base::TimePoint deadline;
  bool mayHaveRun = false;     ///< A leader may have acted on it.
  bool inFlight = false;       ///< A leader is processing it.
  bool wasUnconfirmed = false; ///< The last leader that was asked could not confirm that it leads.
  std::uint32_t attempts = 0;
};

/// Workers' answers waiting to be sent back to the leader.
struct AnswerQueue {
  std::string address;
  wire::RelayedAnswers answers;
  std::uint32_t callsInFlight = 0;
};

/// An order sent through a relay; its answer may be lost.
struct RelayedOrder {
  bool isHold = false;
  bool isStart = false;
  base::TimePoint expires;
};

/// A worker's report that the leader has acknowledged; an equal one is not forwarded again.
struct AcknowledgedReport {
  jobs::WorkerProfile profile;
  base::TimePoint forwarded;
  std::uint64_t term = 0;
};

struct NodeMetrics {
  std::map<std::string, std::uint64_t> replies; ///< By "request/code".
  std::uint64_t forwarded = 0;
  std::uint64_t peerCallsFailed = 0;
  std::uint64_t leaderships = 0;
  std::map<std::string, std::uint64_t> outageRefusals; ///< Did not run, by request.
  /// By queue and cause; of many queues only the first by name of their own.
  std::map<std::pair<std::string, std::string>, std::uint64_t> loadRefusals;

  void countLoadRefusal(const std::string &queue, jobs::RefusalCause cause);
  std::map<std::string, base::LatencyHistogram> answerTimes; ///< By request.
  std::map<std::string, base::LatencyHistogram> orderTimes;  ///< By order; answered ones only.
  std::map<std::string, base::LatencyHistogram> jobTimes; ///< From acceptance to end, by outcome.
};

struct Node::State {
  State(NodeOptions nodeOptions, ProtocolAdapter protocolAdapter);

  NodeOptions options;
  ProtocolAdapter adapter;
  base::RandomSource random;
  base::TimePoint now;
  std::vector<ListenerKind> listenerKinds; ///< By the listener's index.
  http::Loop *loop =
      nullptr; ///< Stays valid while the loop stops and its thread completes open calls.
  std::unique_ptr<http::Loop> ownedLoop;
  std::latch loopAssigned{1}; ///< Handlers may run before `loop` is assigned.
  std::mutex closeMutex;
  bool closed = false; ///< The storage thread must no longer use the loop. Guarded by `closeMutex`.
  std::unique_ptr<Group> group; ///< Null without a disk.
  std::unique_ptr<membership::PeerDirectory> peerDirectory;
  std::unique_ptr<jobs::Dispatcher> dispatcher; ///< While this node leads.
  MembershipPlanner membershipPlanner;
  std::unordered_map<http::CallId, std::function<void(http::CallResult)>> calls;
  std::map<std::uint64_t, OpenRequest> open;
  std::uint64_t lastRequest = 0;
  std::uint64_t highestLeaderTerm = 0; ///< Highest term of a leader that answered.
  ReplicaSender replicaSender;
  /// Orders waiting to be sent to each relay, while this node leads.
  std::map<base::DaemonId, std::vector<jobs::WorkerOrder>> relays;
  /// Calls with orders in flight to each relay; they may outlive the term.
  std::map<base::DaemonId, std::uint32_t> relayCallsInFlight;
  std::unordered_map<jobs::OrderId, RelayedOrder> relayed;
  AnswerQueue answers; ///< To the leader for which this node relays.
  base::TimePoint nextRelay = base::TimePoint::min();
  std::unordered_map<std::string, AcknowledgedReport> reports; ///< By worker.
  bool workScheduled = false;
  bool draining = false;
  std::atomic<bool> drained = false;
  std::optional<base::TimePoint> lastLeaderContact; ///< With a leader; empty: none since the start
                                                    ///< or a suspension.
  base::TimePoint aloneSince; ///< Start of the process, or the end of its last suspension.
  bool inOutage = false;      ///< As logged last.
  std::uint64_t loggedLoadRefusals = 0;
  base::TimePoint nextWake = base::TimePoint::min();
  base::TimePoint nextMembershipCheck = base::TimePoint::min();
  base::TimePoint nextMemberUpdate = base::TimePoint::min();
  base::TimePoint leaderSince = base::TimePoint::min();
  base::TimePoint nextMajorityLog = base::TimePoint::min();
  base::TimePoint nextLagLog = base::TimePoint::min();
  base::TimePoint nextLoadLog = base::TimePoint::min();
  std::optional<membership::KnownLeader> loggedLeader; ///< The leader in the last log line.
  std::int64_t suspendedMs = 0; ///< Total time that the machine has been suspended.
  PauseGuard pauseGuard;
  bool confirmingLeadership = false;
  CallerAuthority callers; ///< Used while this node leads.
  NodeMetrics metrics;

  base::Status start();
  void onRequest(http::ExchangeId exchange, const http::Request &request);
  void onCallResult(http::CallId id, http::CallResult result);
  void call(http::Call call, std::function<void(http::CallResult)> done);
  void scheduleWork();
  void work();
  void onWake();
  void relay();
  void detectSuspension();
  /// The data folder is open after a time without it.
  void onDiskReopened();
  /// Returns whether the leader may give orders. After a pause it asks the group first.
  bool mayGiveOrders();
  void logLeader();
  static std::int64_t wallClockMs();
  /// Time since the machine was started, with the time in which it was suspended.
  static base::Duration sinceBoot();

  // Requests of callers, workers and operators.
  void serve(http::ExchangeId exchange, ListenerKind kind, const http::Request &request);
  void advance(std::uint64_t id);
  void forward(OpenRequest &request, const membership::KnownLeader &leader);
  void finish(std::uint64_t id, jobs::Reply reply);
  void retryOpen();
  /// Refuses the request if its time ends before a leader can be expected. \returns whether it did.
  bool refuseInOutage(const OpenRequest &request);
  /// Answers a request that no leader has decided.
  void giveUp(const OpenRequest &request, std::string reason, std::int64_t retryAfterMs);
  /// Time since the last contact with a leader; 0 while this node leads.
  base::Duration withoutLeader() const;
  /// Logs begin and end of an outage, and makes the node look for another leader.
  void watchOutage();
  bool isAcknowledgedReport(const jobs::Request &request) const;
  void rememberReport(const jobs::Request &request, const jobs::Reply &reply);
  bool isReady() const;
  bool heardLeaderWithin(base::Duration duration) const;
  std::string metricsText() const;

  // The leader's answers.
  /// At `deadline` the node that sent the request no longer waits.
  void answer(const jobs::Request &request, base::TimePoint deadline, const ReplyTo &reply);
  void answerTyped(const jobs::SubmitRequest &request, const jobs::Access &access, ReplyTo reply);
  void answerTyped(const jobs::StateRequest &request, const jobs::Access &access,
                   const ReplyTo &reply);
  void answerTyped(const jobs::CancelRequest &request, const jobs::Access &access, ReplyTo reply);
  void answerTyped(const jobs::ConfigureRequest &request, ReplyTo reply);
  void answerTyped(const jobs::ReadConfigurationRequest &request, const ReplyTo &reply);
  void answerTyped(const jobs::WorkerReport &request, ReplyTo reply);
  void answerTyped(const jobs::DeregisterRequest &request, ReplyTo reply);
  void answerTyped(const jobs::WaveRequest &request, ReplyTo reply);
  void answerTyped(const jobs::WaveStateRequest &request, const ReplyTo &reply);
  /// Returns the refusal of a job that would end too late to be of use.
  std::optional<jobs::Reply> refuseByLoad(const jobs::JobSpec &spec, const jobs::Queue &queue,
                                          const std::string &workspaceName);
  void proposeFor(jobs::Command command, ReplyTo reply, jobs::Reply success);
  void confirmFor(const ReplyTo &reply, std::function<jobs::Reply()> make);
  void onBecameLeader();
  void onLostLeadership();
  void onApplied(const jobs::CommandBatch &batch, const jobs::Effect &effect);

  // Callers' keys (CallerAuthority.cpp). Precondition of all: this node has a group.
  const jobs::KeyTable &callerKeys();
  /// Answers a request whose key allows it, or refuses it.
  template <CallerRequest Request>
  void checkCaller(const Request &request, const ReplyTo &reply, base::TimePoint deadline);
  template <CallerRequest Request>
  void checkKey(const Request &request, const ReplyTo &reply, CallerCheck check);
  /// Proposes what a caller asked for. `submitted` is the identifier of a submitted job, or empty.
  void proposeForCaller(jobs::Command command, const jobs::Access &access,
                        const std::string &submitted, ReplyTo reply);
  /// Calls `proceed` after a confirmation round, or with false if there is none until `latest`.
  void awaitAuthority(base::TimePoint latest, std::function<void(bool confirmed)> proceed);
  void beginAuthorityRound();
  /// Ends waits that took too long, and repeats the rounds while requests with keys come.
  void keepAuthority();
  /// A leadership begins or ends.
  void resetAuthority();
  /// Counts a refusal and logs it, at most once in a while. `key` may be empty.
  void noteRefusal(CallerRefusal kind, const std::string &key);

  // Orders to workers and to the advisory service.
  void execute(jobs::Action action);
  template <typename Order> void executeTyped(const Order &order) { this->sendOrder(order); }
  void executeTyped(const jobs::AdviceOrder &order);
  void executeTyped(const jobs::Command &command);
  /// Calls the worker directly and passes its answer to `done`.
  void callWorker(const jobs::WorkerOrder &order, std::function<void(jobs::WorkerAnswer)> done);
  void sendOrder(jobs::WorkerOrder order);
  void onWorkerAnswer(jobs::OrderId id, bool isStart, const jobs::WorkerAnswer &answer);
  base::DaemonId relayFor(const std::string &worker) const;
  void sendRelayed();
  void sendAnswers();
  void expireRelayed();
  void askAdvice(const wire::AdviceRequest &ask, std::function<void(jobs::AdviceAnswer)> done);
  void updateAdvisers();
  /// Log what the dispatcher concluded about workers and their runs, what it decided about gangs,
  /// and the load of the workers. Precondition: this node leads.
  void logWorkers() const;
  void logGangs() const;
  void logLimits() const;
  void logLoadRefusals();
  void logLoad();

  // Peers.
  void onPeerRequest(http::ExchangeId exchange, const http::Request &request);
  void answerPeer(http::ExchangeId exchange, const membership::PeerHeartbeat &heartbeat);
  void answerPeer(http::ExchangeId exchange, const wire::ReplicaMessages &messages);
  void answerPeer(http::ExchangeId exchange, const wire::ForwardedRequest &forwarded);
  void answerPeer(http::ExchangeId exchange, const wire::AdviceRequest &ask);
  void answerPeer(http::ExchangeId exchange, const wire::RelayedOrders &relayedOrders);
  void answerPeer(http::ExchangeId exchange, const wire::RelayedAnswers &relayedAnswers);
  void respondPeer(http::ExchangeId exchange, const wire::PeerReply &reply);
  void callPeer(const std::string &address, const wire::PeerRequest &request,
                base::Duration timeout,
                std::function<void(base::Verdict, std::optional<wire::PeerReply>)> done);
  /// Like `callPeer`, with an encoded request.
  void postToPeer(const std::string &address, std::string message, base::Duration timeout,
                  std::function<void(base::Verdict, std::optional<wire::PeerReply>)> done);
  void sendHeartbeats();
  void sendReplicaMessages();
  void updateKnownLeader();
  void changeMembership();
  void proposeMemberAddresses();
  void bootstrapGroup();
  /// While no leader is known, logs which voters are not heard from.
  void logMissingMajority();
  /// While this node leads, logs how far the members have got that lack much of the log.
  void logLaggingMembers();
  jobs::Member memberOf(base::DaemonId id) const;
};

} // namespace banyanrill::node
