// Guards against messages that are decoded differently from how they were encoded, and against
// malformed messages that are accepted.
#include "banyanrill/wire/PeerCodec.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::wire;

namespace {

jobs::SubmitRequest submission() {
  jobs::SubmitRequest request{"host", "/q/1", {}, "key"};
  jobs::Step step;
  step.count = 3;
  step.demand = {100, 200, 1};
  step.after = {0, 1};
  step.requiredLabel = "a";
  request.spec.steps = {step};
  return request;
}

RelayedOrders relayedOrders() {
  jobs::StartOrder start;
  start.id = {3, 7};
  start.target = {"w", "10.0.0.1:80", 3};
  start.run = {{"job", 0, 1, 2}, 4};
  start.leaseUntilMs = 99;
  jobs::RenewLeaseOrder hold;
  hold.id = {3, 8};
  hold.leaseUntilMs = 5;
  return {3, "10.0.0.2:7", {start, hold}};
}

} // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, ReadsWhatItWrote) {
  const PeerRequest requests[] = {
      membership::PeerHeartbeat{{1, "a:1", "b:1", "dc", "r", true, false}, true, {1, 2}},
      ReplicaMessages{{consensus::Message{}}},
      ForwardedRequest{9, submission(), 4},
      AdviceRequest{{"job", 0, 1}, {"w1", "w2"}, 30},
      relayedOrders(),
      RelayedAnswers{3, {{{3, 7}, jobs::OrderAnswer{jobs::OrderOutcome::NoRoom, 12}}}},
  };
  for (const PeerRequest &request : requests) {
    const base::Result<PeerRequest> read = decodePeerRequest(encode(request));
    CHECK(read.ok());
    CHECK(read.value() == request);
  }
}

TEST(PeerCodec, ReadsTheTable) {
  jobs::TableState state;
  state.waves[3] = {3, {"m1", "m2"}, 20000, 2, 5};
  state.members[1] = {1, "a:1", "r"};
  state.workers["w"].placements[{"job", 0, 0, 1}] = {2, 3, true};
  const base::Result<jobs::TableState> read = decodeTableState(encode(state));
  CHECK(read.ok());
  CHECK(read.value() == state);
}

TEST(PeerCodec, RefusesTruncatedAndExtendedMessages) {
  const std::string bytes = encode(PeerRequest(relayedOrders()));
  for (std::size_t length = 0; length < bytes.size(); ++length)
    CHECK(!decodePeerRequest(std::string_view(bytes).substr(0, length)).ok());
  std::string extended = bytes;
  extended.push_back('x');
  CHECK(!decodePeerRequest(extended).ok());
}
