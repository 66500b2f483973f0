// Record of what a stand-in did, one JSON object a line.
#pragma once

#include "banyanrill/base/Time.h"

#include <fstream>
#include <string>

#include <nlohmann/json.hpp>

namespace banyanrill::standins {

/// Appends to a file and flushes every line, so that a killed process loses nothing. Times are
/// microseconds of the machine's steady clock, so that journals of several processes can be
/// compared. Not thread-safe.
class Journal {
public:
  /// Throws std::runtime_error if the file cannot be opened.
  explicit Journal(const std::string &path);

  /// Adds the fields "event" and "t_us".
  void write(const std::string &event, nlohmann::json fields, base::TimePoint now);

private:
  std::ofstream file;
};

/// Reads and parses a whole JSON file. Throws std::runtime_error with the path on failure.
nlohmann::json readJsonFile(const std::string &path);

} // namespace banyanrill::standins
