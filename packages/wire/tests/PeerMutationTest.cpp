// Guards against messages from peers and log entries that end the process instead of being refused.
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/wire/PeerCodec.h"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;

namespace {

constexpr int Mutants = 20000;

jobs::CommandBatch someBatch() {
  jobs::JobSpec spec;
  spec.id = "5c0e7a21d94b36f8";
  spec.steps.resize(2);
  spec.steps[1].after = {0};
  jobs::WorkerProfile profile;
  profile.incarnation = {"i-1", 17};
  profile.labels = {"a", "r1-3"};
  const jobs::RunKey run{{spec.id, 0, 1, 3}, 1};
  return {17,
          {jobs::AcceptJob{spec, {}, {}}, jobs::RegisterWorker{profile},
           jobs::RestartWorker{{"i-1", 16}, profile}, jobs::PlaceRuns{3, {{run, "i-1"}}},
           jobs::RecordEnds{{"i-1", 17}, {{1, run, jobs::EndKind::Failed, "c"}}}}};
}

std::string mutate(std::string bytes, base::RandomSource &random) {
  const std::uint64_t changes = 1 + random.below(3);
  for (std::uint64_t change = 0; change < changes && !bytes.empty(); ++change) {
    const std::size_t at = random.below(bytes.size());
    switch (random.below(3)) {
    case 0:
      bytes[at] = static_cast<char>(random.below(256));
      break;
    case 1:
      bytes.erase(at, 1 + random.below(4));
      break;
    default:
      bytes.insert(at, std::string(1 + random.below(4), static_cast<char>(random.below(256))));
      break;
    }
  }
  return bytes;
}

} // namespace

TEST_GROUP(PeerMutation){};

TEST(PeerMutation, IsReadOrRefused) {
  base::RandomSource random(20261205);
  jobs::Table table;
  table.apply(someBatch());
  wire::ForwardedRequest forwarded;
  forwarded.request = jobs::SubmitRequest{"h", "/p/5c0e7a21d94b36f8", {}, {}};
  const std::array<std::string, 3> valid = {wire::encode(someBatch()), wire::encode(table.state()),
                                            wire::encode(wire::PeerRequest(forwarded))};
  for (const std::string &bytes : valid) {
    for (int count = 0; count < Mutants; ++count) {
      const std::string mutant = mutate(bytes, random);
      try {
        wire::decodeCommandBatch(mutant);
        wire::decodeTableState(mutant);
        wire::decodePeerRequest(mutant);
        wire::decodePeerReply(mutant);
      } catch (const std::exception &failure) {
        FAIL(failure.what());
      }
    }
  }
}
