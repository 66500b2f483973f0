// Upstream instances on the workers that this daemon owns: slots, connections, health.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::routing {

/// What an upstream instance announces every 5 s.
struct UpstreamAnnouncement {
  base::UpstreamId id;
  std::string team;
  std::string service;
  base::WorkerId worker;
  std::string host;
  std::uint16_t port = 0;
  std::int32_t slots = 0;
  std::int32_t connections = 0;
  std::int32_t inProgress = 0; ///< Requests it runs for other owners than the receiver.

  bool operator==(const UpstreamAnnouncement &) const = default;
};

struct UpstreamTableOptions {
  /// Two announcements may be lost before an instance counts as gone.
  base::Duration announcementTimeout = std::chrono::seconds(12);
  /// Consecutive failures after which an instance is ejected.
  std::int32_t ejectAfterFailures = 5;
  base::Duration ejectionTime = std::chrono::seconds(10);
  /// Share of a service's instances, in percent, that stays in use however many fail.
  std::int32_t healthyFloorPercent = 50;
  /// A new instance reaches its full slots after this time.
  base::Duration slowStart = std::chrono::seconds(5);
  std::size_t instancesPerWorker = 16;
};

/// A slot and connection taken for one request.
struct UpstreamLease {
  base::UpstreamId id;
  base::WorkerId worker;
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const UpstreamLease &) const = default;
};

struct ServiceLoad {
  std::string team;
  std::string service;
  std::int32_t freeSlots = 0;
  std::int32_t totalSlots = 0;

  bool operator==(const ServiceLoad &) const = default;
};

/// Outcome of a request, as far as the health of the instance goes.
enum class UpstreamOutcome : std::uint8_t { Success, Failure, ConnectFailure };

/// Takes whether the worker's ledger admits a request.
template <typename F>
concept CapacityCheck = requires(F f, const base::WorkerId &worker) {
  { f(worker) } -> std::convertible_to<bool>;
};

/// Pure decisions; not thread-safe: owned by the core task.
class UpstreamTable {
public:
  UpstreamTable(UpstreamTableOptions options, base::RandomSource random);
  ~UpstreamTable();
  UpstreamTable(UpstreamTable &&) noexcept;
  UpstreamTable &operator=(UpstreamTable &&) noexcept;

  /// Adds or renews an instance; its announced requests of other owners take slots until the next
  /// announcement. An instance with another address is another process; requests to the former one
  /// take slots until they are released. Returns false at the bound of instances for a worker.
  bool announce(const UpstreamAnnouncement &announcement, base::TimePoint now);

  /// No new work for this instance from now on; it is forgotten when its last request ends.
  void leave(const base::UpstreamId &id);

  /// Forgets the instances of a worker that this daemon no longer owns.
  void dropWorker(const base::WorkerId &worker);

  /// Takes a slot and a connection on the best instance of the service for which `admits` is true,
  /// or returns nothing. `avoid` excludes instances that an earlier attempt used.
  template <CapacityCheck Check>
  std::optional<UpstreamLease> acquire(const std::string &team, const std::string &service,
                                       const std::vector<base::UpstreamId> &avoid,
                                       base::TimePoint now, Check admits) {
    for (const UpstreamLease &candidate : this->candidates(team, service, avoid, now)) {
      if (!admits(candidate.worker))
        continue;
      this->take(candidate.id);
      return candidate;
    }
    return std::nullopt;
  }

  /// Returns the slot. `duration` feeds the measured service time.
  void release(const base::UpstreamId &id, UpstreamOutcome outcome, base::Duration duration,
               base::TimePoint now);

  /// Removes instances that fell silent; returns their identifiers.
  std::vector<base::UpstreamId> expire(base::TimePoint now);

  std::vector<ServiceLoad> loads(base::TimePoint now) const;

  /// Smoothed time from dispatch to the end of the answer; zero if nothing was measured.
  base::Duration serviceTime(const std::string &team, const std::string &service) const;

  std::size_t instances() const;
  std::int32_t inProgress(const base::UpstreamId &id) const;

private:
  std::vector<UpstreamLease> candidates(const std::string &team, const std::string &service,
                                        const std::vector<base::UpstreamId> &avoid,
                                        base::TimePoint now);
  void take(const base::UpstreamId &id);

  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::routing
