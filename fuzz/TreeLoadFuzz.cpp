// Any bytes are either refused without a change, or loaded as a tree that can be saved, loaded and
// changed again.
#include "banyanrill/settings/Tree.h"

#include <cstdint>
#include <cstdlib>
#include <fuzzer/FuzzedDataProvider.h>
#include <string>

using namespace banyanrill::settings;

namespace {

void require(bool condition) {
  if (!condition)
    std::abort();
}

/// Holds every kind of contents.
std::string validTree() {
  Tree tree;
  tree.apply({"r1",
              "a",
              5,
              {{"/teams/a/notes/x", "1", {}}, {"/cell/workers/w", "{\"draining\":true}", 0}}});
  tree.apply({"r2", "", -5, {{"/teams/a/notes/x", "2", 1}}});
  tree.apply({"r3", "a", 6, {{"/teams/a/notes/x", "3", 1}}});
  tree.apply({"r4", "a", 7, {{"/teams/a/notes/x", {}, 2}}});
  return tree.save();
}

/// The input as it is, or a valid tree with some bytes replaced, added or removed.
std::string makeSaved(FuzzedDataProvider &input) {
  if (input.ConsumeBool())
    return input.ConsumeRemainingBytesAsString();
  static const std::string Valid = validTree();
  std::string saved = Valid;
  while (input.remaining_bytes() > 0) {
    const auto place = input.ConsumeIntegralInRange<std::size_t>(0, saved.size());
    const auto removed = input.ConsumeIntegralInRange<std::size_t>(0, 3);
    saved.replace(place, removed, input.ConsumeRandomLengthString(8));
  }
  return saved;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  FuzzedDataProvider input(data, size);
  const std::string saved = makeSaved(input);
  Tree tree;
  if (!tree.load(saved)) {
    require(tree.revision() == 0 && tree.list("/").empty());
    return 0;
  }
  Tree copy;
  require(copy.load(tree.save()).ok());
  require(copy.save() == tree.save());
  for (Revision from = tree.revision() > 4 ? tree.revision() - 4 : 0; from < tree.revision();
       ++from)
    require(tree.changesSince(from) == copy.changesSince(from));
  const Change change = {"new", "a", 0, {{"/teams/a/notes/new", "1", {}}}};
  require(copy.apply(change) == tree.apply(change));
  require(copy.save() == tree.save());
  Tree again;
  require(again.load(tree.save()).ok());
  return 0;
}
