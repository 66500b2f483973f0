// Any body from callers, operators, workers or services is read within the limits, or refused.
#include "../platform/tests/BodyChecks.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  banyanrill::platform::test::checkAllReaders(
      std::string(reinterpret_cast<const char *>(data), size));
  return 0;
}
