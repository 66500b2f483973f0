// Guards against replicas that stay out of the group for good after their disks have refused
// writes.
#include "CellSetup.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::test;
using namespace std::chrono_literals;

TEST_GROUP(FullDisk){};

/// One disk at a time was full for 2 s; after the second one the cell had no majority any more.
TEST(FullDisk, CellWorksAfterOneDiskAfterAnotherWasFull) {
  TestCell cell(1, 8);
  prepare(cell);
  for (base::DaemonId daemon = 1; daemon <= 3; ++daemon) {
    CHECK(cell.core(daemon)->replication() != nullptr);
    cell.fillDisk(daemon);
    cell.run(2s);
    cell.healDisk(daemon);
    cell.run(5s);
    CHECK(cell.set("/teams/riga/services/s" + std::to_string(daemon),
                   R"({"count":1,"millicores":300,"memory_mib":128})"));
  }
  for (const std::string &violation : cell.violations())
    FAIL(violation.c_str());
}

TEST(FullDisk, CellWorksAfterAllDisksWereFullAtOnce) {
  TestCell cell(2, 8);
  prepare(cell);
  for (base::DaemonId daemon = 1; daemon <= 3; ++daemon)
    cell.fillDisk(daemon);
  cell.run(4s);
  for (base::DaemonId daemon = 1; daemon <= 3; ++daemon)
    cell.healDisk(daemon);
  cell.run(5s);
  CHECK(cell.set("/teams/riga/services/s", R"({"count":1,"millicores":300,"memory_mib":128})"));
  for (const std::string &violation : cell.violations())
    FAIL(violation.c_str());
}
