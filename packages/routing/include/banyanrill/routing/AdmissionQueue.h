// Bounded queue of requests that wait for a slot at their owner.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::routing {

struct QueuedRequest {
  std::string requestId;
  std::string team;
  std::string service;
  std::int32_t priority = 0;
  base::TimePoint deadline;

  bool operator==(const QueuedRequest &) const = default;
};

enum class Admission : std::uint8_t {
  Queued,
  QueueFull,        ///< The team's bound is reached.
  DeadlineTooShort, ///< Cannot finish in time by the measured service time and the queue ahead.
};

struct AdmissionOptions {
  std::size_t perTeam = 64;
};

/// Served by priority, then by team in turn (deficit round robin), so that a flood from one team
/// does not delay another's. Not thread-safe: owned by the core task.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionOptions options);
  ~AdmissionQueue();
  AdmissionQueue(AdmissionQueue &&) noexcept;
  AdmissionQueue &operator=(AdmissionQueue &&) noexcept;

  /// \param serviceTime measured time of one request; zero if unknown, then nothing is refused
  /// early. \param slots slots that serve this queue.
  Admission push(const QueuedRequest &request, base::Duration serviceTime, std::int32_t slots,
                 base::TimePoint now);

  /// Takes the next request of a service whose deadline has not passed.
  std::optional<QueuedRequest> pop(const std::string &service, base::TimePoint now);

  /// Removes a request whose caller has gone; returns whether it was queued.
  bool remove(const std::string &requestId);

  /// Removes the requests whose deadline has passed.
  std::vector<QueuedRequest> expire(base::TimePoint now);

  std::size_t size() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::routing
