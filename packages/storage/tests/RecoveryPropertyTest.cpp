// Guards against synced records that are lost without an error, whatever was written, removed, cut
// off or damaged before the folder was opened again.
#include <filesystem>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include "StoreModel.h"
#include "TemporaryFolder.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::storage;
using namespace banyanrill::storage::tests;
using banyanrill::base::Errc;

TEST_GROUP(RecoveryProperty){};

namespace {

/// A folder with a random history whose last batch is known in full.
struct History {
  TemporaryFolder folder;
  StoreModel before; ///< The last batch.
  StoreModel after;
  std::string newest;            ///< Segment that holds the last batch.
  std::size_t batchOffset = 0;   ///< Where the last batch begins there.
  std::size_t segmentBytes = 0;  ///< Size of that segment.
  std::optional<LogStore> store; ///< Open.

  History() {
    RC_ASSERT(LogStore::create(this->folder.data(), 1, quickEnvironment()).ok());
    this->reopen();
    for (std::uint64_t count = numberBetween(1, 12); count > 0; --count)
      this->step();
  }

  void reopen() {
    RecoveredState recovered;
    this->store.reset();
    auto opened = LogStore::open(this->folder.data(), recovered, quickEnvironment());
    RC_ASSERT(opened.ok());
    RC_ASSERT(recovered.repairedBytes == 0U);
    RC_ASSERT(modelOf(recovered) == this->after);
    this->store.emplace(std::move(opened.value()));
  }

  void step() {
    const std::uint64_t choice = numberBetween(0, 5);
    if (choice == 0)
      this->reopen();
    if (choice == 1)
      RC_ASSERT(this->store->removeObsolete().ok());
    const std::string previous = newestSegment(this->folder.data());
    const std::size_t previousBytes = std::filesystem::file_size(previous);
    const Batch batch = randomBatch(this->after);
    RC_ASSERT(this->store->write(batch).ok());
    this->before = this->after;
    this->before.install(batch.snapshot);
    this->after.write(batch);
    this->newest = newestSegment(this->folder.data());
    this->batchOffset = this->newest == previous ? previousBytes : EmptySegmentBytes;
    this->segmentBytes = std::filesystem::file_size(this->newest);
  }
};

} // namespace

TEST(RecoveryProperty, StateSurvivesReopening) {
  CHECK(rc::check("state survives reopening", [] {
    History history;
    history.reopen();
    RC_ASSERT(history.store->removeObsolete().ok());
    history.reopen();
  }));
}

TEST(RecoveryProperty, InterruptedWriteLeavesTheStateBefore) {
  CHECK(rc::check("a cut in the last write loses nothing else", [] {
    History history;
    history.store.reset();
    const std::size_t size = numberBetween(history.batchOffset, history.segmentBytes);
    const std::string whole = readAll(history.newest);
    // A file system may have extended the file without storing all of its pages.
    const std::size_t zeros = numberBetween(0, 1) * numberBetween(0, 40);
    const std::string found = whole.substr(0, size) + std::string(zeros, '\0');
    writeAll(history.newest, found);
    // A record that ends in zeros is complete without them.
    const bool complete = found.compare(0, whole.size(), whole) == 0;
    RecoveredState recovered;
    const auto opened = LogStore::open(history.folder.data(), recovered, quickEnvironment());
    RC_ASSERT(opened.ok());
    RC_ASSERT(modelOf(recovered) == (complete ? history.after : history.before));
    const std::size_t valid = complete ? whole.size() : history.batchOffset;
    RC_ASSERT(recovered.repairedBytes == found.size() - valid);
    RC_ASSERT(std::filesystem::file_size(history.newest) >= valid);
  }));
}

TEST(RecoveryProperty, StoreContinuesAfterARepair) {
  CHECK(rc::check("a repaired store takes further batches", [] {
    History history;
    history.store.reset();
    RC_PRE(history.batchOffset < history.segmentBytes);
    std::filesystem::resize_file(history.newest,
                                 numberBetween(history.batchOffset, history.segmentBytes - 1));
    history.after = history.before;
    RecoveredState recovered;
    auto opened = LogStore::open(history.folder.data(), recovered, quickEnvironment());
    RC_ASSERT(opened.ok());
    history.store.emplace(std::move(opened.value()));
    for (int count = 0; count < 3; ++count)
      history.step();
    history.reopen();
  }));
}

TEST(RecoveryProperty, FlippedBitIsNeverSilent) {
  CHECK(rc::check("a flipped bit is reported or harmless", [] {
    History history;
    history.store.reset();
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(history.folder.data())) {
      if (std::filesystem::file_size(entry) > 0)
        files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    const std::string path = files[numberBetween(0, files.size() - 1)];
    std::string bytes = readAll(path);
    const std::size_t place = numberBetween(0, bytes.size() - 1);
    bytes[place] = static_cast<char>(bytes[place] ^ (1 << numberBetween(0, 7)));
    writeAll(path, bytes);
    RecoveredState recovered;
    const auto opened = LogStore::open(history.folder.data(), recovered, quickEnvironment());
    const bool inTail = path == history.newest && place >= history.batchOffset;
    RC_CLASSIFY(inTail, "in the last batch");
    RC_CLASSIFY(!opened.ok(), "refused");
    if (!opened.ok()) {
      RC_ASSERT(opened.error().code == Errc::DataCorrupted);
      RC_ASSERT(opened.error().path.find(history.folder.data()) == 0U);
      RC_ASSERT(!inTail);
    } else if (inTail) {
      RC_ASSERT(recovered.repairedBytes == history.segmentBytes - history.batchOffset);
      RC_ASSERT(modelOf(recovered) == history.before);
    } else {
      RC_ASSERT(recovered.repairedBytes == 0U);
      RC_ASSERT(modelOf(recovered) == history.after);
    }
  }));
}
