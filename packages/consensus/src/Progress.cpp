#include "Progress.h"

#include "banyanrill/base/TransferTime.h"

#include <algorithm>
#include <utility>

namespace banyanrill::consensus {

namespace {

void clearInFlight(Progress &progress) {
  progress.waiting = false;
  progress.inFlight.clear();
  progress.bytesInFlight = 0;
  progress.isLost = false;
}

} // namespace

void startProbe(Progress &progress, Index next) {
  clearInFlight(progress);
  progress.mode = ProgressMode::Probe;
  progress.next = std::max(next, progress.match + 1);
  progress.snapshot.reset();
}

void startSnapshot(Progress &progress, std::shared_ptr<const Snapshot> snapshot) {
  clearInFlight(progress);
  progress.mode = ProgressMode::Snapshot;
  progress.snapshot = std::move(snapshot);
  progress.offset = 0;
}

void acknowledge(Progress &progress, Index match, bool canReplicate, base::TimePoint now) {
  const bool advanced = match > progress.match;
  if (advanced) {
    progress.match = match;
    progress.waitingSince = now;
    progress.supersededBytes = 0;
  }
  while (!progress.inFlight.empty() && progress.inFlight.front().last <= match) {
    progress.bytesInFlight -= progress.inFlight.front().bytes;
    progress.inFlight.pop_front();
  }
  progress.next = std::max(progress.next, progress.match + 1);
  if (progress.mode == ProgressMode::Snapshot &&
      (progress.match >= progress.snapshot->index || (advanced && canReplicate))) {
    // Without the following entry, the probe leads to a newer snapshot.
    startProbe(progress, progress.match + 1);
  }
  // The answer to a heartbeat says nothing about a probe with entries that is still on its way.
  const bool isAnswered = match + 1 == progress.next && progress.bytesInFlight == 0;
  if (progress.mode == ProgressMode::Probe && canReplicate && (advanced || isAnswered)) {
    clearInFlight(progress);
    progress.mode = ProgressMode::Replicate;
    progress.next = progress.match + 1;
  }
}

void noteSent(Progress &progress, Index last, std::uint64_t bytes, base::TimePoint now) {
  if (progress.mode != ProgressMode::Replicate) {
    progress.waiting = true;
    progress.bytesInFlight = bytes;
    progress.waitingSince = now;
    return;
  }
  if (progress.inFlight.empty()) {
    progress.waitingSince = now;
  }
  progress.inFlight.push_back({last, bytes});
  progress.bytesInFlight += bytes;
}

void retryIfStalled(Progress &progress, base::Duration patience, std::uint64_t minBytesPerSecond,
                    base::TimePoint now) {
  // A probe without entries is small and is sent with each heartbeat.
  const bool isSmallProbe = progress.mode == ProgressMode::Probe && progress.bytesInFlight == 0;
  const base::Duration limit =
      (isSmallProbe ? base::Duration() : patience) +
      base::transferTime(progress.bytesInFlight + progress.supersededBytes, minBytesPerSecond);
  if (!progress.isLost && now - progress.waitingSince < limit) {
    return;
  }
  if (!progress.waiting && progress.inFlight.empty()) {
    return;
  }
  // What is certainly lost delays nothing.
  progress.supersededBytes =
      progress.isLost ? 0 : progress.supersededBytes + progress.bytesInFlight;
  progress.isLost = false;
  if (progress.mode == ProgressMode::Replicate) {
    progress.repeats += progress.inFlight.size();
    startProbe(progress, progress.match + 1);
    return;
  }
  ++progress.repeats;
  progress.waiting = false;
}

} // namespace banyanrill::consensus
