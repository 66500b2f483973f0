// Guards against a second execution: two holders granted the same key, also across save and load.
#include "Steps.h"

#include "banyanrill/routing/ClaimTable.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::routing;

namespace {

/// What must be remembered of a key, independently of the table.
struct Expected {
  int digest;
  ClaimHolder holder;
  std::int64_t sinceMs;
  std::optional<RecordedOutcome> outcome;
};

ClaimState expectedState(const Expected *known, int digest, const ClaimHolder &holder) {
  if (known == nullptr)
    return ClaimState::Granted;
  if (known->digest != digest)
    return ClaimState::Mismatch;
  if (known->outcome)
    return ClaimState::Done;
  return known->holder == holder ? ClaimState::Granted : ClaimState::InProgress;
}

void followModel() {
  constexpr std::int64_t RetentionMs = 1000;
  const ClaimLimits limits{64, 8, RetentionMs};
  ClaimTable table(limits);
  std::map<int, Expected> model;
  std::int64_t nowMs = 0;
  for (const auto &[kind, a, b, c] : anySteps(6)) {
    const int key = a % 4;
    const std::string keyText = "k" + std::to_string(key);
    const ClaimHolder holder{static_cast<unsigned>(1 + b % 3), "r" + std::to_string(b % 3)};
    const auto known = model.find(key);
    const bool isHolder = known != model.end() && known->second.holder == holder;
    if (kind <= 1) {
      std::erase_if(model, [&](const auto &e) { return nowMs - e.second.sinceMs >= RetentionMs; });
      const auto current = model.find(key);
      const Expected *expected = current == model.end() ? nullptr : &current->second;
      const ClaimResult result = table.claim(keyText, "d" + std::to_string(c % 2), holder, nowMs);
      RC_ASSERT(result.state == expectedState(expected, c % 2, holder));
      if (result.state == ClaimState::Done)
        RC_ASSERT(result.outcome == expected->outcome);
      if (expected == nullptr)
        model[key] = {c % 2, holder, nowMs, std::nullopt};
    } else if (kind == 2) {
      RecordedOutcome outcome{banyanrill::base::Verdict::Ran, 200 + c, "text/plain",
                              std::string(static_cast<std::size_t>(c % 9), 'x'), true};
      RC_ASSERT(table.complete(keyText, holder, outcome, nowMs) == isHolder);
      if (isHolder && !known->second.outcome) {
        known->second.outcome = outcome;
        known->second.sinceMs = nowMs;
      }
    } else if (kind == 3) {
      const bool open = isHolder && !known->second.outcome;
      RC_ASSERT(table.release(keyText, holder) == open);
      if (open)
        model.erase(known);
    } else if (kind == 4) {
      nowMs += c;
      table.expire(nowMs);
      std::erase_if(model, [&](const auto &e) { return nowMs - e.second.sinceMs >= RetentionMs; });
    } else {
      ClaimTable copy(limits);
      RC_ASSERT(copy.load(table.save()).ok());
      RC_ASSERT(copy.save() == table.save());
      table = std::move(copy);
    }
    RC_ASSERT(table.size() == model.size());
  }
}

} // namespace

TEST_GROUP(ClaimExclusivity){};

TEST(ClaimExclusivity, OneHolderPerKeyWithinTheRetention) {
  CHECK(rc::check("claims follow their model", followModel));
}
