#include "banyanrill/jobs/WorkerDecision.h"

#include <array>

namespace banyanrill::jobs {

std::string_view nameOf(SessionCause cause) {
  static constexpr std::array<std::string_view, 3> Names = {"new_leader", "registered",
                                                            "restarted"};
  return Names.at(static_cast<std::size_t>(cause));
}

std::string_view nameOf(DoubtCause cause) {
  static constexpr std::array<std::string_view, 3> Names = {"report_of_another", "address_in_use",
                                                            "other_clock"};
  return Names.at(static_cast<std::size_t>(cause));
}

std::string_view nameOf(RemovalCause cause) {
  static constexpr std::array<std::string_view, 3> Names = {"idle_silence", "other_worker_answers",
                                                            "left"};
  return Names.at(static_cast<std::size_t>(cause));
}

std::string_view nameOf(ReleaseCause cause) {
  static constexpr std::array<std::string_view, 6> Names = {
      "not_sent", "refused", "not_listed", "earlier_session", "lease_ended", "worker_removed"};
  return Names.at(static_cast<std::size_t>(cause));
}

} // namespace banyanrill::jobs
