// Guards against a former leader of a real group that still accepts a withdrawn key: it is frozen,
// cut off in one or both directions, or restarted, and is asked before it notices anything.
#include "../src/AuthorityAge.h"
#include "SimulatedCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::node;
using namespace banyanrill::node::testing;
using std::chrono::milliseconds;

namespace {

constexpr base::Duration MaxAge = milliseconds(2000);
constexpr std::uint64_t Days = 40;

/// The part of a leader that answers requests with the key.
struct Gate {
  AuthorityAge age{MaxAge};
  std::uint64_t life = 0;
  consensus::Term term = 0;
  std::uint64_t round = 0;
  std::uint64_t context = 0;
};

struct Day {
  SimulatedCell cell;
  std::vector<Gate> gates;
  std::string withdrawal; ///< The command that withdraws the key; empty until it is sent.
  std::optional<base::TimePoint> acknowledged;
  std::uint64_t lastContext = 0;
  std::size_t successes = 0;
  std::size_t lateSuccesses = 0; ///< Later than the age allows after the acknowledgement.

  explicit Day(std::uint64_t seed) : cell(seed, {3, 2, 1}), gates(3) {}

  void ask(std::size_t index) {
    SimulatedMachine &machine = this->cell.machine(index);
    if (machine.frozen || !machine.process || !machine.process->leaderSince ||
        machine.process->replica->role() != consensus::Role::Leader)
      return;
    Process &process = *machine.process;
    Gate &gate = this->gates[index];
    if (gate.life != machine.life || gate.term != process.replica->term()) {
      gate.life = machine.life;
      gate.term = process.replica->term();
      gate.age.reset();
    }
    if (gate.age.isRoundOpen() && process.confirmedReads.count(gate.context) != 0)
      gate.age.endRound(gate.round, true);
    const base::Duration now = this->cell.now.time_since_epoch();
    const Authority authority = gate.age.check(now);
    const bool keyHolds = this->withdrawal.empty() || process.values.count(this->withdrawal) == 0;
    if (authority != Authority::ConfirmFirst && keyHolds) {
      ++this->successes;
      if (this->acknowledged && this->cell.now - *this->acknowledged > MaxAge)
        ++this->lateSuccesses;
    }
    if (authority == Authority::Allowed || gate.age.isRoundOpen())
      return;
    gate.context = ++this->lastContext;
    gate.round = gate.age.beginRound(now);
    if (!this->cell.requestRead(index, gate.context))
      gate.age.endRound(gate.round, false);
  }

  void pass(base::Duration duration) {
    const base::TimePoint end = this->cell.now + duration;
    while (this->cell.now < end) {
      for (std::size_t index = 0; index < this->gates.size(); ++index)
        this->ask(index);
      this->cell.run(milliseconds(5));
      if (!this->acknowledged && !this->withdrawal.empty() &&
          this->cell.acknowledged().count(this->withdrawal) != 0)
        this->acknowledged = this->cell.now;
    }
  }

  void play() {
    this->pass(milliseconds(3000 + this->cell.below(1000)));
    if (!this->cell.leader())
      return;
    SimulatedMachine &former = this->cell.machine(*this->cell.leader());
    const std::uint64_t fault = this->cell.below(4);
    former.frozen = fault == 0;
    former.mute = fault == 1 || fault == 3;
    former.deaf = fault == 2 || fault == 3;
    this->pass(milliseconds(this->cell.below(2500)));
    this->cell.propose();
    this->withdrawal = "value 1";
    this->pass(milliseconds(2500 + this->cell.below(2500)));
    former.frozen = false;
    this->pass(milliseconds(500));
    former.mute = former.deaf = false;
    this->pass(milliseconds(3000));
  }
};

} // namespace

TEST_GROUP(FormerLeader){};

TEST(FormerLeader, DoesNotAcceptAWithdrawnKeyForLongerThanTheAge) {
  std::size_t acknowledgedDays = 0;
  for (std::uint64_t seed = 1; seed <= Days; ++seed) {
    Day day(seed);
    day.play();
    LONGS_EQUAL_TEXT(0, day.lateSuccesses, ("seed " + std::to_string(seed)).c_str());
    CHECK(day.successes > 100);
    acknowledgedDays += day.acknowledged ? 1 : 0;
  }
  CHECK(acknowledgedDays > Days / 2);
}
