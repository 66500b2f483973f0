// Random sequences of steps for the properties of this package.
#pragma once

#include "banyanrill/base/Time.h"

#include <tuple>
#include <vector>

#include <rapidcheck.h>

namespace banyanrill::routing {

/// Kind of step and three parameters in [0, 1000).
using Step = std::tuple<int, int, int, int>;

/// Precondition: called inside a property.
inline std::vector<Step> anySteps(int kinds) {
  const auto parameter = rc::gen::inRange(0, 1000);
  const auto step = rc::gen::resize(
      100, rc::gen::tuple(rc::gen::inRange(0, kinds), parameter, parameter, parameter));
  return *rc::gen::scale(3, rc::gen::container<std::vector<Step>>(step));
}

inline base::TimePoint at(std::chrono::milliseconds sinceStart) {
  return base::TimePoint(std::chrono::hours(1)) + sinceStart;
}

} // namespace banyanrill::routing
