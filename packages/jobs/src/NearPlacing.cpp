// Places the tasks of steps that run faster near their data, and gangs that run faster on one rack:
// asks PlacementDelay whether to start elsewhere or to hold them back.
#include "DispatcherState.h"

#include <algorithm>
#include <cmath>

namespace banyanrill::jobs {

namespace {

/// Workers with a higher share of failures are not waited for.
constexpr double MaxFailureShare = 0.4;

/// Maximum number of workers that an advisory call names because they have room soon; a rack
/// holds 8.
constexpr std::size_t MaxSoonNear = 8;

/// What is logged of a wait that was given up.
const char *nameOf(DelayReason reason) {
  switch (reason) {
  case DelayReason::PreferredFree:
    return "place_avoided";
  case DelayReason::NoOtherPlace:
    return "no_other_place";
  case DelayReason::NoForecast:
    return "no_forecast";
  case DelayReason::OverShare:
    return "over_share";
  case DelayReason::WaitUsedUp:
    return "wait_used_up";
  case DelayReason::ForecastTurned:
    return "forecast_turned";
  case DelayReason::WouldBeLate:
    return "would_be_late";
  case DelayReason::DoesNotPay:
    return "does_not_pay";
  case DelayReason::Pays:
  case DelayReason::MeetsTarget:
    break;
  }
  return "";
}

} // namespace

double Dispatcher::State::remoteFactor(const Step &step, const WorkerProfile &profile) const {
  return step.dataRack.empty() || profile.rack == step.dataRack ? 1 : this->options.remotePenalty;
}

base::Duration Dispatcher::State::expectedRun(const Job &job, const Step &step,
                                              const WorkerSession &session) const {
  const base::Duration usual =
      this->speeds.expected(session.slowness, job.queue.name, step.estimatedMs);
  const double factor = this->remoteFactor(step, session.worker->profile);
  if (factor <= 1)
    return usual;
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(usual.count()) * factor));
}

bool Dispatcher::State::isOverShare(const OpenStep &open) const {
  return this->ledger.hasWorkspaces() &&
         this->ledger.placesWithin(ShareBound::Filled, open.workspace, demandOf(*open.step), 1) ==
             0;
}

double Dispatcher::State::findUtilization() {
  if (this->utilization)
    return *this->utilization;
  std::int64_t capacity = 0;
  std::int64_t free = 0;
  for (auto &[id, session] : this->sessions) {
    if (!this->mayGetTasks(session, this->now))
      continue;
    capacity += session.worker->profile.capacity.millicores;
    free += std::max<std::int64_t>(this->freeResources(session).millicores, 0);
  }
  this->utilization =
      capacity == 0 ? 1 : 1 - static_cast<double>(free) / static_cast<double>(capacity);
  return *this->utilization;
}

DelayInput Dispatcher::State::delayInput(const OpenStep &open) {
  DelayInput input;
  input.now = this->now;
  input.estimate = this->speeds.expected(0, open.job->queue.name, open.step->estimatedMs);
  input.remotePenalty = this->options.remotePenalty;
  input.slack = open.latestStart - this->now;
  input.utilization = this->findUtilization();
  input.isOverShare = this->isOverShare(open);
  this->waits.describe(open.key, input);
  return input;
}

std::vector<SlotForecast>
Dispatcher::State::forecastRoom(const OpenStep &open, const std::string &rack,
                                const std::map<std::string, std::uint32_t> &perWorker) {
  std::vector<SlotForecast> forecasts;
  const base::Resources demand = demandOf(*open.step);
  for (auto &[id, session] : this->sessions) {
    const std::string &itsRack = session.worker->profile.rack;
    if (itsRack.empty() || (!rack.empty() && itsRack != rack) || !this->isEligible(open, session) ||
        session.failureShare(this->now) > MaxFailureShare)
      continue;
    base::TimePoint horizon = this->now + MaxPlacementWait;
    if (open.job->queue.advice) {
      const Ticket *ticket = this->adviceTracker.ticketFor(open.key, session.number, this->now);
      if (ticket == nullptr)
        continue;
      horizon = std::min(horizon, ticket->until);
    }
    std::uint32_t most = open.step->maxPerWorker > 0 ? open.step->maxPerWorker : UINT32_MAX;
    if (const auto placed = perWorker.find(id); placed != perWorker.end())
      most -= std::min(most, placed->second);
    base::Resources room = this->freeResources(session);
    if (session.reservation)
      room = room - session.reservation->amount;
    if (const auto claimed = this->awaited.find(session.number); claimed != this->awaited.end())
      room = room - claimed->second;
    std::uint32_t slots = std::min(slotsFor(room, demand), most);
    if (slots > 0)
      forecasts.push_back({this->now, &session, slots});
    for (const ExpectedEnd &ending : session.endings) {
      const std::optional<base::TimePoint> at = expectedRoom(ending.at, this->now);
      if (!at)
        continue;
      if (*at > horizon)
        break;
      room = room + ending.demand;
      const std::uint32_t then = std::min(slotsFor(room, demand), most);
      if (then <= slots)
        continue;
      forecasts.push_back({*at, &session, then - slots});
      slots = then;
    }
  }
  std::stable_sort(
      forecasts.begin(), forecasts.end(),
      [](const SlotForecast &left, const SlotForecast &right) { return left.at < right.at; });
  return forecasts;
}

std::size_t Dispatcher::State::placeNearData(const OpenStep &open,
                                             const std::vector<std::uint32_t> &waitingTasks,
                                             PlaceRuns &command) {
  const std::string &rack = open.step->dataRack;
  const std::vector<WorkerSession *> candidates = this->candidatesFor(open);
  std::vector<WorkerSession *> near;
  std::copy_if(
      candidates.begin(), candidates.end(), std::back_inserter(near),
      [&rack](const WorkerSession *session) { return session->worker->profile.rack == rack; });
  std::map<std::string, std::uint32_t> perWorker = this->tasksPerWorker(open);
  const base::Resources demand = demandOf(*open.step);
  DelayInput input = this->delayInput(open);
  const std::optional<base::TimePoint> firstForecast = input.firstForecast;
  std::vector<SlotForecast> forecasts; // One place each.
  bool isForecast = false;
  std::size_t held = 0;
  std::size_t nearStarts = 0;
  base::TimePoint until = base::TimePoint::max();
  DelayReason givenUp = DelayReason::NoOtherPlace;
  bool startsElsewhere = false;
  for (const std::uint32_t index : waitingTasks) {
    if (command.runs.size() >= MaxRunsPerCommand)
      break;
    const Task &task = open.progress->tasks[index];
    WorkerSession *session = this->chooseWorker(open, task, candidates, perWorker);
    if (session == nullptr)
      break; // All tasks of a step are alike, so the others do not fit either.
    if (session->worker->profile.rack != rack) {
      if (!isForecast) {
        isForecast = true;
        for (const SlotForecast &forecast : this->forecastRoom(open, rack, perWorker))
          forecasts.insert(forecasts.end(),
                           std::min<std::size_t>(forecast.slots, waitingTasks.size()),
                           {forecast.at, forecast.session, 1});
      }
      input.preferredIsFree = this->chooseWorker(open, task, near, perWorker) != nullptr;
      input.otherIsFree = true;
      input.preferredIn.reset();
      if (held < forecasts.size()) {
        input.preferredIn = forecasts[held].at - this->now;
        // Later tasks wait for later places; what the forecast has shifted by is the same.
        if (firstForecast)
          input.firstForecast = *firstForecast + (forecasts[held].at - forecasts.front().at);
      }
      const DelayDecision decision = PlacementDelay::decide(input);
      if (decision.waits()) {
        base::Resources &claimed = this->awaited[forecasts[held].session->number];
        claimed = claimed + demand;
        until = std::min(until, *decision.until);
        ++held;
        continue;
      }
      givenUp = decision.reason;
      startsElsewhere = true;
    } else {
      ++nearStarts;
    }
    ++perWorker[session->incarnation.id];
    this->assign(open, index, task.lastRun + 1, *session, command);
  }
  if (held > 0) {
    this->waits.hold(open.key, open.job->queue.name, rack, forecasts.front().at, until,
                     nearStarts > 0, this->now);
  } else if (nearStarts > 0 && !startsElsewhere) {
    this->waits.end(open.key, WaitOutcome::Reached, "", this->now);
  } else {
    this->waits.end(open.key, WaitOutcome::GivenUp, nameOf(givenUp), this->now);
  }
  return held;
}

std::vector<std::string> Dispatcher::State::soonNearData(const OpenStep &open) {
  std::vector<std::string> names;
  if (open.step->dataRack.empty())
    return names;
  const StepAdvice &advice = this->adviceTracker.of(open.key);
  const base::Resources demand = demandOf(*open.step);
  for (auto &[id, session] : this->sessions) {
    if (names.size() >= MaxSoonNear)
      break;
    if (session.worker->profile.rack != open.step->dataRack || !this->isEligible(open, session) ||
        advice.tickets.count(session.number) != 0 || advice.bad.count(session.number) != 0)
      continue;
    base::Resources room = this->freeResources(session);
    if (demand.fitsIn(room))
      continue;
    for (const ExpectedEnd &ending : session.endings) {
      const std::optional<base::TimePoint> at = expectedRoom(ending.at, this->now);
      if (at && *at <= this->now + MaxPlacementWait)
        room = room + ending.demand;
    }
    if (demand.fitsIn(room))
      names.push_back(id);
  }
  return names;
}

bool Dispatcher::State::chooseRack(const OpenStep &open, std::vector<WorkerSession *> &candidates) {
  const std::uint32_t members = open.step->count;
  std::map<std::string, std::uint32_t> slotsByRack;
  for (WorkerSession *session : candidates) {
    if (!session->worker->profile.rack.empty())
      slotsByRack[session->worker->profile.rack] += this->slotsIn(open, *session);
  }
  const std::string *best = nullptr;
  std::uint32_t fewest = UINT32_MAX;
  // Best fit, so that wide gangs find a rack; near the data first.
  for (const auto &[rack, slots] : slotsByRack) {
    if (slots < members)
      continue;
    if (rack == open.step->dataRack) {
      best = &rack;
      break;
    }
    if (slots < fewest) {
      best = &rack;
      fewest = slots;
    }
  }
  if (best != nullptr) {
    std::erase_if(candidates, [best](const WorkerSession *session) {
      return session->worker->profile.rack != *best;
    });
    this->waits.end(open.key, WaitOutcome::Reached, "", this->now);
    return true;
  }
  DelayInput input = this->delayInput(open);
  input.otherIsFree = true;
  slotsByRack.clear();
  const std::string *next = nullptr;
  // A wait stays with its rack, where room is reserved for the gang.
  const std::string *held = this->waits.rackOf(open.key);
  for (const SlotForecast &forecast : this->forecastRoom(open, held == nullptr ? "" : *held, {})) {
    const std::string &rack = forecast.session->worker->profile.rack;
    std::uint32_t &slots = slotsByRack[rack];
    slots += std::min(forecast.slots, members);
    if (slots < members)
      continue;
    next = &rack;
    input.preferredIn = forecast.at - this->now;
    break;
  }
  const DelayDecision decision = PlacementDelay::decide(input);
  if (!decision.waits()) {
    this->waits.end(open.key, WaitOutcome::GivenUp, nameOf(decision.reason), this->now);
    return true;
  }
  this->waits.hold(open.key, open.job->queue.name, *next, this->now + *input.preferredIn,
                   *decision.until, false, this->now);
  return false;
}

} // namespace banyanrill::jobs
