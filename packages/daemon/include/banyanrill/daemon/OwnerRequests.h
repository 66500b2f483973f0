// An owner's side of requests: admission, dispatch to upstream instances, and load digests.
#pragma once

#include "banyanrill/daemon/Action.h"
#include "banyanrill/daemon/WorkerApi.h"
#include "banyanrill/daemon/WorkerGateway.h"
#include "banyanrill/routing/AdmissionQueue.h"
#include "banyanrill/routing/UpstreamTable.h"

#include <map>
#include <string>
#include <vector>

namespace banyanrill::daemon {

/// Exists on every daemon. Not thread-safe: part of the core task.
class OwnerRequests {
public:
  OwnerRequests(Context &context, WorkerGateway &workers, std::string ownerToken);

  void onForward(base::DaemonId from, wire::Forward request);

  /// Returns false if the token is not one of a dispatched request.
  bool onCallResult(CallToken token, const http::CallResult &result);

  /// Handles POST /v1/upstreams.
  void onAnnounce(http::ExchangeId exchange, const std::string &body);

  /// Gives the instance no new work from now on.
  void onLeaving(const base::UpstreamId &upstream);

  void tick();

  std::size_t inProgress() const { return this->running.size(); }
  std::size_t queued() const { return this->waiting.size(); }
  std::size_t instances() const { return this->upstreams.instances(); }

private:
  struct Request {
    base::DaemonId from = base::NoDaemon;
    wire::Forward forward;
    base::TimePoint deadline;
  };
  struct Running {
    Request request;
    routing::UpstreamLease lease;
    base::TimePoint startedAt;
  };

  /// A request without a complete answer. It may still run, so it keeps its slot and its capacity.
  struct Abandoned {
    std::string key;
    std::string requestId;
    routing::UpstreamLease lease;
    base::TimePoint startedAt;
    base::TimePoint abandonedAt;
    int announcementsWithout = 0;
  };

  bool dispatch(const std::string &key, Request &request);
  void release(const std::string &key, const routing::UpstreamLease &lease,
               routing::UpstreamOutcome outcome, base::TimePoint startedAt);
  void releaseEnded(const Announcement &announcement);
  void releaseExpired();
  void enqueue(const std::string &key, Request request);
  void dispatchWaiting(const std::string &service);
  void reply(const Request &request, wire::ForwardState state, base::Verdict verdict,
             const std::string &reason);
  void sendDigest();

  Context &context;
  WorkerGateway &workers;
  std::string ownerToken;
  routing::UpstreamTable upstreams;
  routing::AdmissionQueue queue;
  std::map<std::string, Request> waiting; ///< By request and attempt; those in the queue.
  std::map<CallToken, Running> running;
  std::vector<Abandoned> abandoned;
  std::map<std::string, CallToken> active; ///< By request and attempt; those running.
  std::uint64_t digestSequence = 0;
  base::TimePoint lastDigest;
  std::vector<routing::ServiceLoad> lastLoads;
};

} // namespace banyanrill::daemon
