// Chooses the owner daemon that gets a request, from the load that owners report.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"
#include "banyanrill/routing/UpstreamTable.h"

#include <memory>
#include <string>
#include <vector>

namespace banyanrill::routing {

/// Where a daemon runs.
struct Location {
  std::string region;
  std::string dataCentre;

  bool operator==(const Location &) const = default;
};

struct OwnerSelectorOptions {
  /// Owners report at least every 2 s; three reports may be lost.
  base::Duration digestTimeout = std::chrono::seconds(7);
  std::size_t owners = 64;             ///< Digests of more owners are ignored.
  std::size_t servicesPerOwner = 4096; ///< Further services in a digest are ignored.
};

/// Pure decisions; not thread-safe: owned by the core task.
class OwnerSelector {
public:
  OwnerSelector(OwnerSelectorOptions options, base::DaemonId self, Location here,
                base::RandomSource random);
  ~OwnerSelector();
  OwnerSelector(OwnerSelector &&) noexcept;
  OwnerSelector &operator=(OwnerSelector &&) noexcept;

  /// Replaces what is known of one owner. Older sequence numbers of one incarnation are ignored,
  /// and so are lower incarnations until what is known has passed the digest timeout.
  void updateDigest(base::DaemonId owner, const Location &where, std::uint64_t incarnation,
                    std::uint64_t sequence, const std::vector<ServiceLoad> &loads,
                    base::TimePoint now);

  void forget(base::DaemonId owner);

  /// Best owner for one more request of the service, or `NoDaemon`. Counts the request against the
  /// reported free slots until the next digest. Order: this daemon, its data centre, its region,
  /// and other regions only with `crossRegion`; within one of these, the better of two random
  /// owners with free slots; without free slots, the one with most slots, of this region if it has
  /// any.
  base::DaemonId select(const std::string &team, const std::string &service, bool crossRegion,
                        const std::vector<base::DaemonId> &avoid, base::TimePoint now);

  /// Whether any owner is known to have instances of the service.
  bool knows(const std::string &team, const std::string &service, base::TimePoint now) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::routing
