// Guards against replicas that differ, changes that are applied in part or twice, and outcomes,
// audit records or values that a saved tree loses.
#include <rapidcheck.h>
#include <string>

#include "TreeModel.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::settings;
using namespace banyanrill::settings::tests;
using banyanrill::base::Errc;

TEST_GROUP(TreeProperty){};

namespace {

void checkOutcome(const TreeModel &model, const Change &change, const Outcome &outcome) {
  if (const auto *known = model.find(change.requestId)) {
    if (known->first.edits == change.edits)
      RC_ASSERT(outcome == known->second);
    else
      RC_ASSERT(outcome.errorCode == static_cast<int>(Errc::KeyReuse));
    return;
  }
  RC_ASSERT(outcome.errorCode == model.evaluate(change));
  RC_ASSERT(outcome.accepted == (outcome.errorCode == 0));
  RC_ASSERT(outcome.revision == model.revision + (outcome.accepted ? 1 : 0));
  if (outcome.errorCode != static_cast<int>(Errc::VersionConflict))
    return;
  const auto winner = model.values.find(outcome.errorPath);
  RC_ASSERT(outcome.current.has_value() == (winner != model.values.end()));
  if (outcome.current)
    RC_ASSERT(*outcome.current == winner->second);
}

void checkContents(const TreeModel &model, const Tree &tree) {
  RC_ASSERT(tree.revision() == model.revision);
  const auto listed = tree.list("/");
  RC_ASSERT(Values(listed.begin(), listed.end()) == model.values);
  for (const std::string prefix : {"/teams/a", "/teams/a/notes/y"}) {
    std::vector<std::pair<std::string, Value>> expected;
    for (const auto &[path, value] : model.values) {
      if (path == prefix || path.rfind(prefix + "/", 0) == 0)
        expected.emplace_back(path, value);
    }
    RC_ASSERT(tree.list(prefix) == expected);
  }
  const std::size_t kept = std::min(model.audit.size(), model.limits.auditRecords);
  const std::vector<AuditRecord> newest(model.audit.rbegin(),
                                        model.audit.rbegin() + static_cast<std::ptrdiff_t>(kept));
  RC_ASSERT(tree.audit("/", 100) == newest);
}

} // namespace

TEST(TreeProperty, AgreesWithTheModelOnEveryReplica) {
  CHECK(rc::check("two replicas agree with the model", [] {
    TreeModel model;
    Tree first(model.limits);
    Tree second(model.limits);
    for (std::uint64_t step = numberBetween(1, 40); step > 0; --step) {
      const Change change = randomOrRepeatedChange(model);
      const std::string before = first.save();
      const Outcome dryRun = first.check(change);
      RC_ASSERT(first.save() == before);
      const Outcome outcome = first.apply(change);
      RC_ASSERT(dryRun == outcome);
      RC_ASSERT(second.apply(change) == outcome);
      checkOutcome(model, change, outcome);
      if (model.find(change.requestId) == nullptr)
        model.record(change, outcome);
      checkContents(model, first);
      RC_ASSERT(first.save() == second.save());
      if (numberBetween(0, 4) != 0)
        continue;
      // A replica that starts from a snapshot goes on like the others.
      second = Tree(model.limits);
      RC_ASSERT(second.load(first.save()).ok());
      RC_ASSERT(first.save() == second.save());
      checkContents(model, second);
    }
  }));
}
