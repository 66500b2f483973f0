// Guards against a stop that waits forever for a receive that begins at the same moment.
#include <thread>

#include "banyanrill/daemon/PeerTask.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::daemon;

TEST_GROUP(PeerTaskStop){};

TEST(PeerTaskStop, EndsWhileMessagesArrive) {
  Config config;
  for (const base::DaemonId id : {1, 2}) {
    Peer peer;
    peer.daemon = id;
    peer.address = "127.0.0.1";
    peer.peerPort = static_cast<std::uint16_t>(42100 + id);
    config.peers.push_back(peer);
  }
  Config other = config;
  config.daemon = 1;
  other.daemon = 2;
  const auto ignore = [](const wire::Envelope &) {};
  auto sender = PeerTask::start(config, 1, ignore);
  CHECK(static_cast<bool>(sender));
  std::atomic<bool> done{false};
  std::thread load([&] {
    while (!done) {
      sender.value()->send(2, wire::UpstreamLeaving{{"u"}});
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
  });
  for (int round = 0; round < 20; ++round) {
    auto receiver = PeerTask::start(other, 1, ignore);
    CHECK(static_cast<bool>(receiver));
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
  }
  done = true;
  load.join();
}
