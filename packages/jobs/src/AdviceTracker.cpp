#include "AdviceTracker.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// A start must reach the worker before the ticket expires.
constexpr base::Duration TicketMargin = std::chrono::milliseconds(150);

/// Pause after an answer without success, so that a failing service is not pressed.
constexpr base::Duration RetryPause = std::chrono::milliseconds(100);

} // namespace

void AdviceTracker::setAdvisoryDaemons(const std::vector<base::DaemonId> &daemons) {
  const std::set<base::DaemonId> next(daemons.begin(), daemons.end());
  for (const base::DaemonId daemon : next) {
    if (this->advisers.count(daemon) == 0)
      this->idle.insert(daemon);
  }
  for (const base::DaemonId daemon : this->advisers) {
    if (next.count(daemon) == 0)
      this->idle.erase(daemon);
  }
  this->advisers = next;
}

const StepAdvice *AdviceTracker::find(const StepKey &step) const {
  const auto known = this->steps.find(step);
  return known == this->steps.end() ? nullptr : &known->second;
}

const Ticket *AdviceTracker::ticketFor(const StepKey &step, WorkerNumber worker,
                                       base::TimePoint now) const {
  const StepAdvice *advice = this->find(step);
  if (advice == nullptr)
    return nullptr;
  const auto found = advice->tickets.find(worker);
  return found != advice->tickets.end() && found->second.until > now ? &found->second : nullptr;
}

AdviceOrder AdviceTracker::ask(OrderId id, const OpenStep &step, std::vector<std::string> workers,
                               base::TimePoint now) {
  const AdvicePolicy &policy = *step.job->queue.advice;
  AdviceOrder order;
  order.id = id;
  order.daemon = *this->idle.begin();
  this->idle.erase(this->idle.begin());
  order.step = step.key;
  order.expectedMs = static_cast<std::int64_t>(
      policy.baseMs + policy.perWorkerMs * static_cast<double>(workers.size()));
  order.workers = workers;
  ++this->steps[step.key].callsInFlight;
  this->asked.emplace(id,
                      Asked{step.key, order.daemon, std::move(workers), now, policy.ticketLifeMs});
  return order;
}

std::optional<StepKey> AdviceTracker::onAnswer(
    OrderId id, const AdviceAnswer &answer,
    const std::function<std::optional<WorkerNumber>(const std::string &)> &numberOf,
    base::TimePoint now) {
  const auto found = this->asked.find(id);
  if (found == this->asked.end())
    return std::nullopt;
  const Asked call = std::move(found->second);
  this->asked.erase(found);
  if (this->advisers.count(call.daemon) != 0)
    this->idle.insert(call.daemon);
  const auto known = this->steps.find(call.step);
  if (known == this->steps.end())
    return call.step;
  StepAdvice &advice = known->second;
  // A call outlives what is known of its step, if its job ends and comes again.
  advice.callsInFlight -= std::min(advice.callsInFlight, 1U);
  if (!answer.answered) {
    advice.askAgain = now + RetryPause;
    return call.step;
  }
  for (const std::string &worker : call.workers) {
    if (const std::optional<WorkerNumber> number = numberOf(worker))
      advice.bad.insert(*number);
  }
  // The life of a ticket begins when the service answers; the answer's way back is in the margin.
  const base::TimePoint until = now + std::chrono::milliseconds(call.ticketLifeMs) - TicketMargin;
  for (const auto &[worker, ticket] : answer.tickets) {
    const std::optional<WorkerNumber> number = numberOf(worker);
    if (!number)
      continue;
    advice.bad.erase(*number);
    advice.tickets[*number] = {ticket, until};
  }
  return call.step;
}

void AdviceTracker::forgetWorker(WorkerNumber worker) {
  for (auto &[step, advice] : this->steps) {
    advice.tickets.erase(worker);
    advice.bad.erase(worker);
  }
}

void AdviceTracker::forgetJob(const std::string &job) {
  this->steps.erase(this->steps.lower_bound({job, 0, 0}),
                    this->steps.upper_bound({job, UINT32_MAX, UINT32_MAX}));
}

} // namespace banyanrill::jobs
