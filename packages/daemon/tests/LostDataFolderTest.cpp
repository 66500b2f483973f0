// Guards against a replica that lost its disk and votes again under its old number.
#include "banyanrill/daemon/StorageTask.h"

#include <filesystem>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;

TEST_GROUP(LostDataFolder) {
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("banyanrill-" + std::to_string(getpid())))
          .string();
  daemon::Config config;

  void setup() override {
    config.daemon = 3;
    config.dataFolder = folder;
  }
  void teardown() override { std::filesystem::remove_all(folder); }
};

TEST(LostDataFolder, IsNotReplacedByAnEmptyOne) {
  CHECK(daemon::initializeDataFolder(config).ok());
  CHECK(daemon::openDataFolder(config).ok());
  std::filesystem::remove_all(folder);
  const auto opened = daemon::openDataFolder(config);
  CHECK(!opened.ok());
  CHECK(opened.error().code == base::Errc::NotFound);
}

TEST(LostDataFolder, IsNotInitializedTwice) {
  CHECK(daemon::initializeDataFolder(config).ok());
  CHECK(!daemon::initializeDataFolder(config).ok());
}

TEST(LostDataFolder, OfAnotherReplicaIsRefused) {
  CHECK(daemon::initializeDataFolder(config).ok());
  config.daemon = 4;
  CHECK(!daemon::openDataFolder(config).ok());
}
