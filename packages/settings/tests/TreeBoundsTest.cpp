// Guards against limits that the properties do not reach, and against saved trees that are taken
// although they are damaged.
#include "banyanrill/settings/Tree.h"

#include <nlohmann/json.hpp>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::settings;
using banyanrill::base::Errc;
using nlohmann::json;

TEST_GROUP(TreeBounds) {
  Tree tree;
  int number = 0;

  Outcome put(const std::string &path, const std::string &value) {
    return this->tree.apply({"r" + std::to_string(this->number++), "", 0, {{path, value, {}}}});
  }

  void refuses(const std::string &saved) {
    const std::string before = this->tree.save();
    CHECK(this->tree.load(saved).error().code == Errc::DataCorrupted);
    CHECK(this->tree.save() == before);
  }
};

TEST(TreeBounds, LargestValueIsAcceptedAndNoLargerOne) {
  const std::string largest = '"' + std::string(65534, 'x') + '"';
  CHECK(put("/teams/a/notes/x", largest).accepted);
  CHECK_EQUAL(static_cast<int>(Errc::TooLarge), put("/teams/a/notes/x", largest + " ").errorCode);
}

TEST(TreeBounds, SavedTreeStaysBelowTheSizeOfASnapshot) {
  // Each value is new, so no text is shared.
  for (int count = 0; count < 1000; ++count) {
    const std::string text = std::to_string(count);
    put("/teams/a/notes/n" + std::to_string(count % 500),
        '"' + text + std::string(60000, 'x') + '"');
  }
  CHECK(tree.save().size() > std::size_t{30} << 20U);
  CHECK(tree.save().size() < std::size_t{64} << 20U);
  Tree copy;
  CHECK(copy.load(tree.save()).ok());
  CHECK(copy.save() == tree.save());
}

TEST(TreeBounds, InvalidRequestIdentifiersAreRefused) {
  for (const std::string &id : {std::string(), std::string(129, 'x'), std::string("a\nb")}) {
    const Outcome outcome = tree.apply({id, "", 0, {{"/teams/a/notes/x", "1", {}}}});
    CHECK_EQUAL(static_cast<int>(Errc::Malformed), outcome.errorCode);
  }
}

TEST(TreeBounds, DamagedTreesAreNotLoaded) {
  put("/teams/a/notes/x", "1");
  const std::string saved = tree.save();
  refuses("");
  refuses(saved.substr(0, saved.size() - 1));
  refuses(saved + "x");
  const json document = json::from_msgpack(saved);
  for (std::size_t field = 0; field < document.size(); ++field) {
    json changed = document;
    changed[field] = "other";
    std::string bytes;
    json::to_msgpack(changed, bytes);
    refuses(bytes);
  }
}

TEST(TreeBounds, DeepNestingInASavedTreeIsRefused) { refuses(std::string(1000000, '\x91')); }
