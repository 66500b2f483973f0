// Guards against damage that is cut off as if it were an interrupted write, and against an
// interrupted write that is taken for damage.
#include "banyanrill/storage/LogStore.h"

#include <filesystem>
#include <string>

#include "StoreModel.h"
#include "TemporaryFolder.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::storage;
using namespace banyanrill::storage::tests;
using banyanrill::base::Errc;

TEST_GROUP(Damage) {
  TemporaryFolder folder;
  RecoveredState recovered;

  void setup() override { CHECK(LogStore::create(this->folder.data(), 1).ok()); }

  void write(const std::vector<Batch> &batches) {
    auto store = LogStore::open(this->folder.data(), this->recovered, quickEnvironment());
    CHECK(store.ok());
    for (const Batch &batch : batches)
      CHECK(store.value().write(batch).ok());
  }

  banyanrill::base::Error openError() {
    const auto store = LogStore::open(this->folder.data(), this->recovered);
    CHECK(!store.ok());
    return store.error();
  }

  static Batch entry(std::uint64_t index, const std::string &payload) {
    return {std::nullopt, std::nullopt, {{index, 1, 0, payload}}};
  }

  void flip(const std::string &path, std::size_t place) {
    std::string bytes = readAll(path);
    bytes[place] = static_cast<char>(bytes[place] ^ 1);
    writeAll(path, bytes);
  }
};

TEST(Damage, BeforeValidRecordsIsRefusedWithFileOffsetAndAdvice) {
  write({entry(1, "first"), entry(2, "second")});
  const std::string path = newestSegment(folder.data());
  flip(path, EmptySegmentBytes + 20);
  const auto error = openError();
  CHECK(error.code == Errc::DataCorrupted);
  STRCMP_EQUAL(path.c_str(), error.path.c_str());
  STRCMP_CONTAINS("damage at offset 83", error.message.c_str());
  STRCMP_CONTAINS("replace this replica", error.message.c_str());
}

TEST(Damage, InAnOlderSegmentIsRefused) {
  write({entry(1, std::string(400, 'x')), entry(2, "second")});
  const std::string oldest = folder.data() + "/log-00000000000000000001";
  CHECK(oldest != newestSegment(folder.data()));
  std::filesystem::resize_file(oldest, std::filesystem::file_size(oldest) - 1);
  const auto error = openError();
  CHECK(error.code == Errc::DataCorrupted);
  STRCMP_EQUAL(oldest.c_str(), error.path.c_str());
}

TEST(Damage, MissingSegmentIsRefused) {
  write({entry(1, std::string(400, 'x')), entry(2, std::string(400, 'y')), entry(3, "third")});
  std::filesystem::remove(folder.data() + "/log-00000000000000000002");
  CHECK(openError().code == Errc::DataCorrupted);
}

TEST(Damage, MissingSnapshotIsRefused) {
  write({entry(1, "first"), {std::nullopt, StoredSnapshot{1, 1, "state"}, {}}});
  std::filesystem::remove(folder.data() + "/snapshot-00000000000000000001");
  CHECK(openError().code == Errc::DataCorrupted);
}

TEST(Damage, MissingIdentityIsRefusedAlsoByCreate) {
  write({entry(1, "first")});
  std::filesystem::remove(folder.data() + "/identity");
  CHECK(openError().code == Errc::NotFound);
  CHECK(LogStore::create(folder.data(), 2).error().code == Errc::DataCorrupted);
}

TEST(Damage, CreationInterruptedBeforeTheIdentityIsRepeated) {
  std::filesystem::remove(folder.data() + "/identity");
  CHECK(LogStore::create(folder.data(), 2).ok());
  write({});
  CHECK_EQUAL(2, recovered.identity.replica);
}

TEST(Damage, CopyOfARecordInAPayloadIsNoRecord) {
  write({entry(1, "first")});
  const std::string path = newestSegment(folder.data());
  write({entry(2, readAll(path))});
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
  write({});
  CHECK_EQUAL(1, recovered.entries.size());
  CHECK(recovered.repairedBytes > 0);
}

TEST(Damage, ObsoleteFilesAreRemoved) {
  auto store = LogStore::open(folder.data(), recovered, quickEnvironment());
  for (std::uint64_t index = 1; index <= 9; ++index) {
    CHECK(store.value().write(entry(index, std::string(300, 'x'))).ok());
    CHECK(store.value().write({std::nullopt, StoredSnapshot{index, 1, ""}, {}}).ok());
  }
  CHECK(store.value().removeObsolete().ok());
  std::size_t files = 0;
  for (const auto &file : std::filesystem::directory_iterator(folder.data()))
    files += file.is_regular_file() ? 1 : 0;
  CHECK_EQUAL(4, files); // Identity, lock, one snapshot, one segment.
}

TEST(Damage, TooLargeBatchIsRefusedAndTheStoreGoesOn) {
  auto store = LogStore::open(folder.data(), recovered, quickEnvironment());
  CHECK(store.value().write(entry(1, std::string(MaxBatchBytes, 'x'))).error().code ==
        Errc::TooLarge);
  const Batch snapshot = {
      std::nullopt, StoredSnapshot{1, 1, std::string(MaxSnapshotBytes, 'x')}, {}};
  CHECK(store.value().write(snapshot).ok());
}
