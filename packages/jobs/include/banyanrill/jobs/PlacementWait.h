// A step that was held back for a place near its data or its members: for the log and the metrics.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/Model.h"

namespace banyanrill::jobs {

enum class WaitOutcome : std::uint8_t {
  Reached, ///< The last tasks that waited got their place.
  GivenUp, ///< Started elsewhere, lost the other places too, or ended.
};

/// One wait that has ended.
struct PlacementWait {
  StepKey step;
  std::string queue;
  std::string rack; ///< Of the place.
  WaitOutcome outcome = WaitOutcome::Reached;
  std::string reason; ///< Why it was given up; empty otherwise.
  base::Duration waited{};

  bool operator==(const PlacementWait &) const = default;
};

struct PlacementWaitCounters {
  std::uint64_t begun = 0;
  std::uint64_t reached = 0;
  std::uint64_t givenUp = 0;

  bool operator==(const PlacementWaitCounters &) const = default;
};

} // namespace banyanrill::jobs
