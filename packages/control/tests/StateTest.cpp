// Guards against a replicated state that differs after a snapshot, loses the outcome of a resend,
// or lets a late event undo a newer assignment.
#include "banyanrill/control/State.h"
#include "banyanrill/control/OwnerIndex.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using control::Batch;
using control::State;

namespace {

const base::JobId Job{"/teams/riga/batches/november"};

control::ChangeSettings putJob(const std::string &requestId) {
  return {{requestId,
           "admin",
           1,
           {{Job.value, R"({"count":2,"millicores":100,"memory_mib":64})", {}}}}};
}

placement::TaskRecord task(std::uint32_t attempt, placement::TaskPhase phase) {
  return {{Job, 0}, attempt, phase, {"w1"}};
}

} // namespace

TEST_GROUP(State) {
  State state;

  control::Result apply(control::Command command) {
    return state.apply({1000, {std::move(command)}}).front();
  }
};

TEST(State, AResendReturnsTheFirstOutcomeAlsoAfterASnapshot) {
  const auto first = std::get<settings::Outcome>(apply(putJob("admin/1")));
  CHECK(first.accepted);
  State restored;
  CHECK(restored.load(state.save()).ok());
  const auto again =
      std::get<settings::Outcome>(restored.apply({1000, {putJob("admin/1")}}).front());
  CHECK(again == first);
}

TEST(State, ALateEventDoesNotUndoANewerAttempt) {
  apply(putJob("admin/1"));
  apply(control::UpdateTasks{{task(2, placement::TaskPhase::Assigned)}, {}});
  apply(control::UpdateTasks{{task(1, placement::TaskPhase::Failed)}, {}});
  CHECK(state.jobs().at(Job).tasks.at(0).attempt == 2);
}

TEST(State, ACancelledJobIsForgottenOnceItHasEnded) {
  apply(putJob("admin/1"));
  apply(control::ChangeSettings{{"admin/2", "admin", 1, {{Job.value, std::nullopt, {}}}}});
  CHECK(state.jobs().at(Job).cancelled);
  apply(control::UpdateTasks{{}, {{Job, false, "cancelled"}}});
  CHECK(state.jobs().empty());
}

TEST(State, AJobThatIsBeingCancelledCannotBeSetAgain) {
  apply(putJob("admin/1"));
  apply(control::ChangeSettings{{"admin/2", "admin", 1, {{Job.value, std::nullopt, {}}}}});
  CHECK(!std::get<settings::Outcome>(apply(putJob("admin/3"))).accepted);
}

TEST(State, EpochsOfOwnersOnlyGrow) {
  apply(control::AssignOwners{{{{"w1"}, 3}}});
  apply(control::AssignOwners{{{{"w1"}, 3}}});
  apply(control::AssignOwners{{{{"w1"}, 5}}});
  control::OwnerIndex index;
  CHECK(index.refresh(state.settings()));
  CHECK(index.find({"w1"}) == control::Owner({5, 2}));
  CHECK(!index.refresh(state.settings()));
}

TEST(State, ADamagedSnapshotChangesNothing) {
  apply(putJob("admin/1"));
  const std::string saved = state.save();
  for (std::size_t cut = 0; cut < saved.size(); cut += 7)
    CHECK(!state.load(saved.substr(0, cut)).ok());
  CHECK(state.save() == saved);
}
