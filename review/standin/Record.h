// The record of one case: what was sent, answered and run, one line each.
#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Milliseconds of the steady clock since the program started.
std::int64_t nowMs();

/// Milliseconds since 1970.
std::int64_t wallClockMs();

void sleepMs(std::int64_t milliseconds);

/// Returns a number below `bound` from the generator of the process.
std::uint64_t randomBelow(std::uint64_t bound);

/// Returns 16 random hexadecimal digits.
std::string randomId();

/// Thread-safe.
class Record {
public:
  explicit Record(const std::string &fileName) : file(fileName, std::ios::trunc) {}

  void line(const std::string &text);

  /// Notes that a rule was broken.
  void broken(const std::string &rule, const std::string &text);

  int brokenCount();

private:
  std::mutex mutex;
  std::ofstream file;
  int breaks = 0;
};

} // namespace review
