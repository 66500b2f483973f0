// standin_cell CONFIG.json: workers and upstream instances; SIGTERM ends it gracefully.
#include "Cell.h"

#include <csignal>
#include <iostream>

namespace {

volatile std::sig_atomic_t stopRequested = 0;

} // namespace

int main(int argc, char **argv) {
  using namespace banyanrill::standins;
  constexpr int UsageError = 2;
  if (argc != 2) {
    std::cerr << "usage: standin_cell CONFIG.json\n";
    return UsageError;
  }
  std::signal(SIGTERM, [](int) { stopRequested = 1; });
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Cell cell(readCellOptions(readJsonFile(argv[1])));
    cell.run([] { return stopRequested != 0; });
  } catch (const std::exception &error) {
    std::cerr << argv[1] << ": " << error.what() << '\n';
    return UsageError;
  }
  return 0;
}
