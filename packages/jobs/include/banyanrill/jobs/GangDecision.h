// What a planning round decided about a gang, and why: for the log and the metrics.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/Model.h"

#include <array>
#include <string_view>

namespace banyanrill::jobs {

enum class GangOutcome : std::uint8_t {
  Placed,         ///< All members are proposed to the log.
  PassedOver,     ///< The gangs before it took all reservations of the round.
  TooFewPlaces,   ///< Permitted workers have too few places, now and soon; it asks for more.
  RoomInUse,      ///< Its places are reserved; some become free later.
  TicketsExpired, ///< Its places are free, and some tickets are no longer valid.
  RoomReserved,   ///< Its places are free, and held for the gangs before it.
  OverLimit,      ///< It would take its workspace over its limit.
};

constexpr std::size_t GangOutcomes = 7;

constexpr std::array<std::string_view, GangOutcomes> GangOutcomeNames = {
    "placed",          "passed_over",   "too_few_places", "room_in_use",
    "tickets_expired", "room_reserved", "over_limit"};

/// Thread-safe.
constexpr std::string_view nameOf(GangOutcome outcome) {
  return GangOutcomeNames.at(static_cast<std::size_t>(outcome));
}

struct GangDecision {
  StepKey step;
  std::string queue;
  GangOutcome outcome = GangOutcome::Placed;
  std::uint32_t members = 0;
  std::uint32_t tier = 0;    ///< 0: can still meet its target; 1: late; 2: worth nothing any more.
  base::Duration waited{};   ///< Since the job was due.
  std::size_t position = 0;  ///< Among the gangs of the round; 0 comes first.
  std::size_t permitted = 0; ///< Workers that the advisory service permitted.
  std::uint32_t places = 0;  ///< Reserved, or found before there were too few.
  base::Duration startsIn{}; ///< Until the last of the places is expected to be free.

  bool operator==(const GangDecision &) const = default;
};

} // namespace banyanrill::jobs
