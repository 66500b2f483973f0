// The load of a large fleet on a simulated cell: three classes of jobs that compete for room, one
// of them gangs of very different widths. Shows how often the jobs of each width were served.
#pragma once

#include "FakeCell.h"

#include <algorithm>

namespace banyanrill::jobs::test {

/// One class of jobs; each job has one step.
struct LoadClass {
  std::string queue;
  double jobsPerSecond = 0;
  double width = 0;       ///< Mean number of tasks.
  double widthSpread = 0; ///< Standard deviation of the width's logarithm.
  std::uint32_t maxWidth = 0;
  std::int64_t millicores = 0;
  std::int64_t milliseconds = 0; ///< Mean of a task.
  double gangShare = 0;
  double permittedShare = 0; ///< Of the workers, by the advisory service.
  std::uint32_t priority = 0;
  double stretch = 0;
  std::int64_t latencyMs = 0;
  AdvicePolicy advice;
};

/// The classes of a fleet of `ReferenceWorkers` workers with `FleetCapacity` each.
std::vector<LoadClass> fleetClasses();
constexpr std::size_t ReferenceWorkers = 1100;
constexpr std::size_t ReferenceAdvisers = 150;
constexpr base::Resources FleetCapacity = {16000, 32000, 0};

Queue queueOf(const LoadClass &kind);

/// A cell with these classes; daemons that call the advisory service in proportion.
CellOptions fleetOptions(std::uint64_t seed, std::size_t workers = ReferenceWorkers);

/// Number of jobs by when they ended.
struct Served {
  std::size_t jobs = 0;
  std::size_t inTarget = 0;
  std::size_t late = 0; ///< In three times the target at most.

  /// Of all jobs, those that were served at all.
  double share() const { return this->shareOf(this->inTarget + this->late); }
  double inTargetShare() const { return this->shareOf(this->inTarget); }

private:
  double shareOf(std::size_t count) const {
    return static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(this->jobs, 1));
  }
};

/// Not thread-safe.
class FleetLoad {
public:
  /// The jobs are spread over this many workspaces, named "workspace0" and so on; 0: no workspace.
  FleetLoad(FakeCell &fleet, std::uint64_t seed, std::size_t workspaceCount = 0);

  /// Multiplies the rates of all classes from now on.
  void setFactor(double rateFactor) { this->factor = rateFactor; }

  /// Submits jobs for this time.
  void run(std::int64_t milliseconds);

  /// The jobs of a class from the given share of its widths on: 0 for all, 0.9 for the widest
  /// tenth. Call when no job that counts can still end in time.
  Served served(std::size_t index, double fromShare = 0) const;

private:
  struct Submitted {
    std::string id;
    std::uint32_t width = 0;
  };

  FakeCell &cell;
  base::RandomSource random;
  std::vector<LoadClass> classes;
  std::size_t workspaces;
  double factor = 1;
  std::vector<double> due;
  std::vector<std::vector<Submitted>> jobs; ///< By class.
  std::uint64_t lastJob = 0;

  std::uint32_t drawWidth(const LoadClass &kind);
  void submit(std::size_t index);
};

} // namespace banyanrill::jobs::test
