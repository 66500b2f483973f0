#include "banyanrill/jobs/Orders.h"

#include <array>

namespace banyanrill::jobs {

std::string_view nameOf(OrderOutcome outcome) {
  static constexpr std::array<std::string_view, 11> Names = {
      "accepted",  "fenced",  "old_run",    "lease_too_late", "no_room",  "ticket_invalid",
      "unhealthy", "invalid", "other_life", "not_sent",       "no_answer"};
  const auto index = static_cast<std::size_t>(outcome);
  return index < Names.size() ? Names[index] : std::string_view("unknown");
}

} // namespace banyanrill::jobs
