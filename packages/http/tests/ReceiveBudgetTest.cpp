// Guards against clients that make a process hold more than its limits, and against limits that
// end a request which is being served.
#include "../src/ReceiveBudget.h"

#include <map>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;

namespace {

using Action = ReceiveBudget::Action;
using Decision = ReceiveBudget::Decision;
using Phase = ReceiveBudget::Phase;

struct ReceiveBudgetFixture : Utest {
  ReceiveBudgetFixture() {
    this->budget.setLimits(0, {1000, 4});
    this->budget.setLimits(1, {1000, 4});
  }

  void take(Decision decision) { CHECK(decision == Decision()); }

  ReceiveBudget budget;
};

struct Held {
  std::uint16_t listener = 0;
  Phase phase = Phase::Waiting;
};

} // namespace

TEST_GROUP_BASE(ReceiveBudget, ReceiveBudgetFixture){};

TEST(ReceiveBudget, LargestBodyGoesFirst) {
  this->take(this->budget.open(0, 1, 10));
  this->take(this->budget.open(0, 2, 10));
  this->take(this->budget.open(0, 3, 10));
  this->take(this->budget.change(1, Phase::Receiving, 300));
  this->take(this->budget.change(2, Phase::Receiving, 600));
  CHECK((this->budget.change(3, Phase::Receiving, 200) == Decision{Action::Drop, 2}));
  this->budget.close(2);
  this->take(this->budget.change(3, Phase::Receiving, 200));
}

TEST(ReceiveBudget, BodyThatWouldBeTheLargestIsRefused) {
  this->take(this->budget.open(0, 1, 10));
  this->take(this->budget.open(0, 2, 10));
  this->take(this->budget.change(1, Phase::Receiving, 500));
  CHECK((this->budget.change(2, Phase::Receiving, 600) == Decision{Action::Refuse}));
  LONGS_EQUAL(510, this->budget.usage(0).bytes);
}

TEST(ReceiveBudget, ServedRequestIsNeverDropped) {
  this->take(this->budget.open(0, 1, 10));
  this->take(this->budget.change(1, Phase::Serving, 900));
  CHECK((this->budget.open(0, 2, 200) == Decision{Action::Refuse}));
  this->take(this->budget.open(0, 2, 50));
  CHECK((this->budget.change(2, Phase::Serving, 200) == Decision{Action::Refuse}));
}

TEST(ReceiveBudget, OldestIdleConnectionGoesForANewOne) {
  for (std::uint64_t connection = 1; connection <= 4; ++connection)
    this->take(this->budget.open(0, connection, 10));
  this->take(this->budget.change(1, Phase::Receiving, 500));
  CHECK((this->budget.open(0, 5, 10) == Decision{Action::Drop, 2}));
}

TEST(ReceiveBudget, ListenersDoNotShare) {
  this->take(this->budget.open(0, 1, 10));
  this->take(this->budget.change(1, Phase::Serving, 1000));
  this->take(this->budget.open(1, 2, 10));
  this->take(this->budget.change(2, Phase::Receiving, 1000));
  this->budget.close(1);
  LONGS_EQUAL(0, this->budget.usage(0).bytes);
  LONGS_EQUAL(1000, this->budget.usage(1).bytes);
}

TEST(ReceiveBudget, NeverPassesItsLimitsNorDropsAServedRequest) {
  CHECK(rc::check("what a listener holds stays under its limits", [] {
    constexpr std::size_t Bytes = 1000;
    constexpr std::size_t Connections = 5;
    ReceiveBudget budget;
    for (std::uint16_t listener = 0; listener < 2; ++listener)
      budget.setLimits(listener, {Bytes, Connections});
    std::map<std::uint64_t, Held> held;
    const auto check = [&](const Decision &decision, std::uint16_t listener) {
      if (decision.action == Action::Drop) {
        RC_ASSERT(held.count(decision.victim) == 1U);
        RC_ASSERT(held[decision.victim].phase != Phase::Serving);
        RC_ASSERT(held[decision.victim].listener == listener);
        budget.close(decision.victim);
        held.erase(decision.victim);
      }
      RC_ASSERT(budget.usage(listener).bytes <= Bytes);
      RC_ASSERT(budget.usage(listener).connections <= Connections);
    };
    const int steps = *rc::gen::inRange(0, 200);
    for (int step = 1; step <= steps; ++step) {
      const auto listener = *rc::gen::inRange<std::uint16_t>(0, 2);
      const auto bytes = *rc::gen::inRange<std::size_t>(0, Bytes + 200);
      if (held.empty() || *rc::gen::inRange(0, 4) == 0) {
        const auto number = static_cast<std::uint64_t>(step);
        const Decision decision = budget.open(listener, number, bytes);
        if (decision.action == Action::Take)
          held[number] = {listener, Phase::Waiting};
        check(decision, listener);
        continue;
      }
      const auto index = *rc::gen::inRange<std::size_t>(0, held.size());
      const auto chosen = std::next(held.begin(), static_cast<std::ptrdiff_t>(index));
      const std::uint64_t number = chosen->first;
      const std::uint16_t own = chosen->second.listener;
      const auto phase = *rc::gen::element(Phase::Waiting, Phase::Receiving, Phase::Serving);
      const Decision decision = budget.change(number, phase, bytes);
      if (decision.action == Action::Take)
        chosen->second.phase = phase;
      check(decision, own);
    }
    for (const auto &[number, entry] : held)
      budget.close(number);
    RC_ASSERT(budget.heldBytes() == 0U);
    RC_ASSERT(budget.usage(0).connections + budget.usage(1).connections == 0U);
  }));
}
