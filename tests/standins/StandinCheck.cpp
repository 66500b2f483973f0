// standin_check JOURNAL... --requests FILE...: prints the summary; exit code 1 on any fault.
#include "Check.h"

#include <fstream>
#include <iostream>
#include <string_view>

#include <nlohmann/json.hpp>

int main(int argc, char **argv) {
  using banyanrill::standins::Check;
  using banyanrill::standins::Summary;
  constexpr int UsageError = 2;
  Check check;
  bool requests = false;
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--requests") {
      requests = true;
      continue;
    }
    std::ifstream file(argv[i]);
    if (!file) {
      std::cerr << argv[i] << ": cannot be read\n";
      return UsageError;
    }
    try {
      if (requests)
        check.addRequests(file);
      else
        check.addJournal(file);
    } catch (const std::exception &error) {
      std::cerr << argv[i] << ": " << error.what() << '\n';
      return UsageError;
    }
  }
  if (argc < 2) {
    std::cerr << "usage: standin_check JOURNAL... --requests FILE...\n";
    return UsageError;
  }
  const Summary summary = check.judge();
  const nlohmann::json values = summary.toJson();
  for (const auto &[name, value] : values.items())
    std::cout << name << ": " << value << '\n';
  std::cout << values.dump() << std::endl;
  return summary.hasFault() ? 1 : 0;
}
