// Notices that the process stood still, so that a leader gives no orders on the strength of a
// leadership that may have ended meanwhile.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>

namespace banyanrill::node {

/// Pure. Not thread-safe: owned by the node's task.
class PauseGuard {
public:
  /// Longer gaps between two checks count as a pause. Checks come with each tick, and a leader has
  /// a successor no sooner than after the election timeout, which is longer.
  static constexpr base::Duration MaxGap = std::chrono::milliseconds(300);

  /// A smaller difference of the clocks may come from scheduling delays.
  static constexpr std::int64_t MinSuspensionMs = 200;

  /// Returns whether orders may be given. `suspendedMs` is the total time that the machine was
  /// suspended, which the steady clock does not count. Call it before each round of orders.
  bool mayGiveOrders(base::TimePoint now, std::int64_t suspendedMs) {
    const bool paused = this->checked && (now - this->lastCheck > MaxGap ||
                                          suspendedMs - this->lastSuspendedMs >= MinSuspensionMs);
    this->checked = true;
    this->lastCheck = now;
    this->lastSuspendedMs = suspendedMs;
    if (paused)
      ++this->pauses;
    return this->pauses == this->confirmedPauses;
  }

  /// Identifies the pause after which leadership has to be confirmed.
  std::uint64_t pauseCount() const { return this->pauses; }

  /// Called when a majority has confirmed the leadership. `pause` is the count at the time of the
  /// question: a confirmation asked for before a later pause proves nothing after it.
  void onLeadershipConfirmed(std::uint64_t pause) { this->confirmedPauses = pause; }

private:
  bool checked = false;
  base::TimePoint lastCheck = base::TimePoint::min();
  std::int64_t lastSuspendedMs = 0;
  std::uint64_t pauses = 0;
  std::uint64_t confirmedPauses = 0;
};

} // namespace banyanrill::node
