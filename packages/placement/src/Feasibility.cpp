#include "Feasibility.h"

#include "Slots.h"

#include <algorithm>

namespace banyanrill::placement {

using base::Resources;
using base::Status;

namespace {

Status infeasible(const JobSpec &spec, const std::string &message) {
  return base::Error{base::Errc::Infeasible, spec.id.value, message};
}

std::string describeExcess(const Resources &demand, const Resources &limit) {
  const auto describe = [](const char *name, std::int64_t requested, std::int64_t maximum) {
    return std::string(name) + ": " + std::to_string(requested) + " wanted, at most " +
           std::to_string(maximum);
  };
  if (demand.millicores > limit.millicores)
    return describe("millicores", demand.millicores, limit.millicores);
  if (demand.memoryMib > limit.memoryMib)
    return describe("memory_mib", demand.memoryMib, limit.memoryMib);
  return describe("accelerators", demand.accelerators, limit.accelerators);
}

} // namespace

Status checkFeasible(const JobSpec &spec, const WorkerIndex &workers,
                     const std::optional<Resources> &quota, const PlannerOptions &options) {
  if (!spec.demand.isValid() || spec.count < 0)
    return infeasible(spec, "count or demand is negative");
  Resources maximum;
  bool matched = false;
  bool fits = false;
  std::int64_t slots = 0;
  for (std::uint32_t slot = 0; slot < workers.size(); ++slot) {
    const Worker &worker = workers.at(slot);
    const std::vector<std::string> &names = spec.dataCentres;
    if (!worker.known || (!names.empty() && std::find(names.begin(), names.end(),
                                                      worker.view.dataCentre) == names.end()))
      continue;
    matched = true;
    const Resources &capacity = worker.view.capacity;
    maximum = {std::max(maximum.millicores, capacity.millicores),
               std::max(maximum.memoryMib, capacity.memoryMib),
               std::max(maximum.accelerators, capacity.accelerators)};
    if (!spec.demand.fitsIn(capacity))
      continue;
    fits = true;
    slots += slotsIn(capacity, spec.demand);
  }
  if (!matched)
    return infeasible(spec, "data_centres: no worker is in any of the data centres allowed");
  if (!spec.demand.fitsIn(maximum))
    return infeasible(spec, describeExcess(spec.demand, maximum));
  if (!fits)
    return infeasible(spec, "no single worker has the processors, memory and accelerators of a "
                            "task together");
  const std::int64_t together = spec.kind == JobKind::Gang ? spec.count : 1;
  if (quota && !(spec.demand * together).fitsIn(*quota))
    return infeasible(spec, "quota of team " + spec.team + ": " +
                                describeExcess(spec.demand * together, *quota));
  if (spec.kind != JobKind::Gang)
    return std::monostate{};
  if (slots < spec.count)
    return infeasible(spec, "gang of " + std::to_string(spec.count) + " tasks; the cell holds " +
                                std::to_string(slots));
  if (static_cast<std::size_t>(spec.count) > options.maxActionsPerPlan)
    return infeasible(spec, "gang of " + std::to_string(spec.count) + " tasks; the limit is " +
                                std::to_string(options.maxActionsPerPlan));
  return std::monostate{};
}

std::string explainJob(const Job &job, const PlannerCore &core, base::TimePoint now) {
  if (job.ending)
    return "ending (" + job.endReason + "): " + std::to_string(job.active) + " tasks to stop";
  std::string text = std::to_string(job.active) + " tasks active, " +
                     std::to_string(job.succeeded) + " succeeded, " +
                     std::to_string(job.ready.size()) + " waiting";
  if (job.delayed > 0)
    text += ", " + std::to_string(job.delayed) + " waiting for a retry";
  if (job.ready.empty())
    return text;
  const auto seconds = [](base::Duration value) {
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(value).count()) + " s";
  };
  text += "; waiting for " + seconds(now - job.waitingSince);
  if (job.notBefore > now)
    text += "; fails on several workers, next start in " + seconds(job.notBefore - now);
  if (job.claimCount > 0)
    text += "; " + std::to_string(job.claimCount) + " workers are being vacated by preemption";
  if (!job.team->admits(job.spec.demand, job.spec.preemptible))
    text += job.spec.preemptible ? "; beyond the quota of the team, starts on idle capacity only"
                                 : "; beyond the quota of the team";
  if (core.reservation.holder() == &job)
    text += "; holds the reservation, expected to start within " +
            seconds(core.reservation.startBy() - now);
  const Status feasible = checkFeasible(job.spec, core.workers, job.team->quota, core.options);
  if (!feasible.ok())
    text += "; cannot run now: " + feasible.error().message;
  return text;
}

} // namespace banyanrill::placement
