// The operators' HTTP interface: settings, audit, status, jobs, health and metrics.
#pragma once

#include "banyanrill/daemon/Action.h"
#include "banyanrill/daemon/Leader.h"
#include "banyanrill/daemon/Proposals.h"
#include "banyanrill/daemon/Replication.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::daemon {

/// Who sent a request, by its token.
struct Identity {
  std::string name;
  bool admin = false;
  std::string team;

  bool operator==(const Identity &) const = default;
};

/// What the interface shows of the rest of the daemon.
struct StatusReport {
  std::string role;
  base::DaemonId leader = base::NoDaemon;
  bool stopping = false;
  bool storageFailed = false;
  /// Name and value, for status and metrics alike.
  std::vector<std::pair<std::string, std::uint64_t>> figures;
};

/// Exists on every daemon; what needs the leader's state is passed on to the leader's daemon.
/// Not thread-safe: part of the core task.
class Operators {
public:
  /// \param replication null on a daemon without a disk.
  /// \param leaderDuties null on a daemon without a disk.
  Operators(Context &context, Proposals &proposals, const Replication *replication,
            const Leader *leaderDuties);

  /// Handles a request under /v1/settings, /v1/changes, /v1/audit, /v1/status, /v1/jobs, /health or
  /// /metrics.
  void onRequest(http::ExchangeId exchange, const http::Request &request,
                 const settings::Tree &settings, const StatusReport &status);
  void onDisconnect(http::ExchangeId exchange);

  /// Returns false if the token is not one of a request passed on.
  bool onCallResult(CallToken token, const http::CallResult &result);

  /// Answers watches that have news or have waited long enough.
  void tick(const settings::Tree &settings);

private:
  struct Watch {
    http::ExchangeId exchange = 0;
    settings::Revision from = 0;
    std::string prefix;
    base::TimePoint until;
  };

  std::optional<Identity> identify(const http::Request &request,
                                   const settings::Tree &settings) const;
  void getSettings(http::ExchangeId exchange, const http::Request &request,
                   const Identity &identity, const settings::Tree &settings);
  void postChange(http::ExchangeId exchange, const http::Request &request,
                  const Identity &identity);
  void watch(http::ExchangeId exchange, const http::Request &request, const Identity &identity,
             const settings::Tree &settings);
  bool answerWatch(const Watch &watch, const settings::Tree &settings);
  void getAudit(http::ExchangeId exchange, const http::Request &request, const Identity &identity);
  void getJobs(http::ExchangeId exchange, const Identity &identity);
  void explainJob(http::ExchangeId exchange, const http::Request &request,
                  const Identity &identity);
  void getStatus(http::ExchangeId exchange, const settings::Tree &settings,
                 const StatusReport &status);
  void passToLeader(http::ExchangeId exchange, const http::Request &request, base::DaemonId leader);
  void respondOutcome(http::ExchangeId exchange, const settings::Outcome &outcome);
  void refuse(http::ExchangeId exchange, const base::Error &error);
  bool leadsHere() const;

  Context &context;
  Proposals &proposals;
  const Replication *replication;
  const Leader *leaderDuties;
  std::map<CallToken, http::ExchangeId> passed;
  std::vector<Watch> watches;
};

} // namespace banyanrill::daemon
