// What the leader keeps about callers and their keys.
#pragma once

#include "AuthorityAge.h"
#include "banyanrill/jobs/Api.h"
#include "banyanrill/jobs/KeyTable.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace banyanrill::node {

using ReplyTo = std::function<void(jobs::Reply)>;

/// Requests that carry the key of a workspace.
template <typename Request>
concept CallerRequest = requires(const Request &request) {
  request.key;
};

/// Why the leader did not serve a caller.
enum class CallerRefusal : std::uint8_t { KeyAbsent, KeyUnknown, ForeignJob, Unconfirmed };

constexpr std::array<std::string_view, 4> CallerRefusalNames = {"key_absent", "key_unknown",
                                                                "foreign_job", "unconfirmed"};

/// A request whose key is being checked: what it found when it arrived.
struct CallerCheck {
  std::uint64_t roundsAtArrival = 0;
  base::TimePoint latest; ///< It waits for no confirmation round after this.
};

struct AuthorityWaiter {
  base::TimePoint latest;
  std::function<void(bool confirmed)> proceed;
};

struct WorkspaceCounters {
  std::uint64_t served = 0;  ///< Requests whose key was accepted.
  std::uint64_t foreign = 0; ///< Requests about another workspace's job.
};

struct RefusalCounter {
  std::uint64_t total = 0;
  std::uint64_t logged = 0; ///< Of the total, those that a log line has told.
  base::TimePoint nextLog = base::TimePoint::min();
};

/// Owned by the node's task.
struct CallerAuthority {
  explicit CallerAuthority(base::Duration maxAge) : age(maxAge) {}

  jobs::KeyTable keys; ///< Of the configuration in force when this node last led.
  AuthorityAge age;
  std::vector<AuthorityWaiter> waiters;
  base::TimePoint nextRound = base::TimePoint::min();
  base::TimePoint lastRequest = base::TimePoint::min(); ///< With a key.
  std::map<std::string, WorkspaceCounters> workspaces;  ///< At most `MaxCountedWorkspaces` + 1.
  std::array<RefusalCounter, CallerRefusalNames.size()> refusals;

  /// The counters of a workspace, or the shared ones of those that came too late.
  WorkspaceCounters &countersOf(const std::string &workspace);
  std::string metricsText() const;
};

} // namespace banyanrill::node
