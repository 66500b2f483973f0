// An entry daemon's side of callers' requests: checks, claims, choice of owner, retries, answers.
#pragma once

#include "banyanrill/daemon/Action.h"
#include "banyanrill/daemon/Proposals.h"
#include "banyanrill/routing/OwnerSelector.h"
#include "banyanrill/routing/RetryBudget.h"
#include "banyanrill/settings/Policy.h"
#include "banyanrill/settings/Tree.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::daemon {

/// Counts of what became of callers' requests.
struct RequestCounters {
  std::uint64_t accepted = 0;
  std::uint64_t answered = 0;
  std::uint64_t refusedDidNotRun = 0;
  std::uint64_t refusedMayHaveRun = 0;
  std::uint64_t replayed = 0; ///< Answered from a recorded outcome.
  std::uint64_t retried = 0;

  bool operator==(const RequestCounters &) const = default;
};

/// Exists on every daemon. Not thread-safe: part of the core task.
class EntryRequests {
public:
  EntryRequests(Context &context, Proposals &proposals);

  /// Handles POST /v1/requests/{team}/{service}/{operation}.
  void onRequest(http::ExchangeId exchange, const http::Request &request,
                 const settings::Tree &settings, base::DaemonId leader);
  void onDisconnect(http::ExchangeId exchange);
  void onForwardResult(const wire::ForwardResult &result);
  void onLoadDigest(base::DaemonId from, std::uint64_t incarnation, const wire::LoadReport &digest);

  /// Retries that are due, deadlines, claims held elsewhere.
  void tick(base::DaemonId leader);

  const RequestCounters &counters() const { return this->count; }
  std::size_t open() const { return this->requests.size(); }

private:
  enum class Step : std::uint8_t { Claiming, WaitingForHolder, Backoff, Forwarded };
  struct Pending {
    http::ExchangeId exchange = 0;
    bool callerGone = false;
    settings::OperationPolicy policy;
    wire::Forward forward;
    base::TimePoint deadline;
    Step step = Step::Claiming;
    base::TimePoint resumeAt; ///< For WaitingForHolder and Backoff.
    std::string claimKey;     ///< Empty if the request may be repeated.
    std::string digest;
    bool claimGranted = false;
    bool dispatchedBefore = false; ///< An earlier attempt may have run.
    std::int32_t attemptsThatRan = 0;
    std::vector<base::DaemonId> busyOwners;
    base::DaemonId owner = base::NoDaemon;
  };

  std::optional<Pending> parse(http::ExchangeId exchange, const http::Request &request,
                               const settings::Tree &settings);
  void claim(const std::string &id, base::DaemonId leader);
  void onClaimResult(const std::string &id, ProposalEnd end, const control::Result &result);
  void route(const std::string &id);
  void onFailedAttempt(const std::string &id, const wire::ForwardResult &result);
  void answer(const std::string &id, const wire::ForwardResult &result);
  void replay(const std::string &id, const routing::RecordedOutcome &outcome);
  void refuse(const std::string &id, int status, base::Verdict verdict, base::Errc code,
              const std::string &reason);
  void finish(const std::string &id, http::Response response);
  void closeClaim(const Pending &pending, base::Verdict verdict, const http::Response &response);
  void refuseRequest(http::ExchangeId exchange, int status, const base::Error &error);

  Context &context;
  Proposals &proposals;
  routing::OwnerSelector selector;
  routing::RetryBudget retries;
  std::map<std::string, Pending> requests;
  std::map<http::ExchangeId, std::string> byExchange;
  RequestCounters count;
  base::DaemonId lastLeader = base::NoDaemon;
};

} // namespace banyanrill::daemon
