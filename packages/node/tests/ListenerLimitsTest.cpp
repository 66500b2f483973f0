// Guards against limits of a listener that refuse a client of the deployments, or that together
// exceed what the process has.
#include "../src/ListenerLimits.h"
#include "../src/MessageLimits.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::node;

namespace {

constexpr std::size_t MiB = std::size_t{1024} * 1024;

constexpr ListenerKind Kinds[] = {ListenerKind::Peer, ListenerKind::Control, ListenerKind::Front,
                                  ListenerKind::Ready, ListenerKind::Metrics};

} // namespace

TEST_GROUP(ListenerLimits){};

TEST(ListenerLimits, LeaveRoomInTheProcess) {
  for (const std::size_t memoryMb : {std::size_t(160), std::size_t(384)}) {
    std::size_t memory = 0;
    std::size_t connections = 0;
    for (const ListenerKind kind : Kinds) {
      memory += receiveLimitsOf(kind, memoryMb * MiB, 4100).memoryBytes;
      connections += receiveLimitsOf(kind, memoryMb * MiB, 4100).connections;
    }
    CHECK(memory <= memoryMb * MiB / 2);
    CHECK(connections <= 3900 - 900); // Calls to 350 workers, and to peers.
  }
}

TEST(ListenerLimits, EveryListenerTakesItsLargestRequest) {
  for (const ListenerKind kind : Kinds)
    CHECK(receiveLimitsOf(kind, 16 * MiB, 0).memoryBytes > maxBodyBytesOf(kind));
  LONGS_EQUAL(4 * MiB, maxBodyBytesOf(ListenerKind::Control));
  CHECK(maxBodyBytesOf(ListenerKind::Peer) >= 8 * MiB);
}

TEST(ListenerLimits, UnknownLimitsGiveTheDefaults) {
  for (const ListenerKind kind : Kinds)
    CHECK(receiveLimitsOf(kind, 0, 0) == banyanrill::http::ReceiveLimits());
}
