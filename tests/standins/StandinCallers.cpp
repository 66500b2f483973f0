// standin_callers CONFIG.json: sends requests and records what each caller was told.
#include "Callers.h"

#include <csignal>
#include <iostream>

int main(int argc, char **argv) {
  using namespace banyanrill::standins;
  constexpr int UsageError = 2;
  if (argc != 2) {
    std::cerr << "usage: standin_callers CONFIG.json\n";
    return UsageError;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Callers callers(readCallersOptions(readJsonFile(argv[1])));
    std::cout << R"({"sent":)" << callers.run() << "}" << std::endl;
  } catch (const std::exception &error) {
    std::cerr << argv[1] << ": " << error.what() << '\n';
    return UsageError;
  }
  return 0;
}
