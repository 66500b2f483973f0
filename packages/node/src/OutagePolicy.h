// What a node does with requests while it hears from no leader.
#pragma once

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"

#include <cstdint>

namespace banyanrill::node {

/// Whether a request waits for a leader.
struct OutageDecision {
  bool hold = true;
  std::int64_t retryAfterMs = 0; ///< Of a refusal: when to come back.

  bool operator==(const OutageDecision &) const = default;
};

/// Answers the load of callers that come while no leader answers: an ordinary election ends within
/// their time, so they wait; a longer outage mostly does not, and a caller that is refused at once
/// comes back while one that waits in vain loses its time. Pure and thread-safe.
class OutagePolicy {
public:
  /// Without contact for longer, an ordinary election would have ended and this node would know of
  /// it. The last contact is up to 600 ms older than the loss (a heartbeat interval and a tick),
  /// the election takes up to 1,100 ms, and a new leader is found within 300 ms (a discovery
  /// interval, a tick and two answers).
  static constexpr base::Duration OrdinaryOutage = std::chrono::milliseconds(2000);

  /// Callers that are refused return within this time at most: later ones would miss the targets of
  /// most queues also if they were served at once.
  static constexpr base::Duration MaxRetryTime = std::chrono::milliseconds(4000);

  /// The shortest time over which the returns are spread. Answers carry whole seconds, so fewer
  /// would be no spread at all.
  static constexpr base::Duration MinRetryTime = std::chrono::milliseconds(2000);

  /// Returns whether the node knows that no ordinary election explains the silence.
  /// `withoutLeader` is the time since the last contact with a leader, or since the process started
  /// or woke if there was none; 0 while the node leads.
  static bool isOutage(base::Duration withoutLeader);

  /// Decides about a request with this time left. A request is refused if its time ends before a
  /// leader can be expected: within an ordinary election that is never known; beyond it, what is
  /// left of an outage is mostly as long as what has passed of it.
  static OutageDecision decide(base::Duration withoutLeader, base::Duration timeLeft,
                               base::RandomSource &random);

  /// Returns when a refused caller should come back: within the time that the outage is expected to
  /// last yet, spread evenly, so that the callers of an outage do not return together.
  static std::int64_t retryAfterMs(base::Duration withoutLeader, base::RandomSource &random);
};

} // namespace banyanrill::node
