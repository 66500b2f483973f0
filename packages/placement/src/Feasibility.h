// Jobs that can never run, and why a job waits.
#pragma once

#include "PlannerCore.h"

namespace banyanrill::placement {

/// Error Infeasible if the job could not run even in an empty cell; names the resource or rule.
base::Status checkFeasible(const JobSpec &spec, const WorkerIndex &workers,
                           const std::optional<base::Resources> &quota,
                           const PlannerOptions &options);

/// State of the job in words and numbers.
std::string explainJob(const Job &job, const PlannerCore &core, base::TimePoint now);

} // namespace banyanrill::placement
