// Entry point of the operators' client.
#include "banyanrill/cli/Program.h"

#include <iostream>

int main(int argc, char **argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return banyanrill::cli::runProgram(arguments, BANYANRILL_VERSION,
                                     {std::cin, std::cout, std::cerr});
}
