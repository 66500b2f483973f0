// Log lines for the orders to workers and for what the leader concludes from their answers.
#include "WorkerLog.h"

#include "banyanrill/base/EventLog.h"

#include <vector>

namespace banyanrill::node {

namespace {

using Fields = std::vector<base::EventField>;

std::string milliseconds(base::Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string textOf(const std::optional<std::int64_t> &value) {
  return value ? std::to_string(*value) : std::string();
}

Fields fieldsOf(const jobs::RunKey &run) {
  return {{"job", run.task.job},
          {"occurrence", std::to_string(run.task.occurrence)},
          {"step", std::to_string(run.task.step)},
          {"task", std::to_string(run.task.index)},
          {"run", std::to_string(run.run)}};
}

Fields fieldsOf(const jobs::SessionKey &session) {
  return {{"worker", session.worker.id},
          {"born", std::to_string(session.worker.startTimeMs)},
          {"fence", std::to_string(session.fencingToken)}};
}

Fields operator+(Fields first, const Fields &second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

void logOne(const jobs::SessionBegan &began) {
  base::logEvent(base::Event::WorkerSessionBegan,
                 fieldsOf(began.session) + Fields{{"cause", std::string(nameOf(began.cause))},
                                                  {"lease_left_ms", milliseconds(began.leaseLeft)},
                                                  {"runs", std::to_string(began.placements)}});
}

void logOne(const jobs::WorkerDoubted &doubted) {
  base::logEvent(base::Event::WorkerDoubted,
                 fieldsOf(doubted.session) +
                     Fields{{"cause", std::string(nameOf(doubted.cause))},
                            {"other_born", std::to_string(doubted.otherStartTimeMs)}});
}

void logOne(const jobs::RestartSeen &seen) {
  base::logEvent(base::Event::WorkerRestartSeen,
                 fieldsOf(seen.session) + Fields{{"new_born", std::to_string(seen.startTimeMs)}});
}

void logOne(const jobs::WorkerFellSilent &silent) {
  base::logEvent(base::Event::WorkerFellSilent,
                 fieldsOf(silent.session) +
                     Fields{{"lease_left_ms", milliseconds(silent.leaseLeft)}});
}

void logOne(const jobs::WorkerRemovalDecided &removal) {
  base::logEvent(base::Event::WorkerRemovalDecided,
                 fieldsOf(removal.session) +
                     Fields{{"cause", std::string(nameOf(removal.cause))},
                            {"silent_ms", milliseconds(removal.silentFor)},
                            {"lease_left_ms", milliseconds(removal.leaseLeft)},
                            {"runs", std::to_string(removal.placements)}});
}

void logOne(const jobs::RunReleaseDecided &release) {
  base::logEvent(base::Event::RunReleaseDecided,
                 fieldsOf(release.run) + fieldsOf(release.session) +
                     Fields{{"cause", std::string(nameOf(release.cause))}});
}

Fields fieldsOf(const jobs::OrderTarget &target, jobs::OrderOutcome outcome,
                const std::optional<std::int64_t> &clockMs) {
  return {{"worker", target.worker},
          {"fence", std::to_string(target.fencingToken)},
          {"clock_ms", textOf(clockMs)},
          {"outcome", std::string(jobs::nameOf(outcome))}};
}

void logOne(const jobs::StartOrder &start, const jobs::OrderAnswer &answer) {
  base::logEvent(base::Event::RunOrdered,
                 fieldsOf(start.run) + fieldsOf(start.target, answer.outcome, answer.clockMs) +
                     Fields{{"lease_until_ms", std::to_string(start.leaseUntilMs)}});
}

void logOne(const jobs::StopOrder &stop, const jobs::OrderAnswer &answer) {
  base::logEvent(base::Event::RunStopOrdered,
                 fieldsOf(stop.run) + fieldsOf(stop.target, answer.outcome, answer.clockMs));
}

void logOne(const jobs::RenewLeaseOrder &renewal, const jobs::RenewLeaseAnswer &answer) {
  if (answer.outcome == jobs::OrderOutcome::Accepted)
    return;
  base::logEvent(base::Event::WorkerNotHeld,
                 fieldsOf(renewal.target, answer.outcome, answer.clockMs) +
                     Fields{{"lease_until_ms", textOf(renewal.leaseUntilMs)}});
}

} // namespace

void logOrder(const jobs::WorkerOrder &order, const jobs::WorkerAnswer &answer) {
  if (const auto *renewal = std::get_if<jobs::RenewLeaseOrder>(&order))
    logOne(*renewal, std::get<jobs::RenewLeaseAnswer>(answer));
  else if (const auto *start = std::get_if<jobs::StartOrder>(&order))
    logOne(*start, std::get<jobs::OrderAnswer>(answer));
  else if (const auto *stop = std::get_if<jobs::StopOrder>(&order))
    logOne(*stop, std::get<jobs::OrderAnswer>(answer));
}

void logDecision(const jobs::WorkerDecision &decision) {
  std::visit([](const auto &typed) { logOne(typed); }, decision);
}

} // namespace banyanrill::node
