// Guards against a former leader that accepts a withdrawn key for longer than allowed, whatever was
// cut, paused or elected in between, and against requests that wait without need.
#include "../src/AuthorityAge.h"

#include <array>
#include <rapidcheck.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::node;
using std::chrono::milliseconds;

namespace {

constexpr base::Duration MaxAge = milliseconds(2000);
constexpr std::size_t Nodes = 3;

/// A node that may lead or believe that it does.
struct Member {
  AuthorityAge age{MaxAge};
  bool believesToLead = false;
  bool knowsWithdrawal = false;
  bool paused = false;
  std::uint64_t round = 0;
  bool roundAcknowledged = false; ///< By a majority, while the node still led.
};

/// One key, one withdrawal, and leaders that come and go.
struct Model {
  std::array<Member, Nodes> members;
  std::size_t leader = 0;
  bool cut = false; ///< The leader reaches no majority.
  base::Duration now = milliseconds(1000);
  std::optional<base::Duration> withdrawn; ///< When the operator was told.

  Model() { this->lead(0); }

  void lead(std::size_t index) {
    this->leader = index;
    this->cut = false;
    Member &member = this->members.at(index);
    member.age.reset();
    member.believesToLead = true;
    member.knowsWithdrawal = this->withdrawn.has_value();
  }

  void beginRound(Member &member) {
    if (member.age.isRoundOpen())
      return;
    member.round = member.age.beginRound(this->now);
    member.roundAcknowledged = false;
  }

  void request(Member &member) {
    if (!member.believesToLead || member.paused)
      return;
    const Authority authority = member.age.check(this->now);
    if (authority != Authority::Allowed)
      this->beginRound(member);
    if (authority != Authority::ConfirmFirst && !member.knowsWithdrawal)
      RC_ASSERT(!this->withdrawn || this->now - *this->withdrawn <= MaxAge);
  }

  void step(std::uint64_t event, std::size_t index) {
    Member &member = this->members.at(index);
    Member &leading = this->members.at(this->leader);
    switch (event) {
    case 0:
      this->now += milliseconds(*rc::gen::inRange(1, 900));
      break;
    case 1:
      this->cut = true;
      break;
    case 2:
      member.paused = !member.paused;
      break;
    case 3: // A node that is elected is not the one that believes to lead in an earlier term.
      if (index != this->leader && !member.paused)
        this->lead(index);
      break;
    case 4:
      if (!this->cut && !leading.paused && !this->withdrawn) {
        leading.knowsWithdrawal = true;
        this->withdrawn = this->now;
      }
      break;
    case 5: // The followers' answers leave, and reach the leader at some later time.
      if (!this->cut)
        leading.roundAcknowledged = leading.roundAcknowledged || leading.age.isRoundOpen();
      break;
    case 6:
      if (!member.paused && member.age.isRoundOpen() && member.roundAcknowledged)
        member.age.endRound(member.round, true);
      break;
    case 7: // A former leader learns of its successor and steps down.
      if (index != this->leader && !member.paused) {
        member.believesToLead = false;
        member.age.reset();
      }
      break;
    default:
      break;
    }
    for (Member &each : this->members)
      this->request(each);
  }
};

} // namespace

TEST_GROUP(AuthorityAge){};

TEST(AuthorityAge, WithdrawnKeyIsOutWithinTheAgeWhateverHappens) {
  CHECK(rc::check("no success longer than the age after a withdrawal", [] {
    Model model;
    for (int step = 0; step < 120; ++step)
      model.step(*rc::gen::weightedElement<std::uint64_t>(
                     {{8, 0}, {1, 1}, {2, 2}, {1, 3}, {2, 4}, {6, 5}, {6, 6}, {1, 7}}),
                 *rc::gen::inRange<std::size_t>(0, Nodes));
  }));
}

TEST(AuthorityAge, RequestsDoNotWaitWhileRoundsSucceedInTime) {
  AuthorityAge age(MaxAge);
  CHECK(age.check(milliseconds(0)) == Authority::ConfirmFirst); // A new leader is unconfirmed.
  CHECK(age.endRound(age.beginRound(milliseconds(0)), true));
  std::uint64_t round = 0;
  base::Duration ends{};
  for (base::Duration now{}; now < std::chrono::seconds(60); now += milliseconds(100)) {
    if (age.isRoundOpen() && now >= ends)
      CHECK(age.endRound(round, true));
    const Authority authority = age.check(now);
    CHECK(authority != Authority::ConfirmFirst);
    if (authority != Authority::BeginRound)
      continue;
    CHECK(!age.isRoundOpen()); // Rounds are shared.
    round = age.beginRound(now);
    ends = now + milliseconds(800);
  }
}

TEST(AuthorityAge, RoundProvesTheTimeOfItsBeginningInItsOwnLeadership) {
  AuthorityAge age(MaxAge);
  CHECK(age.endRound(age.beginRound(milliseconds(50)), false));
  CHECK(age.check(milliseconds(50)) == Authority::ConfirmFirst);
  CHECK(age.endRound(age.beginRound(milliseconds(100)), true));
  age.onProof(milliseconds(60)); // An older proof takes nothing back.
  CHECK(age.check(milliseconds(100) + MaxAge) == Authority::BeginRound);
  CHECK(age.check(milliseconds(101) + MaxAge) == Authority::ConfirmFirst);
  const std::uint64_t round = age.beginRound(milliseconds(200));
  const std::uint64_t atArrival = age.roundsBegun();
  age.reset();
  CHECK(!age.endRound(round, true));
  CHECK(age.check(milliseconds(200)) == Authority::ConfirmFirst);
  // A refusal needs a round that began after its request had come.
  CHECK(!age.hasConfirmedRoundAfter(atArrival));
  CHECK(age.endRound(age.beginRound(milliseconds(300)), true));
  CHECK(age.hasConfirmedRoundAfter(atArrival));
}
