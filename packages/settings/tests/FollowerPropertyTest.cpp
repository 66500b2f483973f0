// Guards against a daemon that goes back to an older revision, or that skips a change, when
// messages from replicas are lost, repeated or reordered.
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include "TreeModel.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::settings;
using namespace banyanrill::settings::tests;

TEST_GROUP(FollowerProperty){};

namespace {

struct Feed {
  Revision revision = 0;
  std::optional<std::vector<Applied>> changes;
  std::vector<std::pair<std::string, Value>> snapshot; ///< If there are no changes.
};

Feed answer(const Tree &replica, Revision from) {
  Feed feed{replica.revision(), replica.changesSince(from), {}};
  if (!feed.changes)
    feed.snapshot = replica.list("/");
  return feed;
}

void deliver(Tree &follower, const Feed &feed) {
  if (feed.changes)
    follower.follow(feed.revision, *feed.changes);
  else
    follower.followSnapshot(feed.revision, feed.snapshot);
}

} // namespace

TEST(FollowerProperty, HoldsTheValuesOfItsRevisionAndNeverGoesBack) {
  CHECK(rc::check("followers hold the values of their revision", [] {
    TreeModel model;
    model.limits.auditRecords = 3; // Often fewer than the history needs.
    Tree replica(model.limits);
    std::vector<Values> valuesAt = {{}};
    std::vector<Tree> followers(3);
    std::vector<Feed> sent;
    for (std::uint64_t step = numberBetween(1, 60); step > 0; --step) {
      const Change change = randomChange(model);
      const bool known = model.find(change.requestId) != nullptr;
      const Outcome outcome = replica.apply(change);
      if (!known)
        model.record(change, outcome);
      if (!known && outcome.accepted)
        valuesAt.push_back(model.values);

      Tree &follower = followers[numberBetween(0, followers.size() - 1)];
      const Revision before = follower.revision();
      if (numberBetween(0, 1) == 0)
        sent.push_back(answer(replica, follower.revision()));
      if (sent.empty())
        continue;
      // Any feed, also one that was meant for another follower or was delivered already.
      const bool inOrder = numberBetween(0, 2) != 0;
      deliver(follower, inOrder ? sent.back() : oneOf(sent));
      RC_ASSERT(follower.revision() >= before);
      const auto listed = follower.list("/");
      RC_ASSERT(Values(listed.begin(), listed.end()) == valuesAt[follower.revision()]);
    }
    for (Tree &follower : followers) {
      deliver(follower, answer(replica, follower.revision()));
      RC_ASSERT(follower.revision() == replica.revision());
      RC_ASSERT(follower.list("/") == replica.list("/"));
    }
  }));
}

TEST(FollowerProperty, HistoryIsAvailableUpToItsBound) {
  CHECK(rc::check("changes are answered within the history", [] {
    TreeModel model;
    model.limits.auditRecords = 100;
    Tree replica(model.limits);
    std::uint64_t number = 0;
    for (std::uint64_t step = numberBetween(0, 10); step > 0; --step)
      replica.apply({"r" + std::to_string(number++), "", 0, {{"/teams/a/notes/x", "1", {}}}});
    for (Revision from = 0; from <= replica.revision() + 1; ++from) {
      const bool kept = from + model.limits.history >= replica.revision();
      const auto changes = replica.changesSince(from);
      RC_ASSERT(changes.has_value() == kept);
      if (kept)
        RC_ASSERT(changes->size() == replica.revision() - std::min(from, replica.revision()));
    }
  }));
}
