// An upstream table of one service, for tests of single behaviours.
#pragma once

#include "Steps.h"

#include "banyanrill/routing/UpstreamTable.h"

namespace banyanrill::routing {

struct UpstreamFixture {
  explicit UpstreamFixture(UpstreamTableOptions options, std::uint64_t seed = 1)
      : table(options, base::RandomSource(seed)) {}

  /// Options without slow start.
  static UpstreamTableOptions immediate() {
    UpstreamTableOptions options;
    options.slowStart = base::Duration::zero();
    return options;
  }

  bool announce(const std::string &id, int slots, int inProgress = 0, std::uint16_t port = 1) {
    return this->table.announce({{id}, "t", "s", {"w"}, "127.0.0.1", port, slots, 64, inProgress},
                                at(this->now));
  }

  std::optional<UpstreamLease> acquire() {
    return this->table.acquire("t", "s", {}, at(this->now), [](const auto &) { return true; });
  }

  void release(const UpstreamLease &lease, UpstreamOutcome outcome,
               base::Duration duration = std::chrono::milliseconds(10)) {
    this->table.release(lease.id, outcome, duration, at(this->now));
  }

  int freeSlots() {
    const auto loads = this->table.loads(at(this->now));
    return loads.empty() ? 0 : loads.front().freeSlots;
  }

  UpstreamTable table;
  std::chrono::milliseconds now{0};
};

} // namespace banyanrill::routing
