// cases NAME RECORD: runs one case from the root of the repository. TROUBLE=0 leaves its disruption
// out.
#include "Cases.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <unistd.h>

using namespace review;

namespace {

struct NamedCase {
  const char *name;
  int (*run)(const CaseOptions &, Record &);
};

constexpr NamedCase Cases[] = {{"foreign-report", runForeignReport},
                               {"leaving-minion", runLeavingMinion},
                               {"leadership-regained", runLeadershipRegained}};

} // namespace

int main(int count, char **arguments) {
  constexpr int CannotRun = 2;
  if (count != 3) {
    std::fprintf(stderr, "usage: cases NAME RECORD\n");
    return CannotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  char name[] = "/tmp/review-XXXXXX";
  CaseOptions options;
  options.folder = mkdtemp(name);
  const char *trouble = std::getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  Record record(arguments[2]);
  record.line(std::string("case ") + arguments[1] + (options.trouble ? "" : ", no disruption"));
  int result = CannotRun;
  try {
    for (const NamedCase &named : Cases) {
      if (std::strcmp(named.name, arguments[1]) == 0)
        result = named.run(options, record);
    }
  } catch (const std::exception &failure) {
    record.line(std::string("cannot run: ") + failure.what());
  }
  record.line("exit " + std::to_string(result));
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(options.folder);
  else
    std::printf("%s\n", options.folder.c_str());
  return result;
}
