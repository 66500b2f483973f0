// Guards against acknowledging a batch after a write, sync or rename failed, and against a store
// that works on after such a failure.
#include <cerrno>
#include <memory>
#include <optional>
#include <rapidcheck.h>

#include "StoreModel.h"
#include "TemporaryFolder.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::storage;
using namespace banyanrill::storage::tests;
using banyanrill::base::Errc;

TEST_GROUP(FailingDisk){};

namespace {

/// Calls that still succeed; shared by all operations of an environment.
struct Disk {
  std::uint64_t remainingCalls = UINT64_MAX;
  bool failed = false;

  bool fails() {
    if (this->remainingCalls > 0) {
      --this->remainingCalls;
      return false;
    }
    errno = EIO;
    this->failed = true;
    return true;
  }
};

Environment failingEnvironment(const std::shared_ptr<Disk> &disk) {
  Environment environment = quickEnvironment();
  environment.files.write = [disk](int descriptor, const char *data, std::size_t size) -> ssize_t {
    // Part of the data is written before the failure, and at most 50 bytes in each call.
    const ssize_t count = ::write(descriptor, data, std::min<std::size_t>(size, 50));
    return disk->fails() ? -1 : count;
  };
  const auto sync = [disk](int) { return disk->fails() ? -1 : 0; };
  environment.files.fsync = sync;
  environment.files.fdatasync = sync;
  environment.files.rename = [disk](const char *from, const char *to) {
    return disk->fails() ? -1 : ::rename(from, to);
  };
  environment.files.unlink = [disk](const char *path) {
    return disk->fails() ? -1 : ::unlink(path);
  };
  return environment;
}

} // namespace

TEST(FailingDisk, NothingIsAcknowledgedAfterAFailure) {
  CHECK(
      rc::check("after a failure every call fails, and the state is the last one or the next", [] {
        const TemporaryFolder folder;
        const auto disk = std::make_shared<Disk>();
        RC_ASSERT(LogStore::create(folder.data(), 1, quickEnvironment()).ok());
        StoreModel model;
        StoreModel withSnapshot;
        StoreModel next;
        {
          RecoveredState recovered;
          auto store = LogStore::open(folder.data(), recovered, failingEnvironment(disk));
          RC_ASSERT(store.ok());
          disk->remainingCalls = numberBetween(0, 60);
          bool failed = false;
          while (!failed) {
            const Batch batch = randomBatch(model);
            next = model;
            next.write(batch);
            withSnapshot = model;
            withSnapshot.install(batch.snapshot);
            const auto status = store.value().write(batch);
            failed = !status.ok();
            RC_ASSERT(failed == disk->failed);
            if (!failed)
              model = next;
            // A removal that fails is repeated later; writes go on.
            if (!failed && numberBetween(0, 3) == 0 && !store.value().removeObsolete().ok()) {
              RC_ASSERT(std::exchange(disk->failed, false));
              disk->remainingCalls = numberBetween(0, 60);
            }
          }
          disk->remainingCalls = UINT64_MAX;
          RC_ASSERT(store.value().write({}).error().code == Errc::StorageFailure);
          RC_ASSERT(store.value().removeObsolete().error().code == Errc::StorageFailure);
        }
        RecoveredState recovered;
        RC_ASSERT(LogStore::open(folder.data(), recovered, quickEnvironment()).ok());
        const StoreModel found = modelOf(recovered);
        RC_ASSERT(found == model || found == withSnapshot || found == next);
      }));
}

/// A disk that takes no byte and names no error kept the thread in a loop.
TEST(FailingDisk, WriteOfNothingIsAFailure) {
  const TemporaryFolder folder;
  CHECK(LogStore::create(folder.data(), 1, quickEnvironment()).ok());
  Environment environment = quickEnvironment();
  std::uint64_t calls = 0;
  environment.files.write = [&calls](int descriptor, const char *data, std::size_t size) {
    constexpr std::uint64_t MaxCalls = 100; // Ends the loop.
    return ++calls < MaxCalls ? 0 : ::write(descriptor, data, size);
  };
  RecoveredState recovered;
  auto store = LogStore::open(folder.data(), recovered, environment);
  CHECK(!store.ok() || !store.value().write({StoredHardState{1, 1}, std::nullopt, {}}).ok());
}

TEST(FailingDisk, FolderIsCompleteOrCanBeCreatedAgain) {
  CHECK(rc::check("a failed creation can be repeated", [] {
    const TemporaryFolder folder;
    const auto disk = std::make_shared<Disk>();
    disk->remainingCalls = numberBetween(0, 20);
    const auto first = LogStore::create(folder.data(), 1, failingEnvironment(disk));
    RC_ASSERT(first.ok() != disk->failed);
    if (!first.ok() && first.error().code == Errc::StorageFailure) {
      const auto second = LogStore::create(folder.data(), 1, quickEnvironment());
      // RC_ASSERT without inner parentheses evaluates both sides of "||".
      RC_ASSERT((second.ok() || second.error().code == Errc::LimitReached));
    }
    RecoveredState recovered;
    RC_ASSERT(LogStore::open(folder.data(), recovered, quickEnvironment()).ok());
    RC_ASSERT(modelOf(recovered) == StoreModel());
  }));
}

TEST(FailingDisk, OpenFailsIfTheRecoveredTailCannotBeSynced) {
  const TemporaryFolder folder;
  CHECK(LogStore::create(folder.data(), 1, quickEnvironment()).ok());
  const auto disk = std::make_shared<Disk>();
  disk->remainingCalls = 0;
  RecoveredState recovered;
  const auto store = LogStore::open(folder.data(), recovered, failingEnvironment(disk));
  CHECK(store.error().code == Errc::StorageFailure);
}
