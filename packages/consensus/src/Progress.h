// The leader's view of one peer: what it holds, what is in flight, and how fast to send.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/consensus/Message.h"

#include <deque>
#include <memory>

namespace banyanrill::consensus {

enum class ProgressMode : std::uint8_t {
  Probe,     ///< The end of the peer's log is unknown: one append at a time.
  Replicate, ///< Appends are pipelined up to the in-flight bound.
  Snapshot,  ///< Chunks of a snapshot, one at a time.
};

/// An append that the peer has not acknowledged.
struct UnansweredAppend {
  Index last = 0; ///< Its last entry.
  std::uint64_t bytes = 0;

  bool operator==(const UnansweredAppend &) const = default;
};

struct Progress {
  ProgressMode mode = ProgressMode::Probe;
  Index match = 0;                       ///< Highest index known to be durable on the peer.
  Index next = 1;                        ///< First index of the next append.
  bool waiting = false;                  ///< Probe and Snapshot: a message is unanswered.
  std::deque<UnansweredAppend> inFlight; ///< Replicate only.
  std::uint64_t bytesInFlight = 0;       ///< Of all unanswered messages.
  /// Of messages that were sent again since the last progress, and may still be on their way.
  std::uint64_t supersededBytes = 0;
  bool isLost = false; ///< At least one of them did not arrive.
  base::TimePoint lastContact{};
  base::TimePoint waitingSince{};           ///< For the answer that is due next.
  std::uint64_t readRound = 0;              ///< Highest read round that the peer confirmed.
  std::shared_ptr<const Snapshot> snapshot; ///< Being sent; kept if the leader compacts again.
  std::uint64_t offset = 0;                 ///< Bytes of the snapshot that the peer holds.
  std::uint64_t repeats = 0;                ///< Messages sent again, unanswered or rejected.

  bool operator==(const Progress &) const = default;
};

void startProbe(Progress &progress, Index next);
void startSnapshot(Progress &progress, std::shared_ptr<const Snapshot> snapshot);
/// Records that the peer holds everything up to `match`. `canReplicate`: the leader still holds the
/// entry after it.
void acknowledge(Progress &progress, Index match, bool canReplicate, base::TimePoint now);
/// Records that a message with entries or a part of a snapshot is sent.
void noteSent(Progress &progress, Index last, std::uint64_t bytes, base::TimePoint now);
/// Allows messages to be sent again that are lost, or unanswered for `patience` and the time that
/// `minBytesPerSecond` takes to carry what is in flight.
void retryIfStalled(Progress &progress, base::Duration patience, std::uint64_t minBytesPerSecond,
                    base::TimePoint now);

} // namespace banyanrill::consensus
