// Guards against an upstream that receives more requests than its slots or connections.
#include "Steps.h"

#include "banyanrill/routing/UpstreamTable.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::routing;

namespace {

/// The instance as it really is, of which the table sees only announcements.
struct Real {
  std::uint16_t port = 1000;
  int limit = 0;
  int foreign = 0; ///< Requests of an earlier owner.
  int ours = 0;    ///< Leases not yet released.
  bool usable = false;
  bool owned = true;
};

UpstreamAnnouncement announcementOf(int id, const Real &real, int slots, int connections) {
  return {{"u" + std::to_string(id)},
          "t",
          "s",
          {"w" + std::to_string(id % 2)},
          "127.0.0.1",
          real.port,
          slots,
          connections,
          real.foreign};
}

void keepLimits() {
  UpstreamTable table({}, base::RandomSource(*rc::gen::arbitrary<std::uint64_t>()));
  std::map<int, Real> real;
  std::vector<int> leases;
  std::chrono::milliseconds now(0);
  for (const auto &[kind, a, b, c] : anySteps(10)) {
    const int id = a % 3;
    Real &instance = real[id];
    if (kind <= 1) {
      const int slots = b % 5;
      const int connections = c % 5;
      RC_ASSERT(table.announce(announcementOf(id, instance, slots, connections), at(now)));
      instance.limit = std::min(slots, connections);
      instance.owned = instance.usable = true;
    } else if (kind <= 4) {
      const auto lease = table.acquire("t", "s", {}, at(now), [](const auto &) { return true; });
      if (!lease)
        continue;
      const int chosen = lease->id.value[1] - '0';
      Real &target = real[chosen];
      RC_ASSERT(target.usable && target.owned && lease->port == target.port);
      ++target.ours;
      leases.push_back(chosen);
      RC_ASSERT(target.ours + target.foreign <= target.limit);
      RC_ASSERT(table.inProgress(lease->id) >= target.ours + target.foreign);
    } else if (kind == 5 && !leases.empty()) {
      const auto which = leases.begin() + b % static_cast<int>(leases.size());
      --real[*which].ours;
      table.release({"u" + std::to_string(*which)}, static_cast<UpstreamOutcome>(c % 3),
                    std::chrono::milliseconds(b), at(now));
      leases.erase(which);
    } else if (kind == 6) {
      table.leave({"u" + std::to_string(id)});
      instance.usable = false;
      ++instance.port; // The next announcement comes from another process.
      instance.foreign = 0;
    } else if (kind == 7) {
      now += std::chrono::milliseconds(c * 5);
      for (const auto &silent : table.expire(at(now)))
        real[silent.value[1] - '0'].usable = false;
    } else if (kind == 8) {
      // Another owner takes the worker and gives its instances requests of its own.
      table.dropWorker({"w" + std::to_string(a % 2)});
      for (auto &[other, state] : real) {
        if (other % 2 != a % 2)
          continue;
        state.owned = false;
        state.foreign = std::max(state.foreign, std::min(b % 5, state.limit));
      }
    } else {
      instance.foreign = std::max(instance.foreign - 1, 0);
    }
  }
  for (const int id : leases)
    table.release({"u" + std::to_string(id)}, UpstreamOutcome::Success, {}, at(now));
  table.expire(at(now + std::chrono::seconds(12)));
  RC_ASSERT(table.instances() == 0U);
}

} // namespace

TEST_GROUP(UpstreamSlots){};

TEST(UpstreamSlots, NeverExceeded) { CHECK(rc::check("slots are never exceeded", keepLimits)); }
