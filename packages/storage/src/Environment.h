// Calls to the operating system that make data durable, as a table, so that a test can let any of
// them fail.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <sys/types.h>

namespace banyanrill::storage {

/// Each has the meaning and the result of the system call of that name; errors are left in `errno`.
struct FileOperations {
  std::function<ssize_t(int descriptor, const char *data, std::size_t size)> write;
  std::function<int(int descriptor)> fdatasync;
  std::function<int(int descriptor)> fsync;
  std::function<int(const char *from, const char *to)> rename;
  std::function<int(const char *path)> unlink;
};

struct Environment {
  FileOperations files;
  /// A segment that has reached this size is not extended. 4 MiB hold about one snapshot interval
  /// (4,096 entries of 1 KiB), so that few segments exist and old ones are removed soon.
  std::size_t segmentBytes = std::size_t{4} << 20U;
};

/// The calls of the operating system.
Environment systemEnvironment();

} // namespace banyanrill::storage
