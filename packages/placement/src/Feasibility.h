// Detects jobs that can never run, and explains why a job waits.
#pragma once

#include "PlannerCore.h"

namespace banyanrill::placement {

/// Error: Infeasible if the job could not run even in an empty cell; names the resource or
/// constraint.
base::Status checkFeasible(const JobSpec &spec, const WorkerIndex &workers,
                           const std::optional<base::Resources> &quota,
                           const PlannerOptions &options);

/// Returns the state of the job as text for operators.
std::string explainJob(const Job &job, const PlannerCore &core, base::TimePoint now);

} // namespace banyanrill::placement
