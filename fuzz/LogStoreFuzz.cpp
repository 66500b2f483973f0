// Any segment is either refused as corrupted, or opened with a state that is found again, and that
// takes a further batch.
#include "Environment.h"
#include "Record.h"
#include "Segment.h"
#include "banyanrill/storage/LogStore.h"

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <fuzzer/FuzzedDataProvider.h>
#include <string>

using namespace banyanrill::storage;
using banyanrill::base::Errc;

namespace {

void require(bool condition) {
  if (!condition)
    std::abort();
}

constexpr std::uint64_t Salt = 42;

Environment quickEnvironment() {
  Environment environment = systemEnvironment();
  environment.files.fsync = [](int) { return 0; };
  environment.files.fdatasync = [](int) { return 0; };
  return environment;
}

/// Folder of a new replica, removed at the end of the process.
class DataFolder {
public:
  DataFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "banyanrill-XXXXXX").string();
    this->path = ::mkdtemp(pattern.data());
    require(LogStore::create(this->path, 1).ok());
  }
  ~DataFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
  }
  std::string path;
};

void appendFrame(std::string &segment, const std::string &body) {
  segment += encodeFrame(Salt, segment.size(), body);
}

std::vector<StoredEntry> makeEntries(FuzzedDataProvider &input) {
  std::vector<StoredEntry> entries;
  while (input.ConsumeBool() && input.remaining_bytes() > 0)
    entries.push_back({input.ConsumeIntegralInRange<std::uint64_t>(0, 9),
                       input.ConsumeIntegralInRange<std::uint64_t>(0, 3), 0,
                       input.ConsumeRandomLengthString(4)});
  return entries;
}

/// Raw bytes, or valid frames of arbitrary or meaningful contents with raw bytes at the end: the
/// checksums would keep most random inputs from the code behind them.
std::string makeSegment(FuzzedDataProvider &input) {
  if (input.ConsumeIntegralInRange(0, 3) == 0)
    return input.ConsumeRemainingBytesAsString();
  std::string segment = encodeSegmentHeader({SegmentVersion, 1, Salt});
  appendFrame(segment, encodeRecord(StoredHardState{}, SnapshotMark{}, {}));
  while (input.ConsumeBool() && input.remaining_bytes() > 0) {
    if (input.ConsumeBool())
      appendFrame(segment, input.ConsumeRandomLengthString(64));
    else
      appendFrame(segment, encodeRecord(std::nullopt, std::nullopt, makeEntries(input)));
  }
  return segment + input.ConsumeRemainingBytesAsString();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  static const DataFolder Folder;
  static const Environment Quick = quickEnvironment();
  FuzzedDataProvider input(data, size);
  const std::string path = Folder.path + "/log-00000000000000000001";
  std::ofstream(path, std::ios::binary | std::ios::trunc) << makeSegment(input);

  RecoveredState first;
  StoredEntry next;
  {
    auto store = LogStore::open(Folder.path, first, Quick);
    if (!store) {
      require(store.error().code == Errc::DataCorrupted);
      return 0;
    }
    require(!first.snapshot);
    std::uint64_t index = 0;
    for (const StoredEntry &entry : first.entries)
      require(entry.index == ++index);
    next = {index + 1, first.hardState.term, 0, "next"};
    require(store.value().write({std::nullopt, std::nullopt, {next}}).ok());
  }
  RecoveredState second;
  require(LogStore::open(Folder.path, second, Quick).ok());
  require(second.repairedBytes == 0 && second.hardState == first.hardState);
  first.entries.push_back(next);
  require(second.entries == first.entries);
  return 0;
}
