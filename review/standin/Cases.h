// The cases that are scripts. Each returns the exit code of its script: 1 if a rule was broken, 0
// if all held, 2 if the case could not run.
#pragma once

#include "Record.h"

#include <string>

namespace review {

struct CaseOptions {
  std::string folder;  ///< For the daemons' files; removed by the caller.
  bool trouble = true; ///< False: the same without the disruption.
};

int runForeignReport(const CaseOptions &options, Record &record);
int runLeavingMinion(const CaseOptions &options, Record &record);
int runLeadershipRegained(const CaseOptions &options, Record &record);

} // namespace review
