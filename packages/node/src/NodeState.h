// State of the node, shared by its parts: requests (Requests.cpp), the leader's answers
// (Leading.cpp), orders (Ordering.cpp) and peers (Peers.cpp).
#pragma once

#include "Group.h"
#include "Steward.h"
#include "banyanrill/base/LatencyHistogram.h"
#include "banyanrill/jobs/Dispatcher.h"
#include "banyanrill/membership/PeerDirectory.h"
#include "banyanrill/node/Node.h"

#include <atomic>
#include <latch>
#include <mutex>
#include <unordered_map>

namespace banyanrill::node {

using ReplyTo = std::function<void(jobs::Reply)>;

/// A caller's request that is not answered yet.
struct OpenRequest {
  std::uint64_t id = 0; ///< For the log.
  http::ExchangeId exchange = 0;
  jobs::Request request;
  base::TimePoint received;
  base::TimePoint giveUpAt;
  bool mayHaveRun = false; ///< A leader may have acted on it.
  bool underWay = false;   ///< A leader is working on it.
  std::uint32_t attempts = 0;
};

/// Orders that wait to be passed to one relay.
struct RelayQueue {
  std::vector<jobs::WorkerOrder> orders;
  std::uint32_t sending = 0; ///< Calls under way.
};

/// Answers that wait to be passed back to the leader.
struct AnswerQueue {
  std::string address;
  wire::RelayedAnswers answers;
  std::uint32_t sending = 0;
};

/// An order that a relay gives; its answer may be lost on the way.
struct RelayedOrder {
  bool isHold = false;
  bool isStart = false;
  base::TimePoint expires;
};

/// A report that the leader has taken note of, so that an equal one needs no forwarding.
struct KnownReport {
  jobs::WorkerProfile profile;
  base::TimePoint forwarded;
  std::uint64_t term = 0;
};

struct NodeFigures {
  std::map<std::string, std::uint64_t> replies; ///< By "request/code".
  std::uint64_t forwarded = 0;
  std::uint64_t peerCallsFailed = 0;
  std::uint64_t leaderships = 0;
  std::map<std::string, base::LatencyHistogram> answerTimes; ///< By request.
  std::map<std::string, base::LatencyHistogram> orderTimes;  ///< By order; answered ones only.
  std::map<std::string, base::LatencyHistogram> jobTimes;    ///< From hand-in to end, by outcome.
};

struct Node::State {
  State(NodeOptions nodeOptions, Dialect nodeDialect);

  NodeOptions options;
  Dialect dialect;
  base::RandomSource random;
  base::TimePoint now;
  std::vector<Door> doors; ///< By number of the listener.
  http::Loop *loop =
      nullptr; ///< Usable also while it is being stopped and its thread ends its calls.
  std::unique_ptr<http::Loop> ownedLoop;
  std::latch loopKnown{1}; ///< The loop's thread may be faster than the assignment of `loop`.
  std::mutex closing;
  bool closed = false; ///< The storage thread must not use the loop any more. Under `closing`.
  std::unique_ptr<Group> group; ///< Null without a disk.
  std::unique_ptr<membership::PeerDirectory> roster;
  std::unique_ptr<jobs::Dispatcher> dispatcher; ///< While this node leads.
  Steward steward;
  std::unordered_map<http::CallId, std::function<void(http::CallResult)>> calls;
  std::map<std::uint64_t, OpenRequest> open;
  std::uint64_t lastRequest = 0;
  std::uint64_t seenTerm = 0; ///< Highest term of a leader that answered.
  std::map<base::DaemonId, std::vector<consensus::Message>> outbox;
  std::map<base::DaemonId, std::uint32_t> sending; ///< Calls with replica messages under way.
  std::map<base::DaemonId, RelayQueue> relays;     ///< While this node leads.
  std::unordered_map<jobs::OrderId, RelayedOrder> relayed;
  AnswerQueue answers; ///< For the leader that this node relays for.
  base::TimePoint nextRelay = base::TimePoint::min();
  std::unordered_map<std::string, KnownReport> reports; ///< By worker.
  bool workScheduled = false;
  bool draining = false;
  std::atomic<bool> drained = false;
  std::optional<base::TimePoint> lastContact; ///< With a leader; empty: none since the start or a
                                              ///< suspension.
  base::TimePoint nextWake = base::TimePoint::min();
  base::TimePoint nextSteward = base::TimePoint::min();
  std::optional<membership::KnownLeader> loggedLeader; ///< As the last line in the log says.
  std::int64_t sleptMs = 0; ///< Time that the machine was suspended, so far.
  NodeFigures figures;

  base::Status start();
  void onRequest(http::ExchangeId exchange, const http::Request &request);
  void onCallResult(http::CallId id, http::CallResult result);
  void call(http::Call call, std::function<void(http::CallResult)> done);
  void scheduleWork();
  void work();
  void onWake();
  void relay();
  void noticeSuspension();
  void logLeader();
  static std::int64_t wallClockMs();

  // Requests of callers, workers and operators.
  void serve(http::ExchangeId exchange, Door door, const http::Request &request);
  void advance(std::uint64_t id);
  void forward(OpenRequest &request, const membership::KnownLeader &leader);
  void finish(std::uint64_t id, jobs::Reply reply);
  void retryOpen();
  bool isKnownReport(const jobs::Request &request) const;
  void noteReport(const jobs::Request &request, const jobs::Reply &reply);
  bool isReady() const;
  bool heardLeaderWithin(base::Duration duration) const;
  std::string metricsText() const;

  // The leader's answers.
  void answer(const jobs::Request &request, const ReplyTo &reply);
  void answerTyped(const jobs::SubmitRequest &request, ReplyTo reply);
  void answerTyped(const jobs::StateRequest &request, const ReplyTo &reply);
  void answerTyped(const jobs::CancelRequest &request, ReplyTo reply);
  void answerTyped(const jobs::ConfigureRequest &request, ReplyTo reply);
  void answerTyped(const jobs::ReadConfigurationRequest &request, const ReplyTo &reply);
  void answerTyped(const jobs::WorkerReport &request, ReplyTo reply);
  void answerTyped(const jobs::WorkerLeaves &request, ReplyTo reply);
  void answerTyped(const jobs::WaveRequest &request, ReplyTo reply);
  void answerTyped(const jobs::WaveStateRequest &request, const ReplyTo &reply);
  void proposeFor(jobs::Command command, ReplyTo reply, jobs::Reply success);
  void confirmFor(const ReplyTo &reply, std::function<jobs::Reply()> make);
  void onBecameLeader();
  void onLostLeadership();
  void onApplied(const jobs::CommandBatch &batch, const jobs::Effect &effect);

  // Orders to workers and to the advisory service.
  void carryOut(jobs::Action action);
  template <typename Order> void carryOutTyped(const Order &order) { this->orderWorker(order); }
  void carryOutTyped(const jobs::AdviceOrder &order);
  void carryOutTyped(const jobs::Command &command);
  /// Gives an order to its worker, and reports what it answered.
  void giveOrder(const jobs::WorkerOrder &order, std::function<void(jobs::WorkerAnswer)> done);
  void orderWorker(jobs::WorkerOrder order);
  void onWorkerAnswer(jobs::OrderId id, bool isStart, const jobs::WorkerAnswer &answer);
  base::DaemonId relayFor(const std::string &worker) const;
  void sendRelayed();
  void sendAnswers();
  void expireRelayed();
  void askAdvice(const wire::AdviceRequest &ask, std::function<void(jobs::AdviceAnswer)> done);
  void updateAdvisers();

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
  void greet();
  void sendReplicaMessages();
  void followGroup();
  void nameMembers();
  void foundGroup();
  jobs::Member memberOf(base::DaemonId id) const;
};

} // namespace banyanrill::node
