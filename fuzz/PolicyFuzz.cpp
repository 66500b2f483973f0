// Any path and value is either accepted with amounts inside their bounds, or refused with a
// printable error.
#include "SettingPath.h"
#include "banyanrill/settings/Policy.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <fuzzer/FuzzedDataProvider.h>
#include <string>

using namespace banyanrill;

namespace {

void require(bool condition) {
  if (!condition)
    std::abort();
}

void requirePrintable(const base::Error &error) {
  const auto printable = [](char character) { return character >= ' ' && character <= '~'; };
  require(!error.message.empty());
  require(std::all_of(error.message.begin(), error.message.end(), printable));
  require(std::all_of(error.path.begin(), error.path.end(), printable));
}

void requireBounds(const base::Resources &demand) {
  require(demand.isValid() && demand.fitsIn({1000000000, 1000000000, 1000000}));
}

constexpr std::array<const char *, 9> Paths = {
    "/teams/a/operations/s.o", "/teams/a/services/s", "/teams/a/batches/b",
    "/teams/a/gangs/g",        "/teams/a/notes/n",    "/cell/quotas/a",
    "/cell/tokens/t",          "/cell/workers/w",     "/system/owners/w"};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  FuzzedDataProvider input(data, size);
  const std::string path = input.ConsumeBool() ? std::string(input.PickValueInArray(Paths))
                                               : input.ConsumeRandomLengthString(80);
  const std::string json = input.ConsumeRemainingBytesAsString();

  const base::Status status = settings::checkSetting(path, json);
  if (!status)
    requirePrintable(status.error());
  require(!status || settings::splitPath(path).has_value());

  const auto job = settings::parseJobPolicy(path, json);
  if (job) {
    require(status.ok());
    require(job.value().count >= 1 && job.value().count <= 65536);
    require(job.value().maxAttempts >= 1 && job.value().runMs >= 0);
    requireBounds(job.value().demand);
  } else {
    requirePrintable(job.error());
  }

  const auto operation = settings::parseOperationPolicy(json);
  if (operation) {
    require(operation.value().deadlineMs >= 1 && operation.value().deadlineMs <= 3600000);
    requireBounds(operation.value().demand);
  } else {
    requirePrintable(operation.error());
  }
  return 0;
}
