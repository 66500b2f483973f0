// Guards against data that counts as durable after a failed sync only because the page cache still
// shows it: a kernel marks pages as clean when their write fails, and later syncs skip them.
#include "banyanrill/storage/LogStore.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

#include "StoreModel.h"
#include "TemporaryFolder.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::storage;
using namespace banyanrill::storage::tests;

namespace {

std::string pathOf(int descriptor) {
  return std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor)).string();
}

/// The files that are written are the page cache; the durable contents are kept beside them.
class CachedDisk {
public:
  bool syncsFail = false;
  std::vector<std::string> calls; ///< Removals and syncs of folders, in order.

  void write(int descriptor, std::size_t size) {
    const auto end = static_cast<std::size_t>(::lseek(descriptor, 0, SEEK_CUR));
    this->dirty[pathOf(descriptor)].push_back({end - size, end});
  }

  int sync(int descriptor) {
    const std::string path = pathOf(descriptor);
    if (std::filesystem::is_directory(path))
      this->calls.emplace_back("sync");
    const std::vector<Range> ranges = std::exchange(this->dirty[path], {});
    if (this->syncsFail) {
      errno = EIO;
      return -1;
    }
    if (std::filesystem::is_directory(path))
      return 0;
    const std::string cached = readAll(path);
    std::string &stored = this->durable[path];
    stored.resize(cached.size());
    for (const Range &range : ranges) {
      const std::size_t end = std::min(range.end, cached.size());
      if (range.begin < end)
        stored.replace(range.begin, end - range.begin, cached, range.begin, end - range.begin);
    }
    return 0;
  }

  int rename(const char *from, const char *to) {
    this->durable[to] = this->durable[from];
    this->dirty[to] = this->dirty[from];
    return ::rename(from, to);
  }

  int unlink(const char *path) {
    this->calls.emplace_back("unlink " + std::filesystem::path(path).filename().string());
    return ::unlink(path);
  }

  /// What was never written to the disk is gone.
  void losePower() {
    for (const auto &[path, content] : this->durable) {
      if (std::filesystem::exists(path))
        writeAll(path, content);
    }
  }

private:
  struct Range {
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  std::map<std::string, std::vector<Range>> dirty;
  std::map<std::string, std::string> durable;
};

Environment environmentOf(const std::shared_ptr<CachedDisk> &disk) {
  Environment environment = quickEnvironment();
  environment.files.write = [disk](int descriptor, const char *data, std::size_t size) {
    const ssize_t count = ::write(descriptor, data, size);
    if (count > 0)
      disk->write(descriptor, static_cast<std::size_t>(count));
    return count;
  };
  environment.files.fdatasync = [disk](int descriptor) { return disk->sync(descriptor); };
  environment.files.fsync = environment.files.fdatasync;
  environment.files.rename = [disk](const char *from, const char *to) {
    return disk->rename(from, to);
  };
  environment.files.unlink = [disk](const char *path) { return disk->unlink(path); };
  return environment;
}

Batch entry(std::uint64_t index, std::size_t size = 5) {
  return {std::nullopt, std::nullopt, {{index, 1, 0, std::string(size, 'x')}}};
}

} // namespace

TEST_GROUP(UnsyncedTail) {
  TemporaryFolder folder;
  std::shared_ptr<CachedDisk> disk = std::make_shared<CachedDisk>();
  RecoveredState recovered;

  void setup() override {
    CHECK(LogStore::create(this->folder.data(), 1, environmentOf(this->disk)).ok());
  }

  banyanrill::base::Result<LogStore> open() {
    return LogStore::open(this->folder.data(), this->recovered, environmentOf(this->disk));
  }

  /// Opens the folder after a failed sync, and again after a loss of power; both must find the
  /// same.
  void checkRecoveredStateIsDurable() {
    CHECK(open().ok());
    const RecoveredState first = this->recovered;
    this->disk->losePower();
    CHECK(open().ok());
    CHECK(modelOf(first) == modelOf(this->recovered));
  }
};

TEST(UnsyncedTail, RecordIsWrittenAgainBeforeItCounts) {
  {
    auto store = open();
    CHECK(store.value().write(entry(1)).ok());
    disk->syncsFail = true;
    CHECK(!store.value().write(entry(2)).ok());
  }
  disk->syncsFail = false;
  checkRecoveredStateIsDurable();
}

TEST(UnsyncedTail, VoteIsWrittenAgainBeforeItCounts) {
  {
    auto store = open();
    disk->syncsFail = true;
    CHECK(!store.value().write({StoredHardState{4, 2}, std::nullopt, {}}).ok());
  }
  disk->syncsFail = false;
  checkRecoveredStateIsDurable();
  CHECK_EQUAL(4U, recovered.hardState.term);
}

/// Without a sync between them, a loss of power can keep the first removed segment and drop the
/// second; the folder then has a gap and is refused.
TEST(UnsyncedTail, RemovedSegmentIsGoneForGoodBeforeTheNextIsRemoved) {
  auto store = open();
  for (std::uint64_t index = 1; index <= 4; ++index)
    CHECK(store.value().write(entry(index, 400)).ok());
  CHECK(store.value().write({std::nullopt, StoredSnapshot{4, 1, "state"}, {}}).ok());
  disk->calls.clear();
  CHECK(store.value().removeObsolete().ok());
  bool isSynced = true;
  std::size_t removed = 0;
  for (const std::string &call : disk->calls) {
    if (call.rfind("unlink log-", 0) != 0) {
      isSynced = isSynced || call == "sync";
      continue;
    }
    CHECK(isSynced);
    isSynced = false;
    ++removed;
  }
  CHECK(isSynced);
  CHECK(removed >= 3);
}
