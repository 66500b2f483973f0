// Guards against lost, changed or doubled commits under any combination of the modelled faults.
#include "Scenario.h"

#include <csignal>
#include <cstdio>
#include <exception>
#include <rapidcheck.h>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::consensus::testing;

namespace {

std::uint64_t currentSeed = 0;

// An assertion in the code under test ends the process before RapidCheck can report the seed.
void reportSeed(int) { std::fprintf(stderr, "scenario seed %llu\n", 0ULL + currentSeed); }

std::string failureOf(std::uint64_t seed) {
  currentSeed = seed;
  try {
    runScenario(seed);
  } catch (const std::exception &violation) {
    return "scenario seed " + std::to_string(seed) + ": " + violation.what();
  }
  return {};
}

} // namespace

TEST_GROUP(SafetyProperty){void setup() override{std::signal(SIGABRT, reportSeed);
}
void teardown() override { std::signal(SIGABRT, SIG_DFL); }
}
;

TEST(SafetyProperty, holdsUnderRandomFaults) {
  CHECK(rc::check("a group stays safe under faults and recovers after them", [] {
    const auto seed =
        *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
    const std::string failure = failureOf(seed);
    if (!failure.empty()) {
      RC_FAIL(failure);
    }
  }));
}

// The peer's log conflicted at the leader's base, and the leader probed there forever instead of
// sending its snapshot.
TEST(SafetyProperty, recoversAfterConflictAtTheLeadersBase) {
  STRCMP_EQUAL("", failureOf(16683472565336699000ULL).c_str());
}

// The leader compacted again while it sent a snapshot, and kept sending the old one forever.
TEST(SafetyProperty, recoversWhenASnapshotIsOutdatedDuringItsTransfer) {
  STRCMP_EQUAL("", failureOf(5750704915771530545ULL).c_str());
}

// Fails if a vote is answered before it is durable: two leaders in a term.
TEST(SafetyProperty, keepsVotesOverCrashes) {
  STRCMP_EQUAL("", failureOf(12498719815718936802ULL).c_str());
}

// Fails if entries of earlier terms are committed by counting: a committed entry changes.
TEST(SafetyProperty, keepsCommitsOfLeadersThatFailInTheMiddle) {
  STRCMP_EQUAL("", failureOf(13669327044402435651ULL).c_str());
}
