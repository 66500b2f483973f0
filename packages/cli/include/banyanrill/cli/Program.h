// The operators' client as a function, so that tests can run it.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace banyanrill::cli {

/// Exit codes of the program; documented in docs/banyanrill.1.
enum ExitCode : int {
  ExitOk = 0,
  ExitRefused = 1,
  ExitUsage = 2,
  ExitUnreachable = 3,
  ExitUnknownOutcome = 4,
};

struct Streams {
  std::istream &in;
  std::ostream &out;
  std::ostream &err;
};

/// Runs one command. `arguments` do not include the name of the program. Not thread-safe, since it
/// reads the environment.
int runProgram(const std::vector<std::string> &arguments, const std::string &version,
               Streams streams);

} // namespace banyanrill::cli
