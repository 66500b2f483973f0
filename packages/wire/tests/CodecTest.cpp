// Guards against fields that are read in another order or with another type than they were written,
// and against input that crashes the reader.
#include "banyanrill/wire/Codec.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;

TEST_GROUP(Codec){static wire::Envelope forward(){wire::Forward body;
body.requestId = std::string("\x00\x01id", 4);
body.team = "riga";
body.demand = {1500, 64, 1};
body.remainingMs = -1;
body.excludedUpstreams = {{"gauge-1"}, {"gauge-2"}};
return {1, 2, 77, body};
}
}
;

TEST(Codec, RoundTripsAForward) {
  const wire::Envelope sent = forward();
  const auto received = wire::decodeEnvelope(wire::encode(sent));
  CHECK(received.ok());
  CHECK(received.value() == sent);
}

TEST(Codec, RoundTripsAnAppendWithSnapshot) {
  consensus::Message message;
  message.entries = {{5, 2, consensus::EntryKind::Command, "payload"}};
  message.snapshot = consensus::Snapshot{4, 2, {{1, 2, 3}, {4}}, "state"};
  const wire::Envelope sent{1, 2, 3, message};
  const auto received = wire::decodeEnvelope(wire::encode(sent));
  CHECK(received.ok());
  CHECK(received.value() == sent);
}

TEST(Codec, RoundTripsABatch) {
  settings::Change change{"id", "operator", 12, {{"/teams/a/notes/b", "1", 3}}};
  const control::Batch sent{99, {control::ChangeSettings{change}, control::ReleaseClaim{"k", {}}}};
  const auto received = wire::decodeBatch(wire::encode(sent));
  CHECK(received.ok());
  CHECK(received.value() == sent);
}

TEST(Codec, RejectsEveryTruncation) {
  const std::string bytes = wire::encode(forward());
  for (std::size_t length = 0; length < bytes.size(); ++length)
    CHECK(!wire::decodeEnvelope(bytes.substr(0, length)).ok());
}

TEST(Codec, RejectsAnUnknownKindOfMessage) {
  std::string bytes = wire::encode(wire::Envelope{1, 2, 3, wire::HeartbeatAck{4}});
  // The envelope ends with [kind, [sequence]]; the kind is the third byte from the end.
  bytes[bytes.size() - 3] = 0x7f;
  CHECK(!wire::decodeEnvelope(bytes).ok());
}
