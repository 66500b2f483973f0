// Reservations for gangs that wait for room: the members start together, so room is reserved on the
// workers that are expected to have it first, and tickets are renewed shortly before the start.
#include "DispatcherState.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// Reservations are found anew at this interval: a gang waits far longer for advice and room.
constexpr base::Duration GangRoundInterval = std::chrono::milliseconds(60);

/// Room that is expected later than this is not reserved.
constexpr base::Duration ReservationHorizon = std::chrono::seconds(6);

/// One more place is reserved for each group of this many members: a gang starts when all members
/// have room, and some of the tasks that occupy it take longer than expected.
constexpr std::uint32_t SpareMemberShare = 5;

/// A gang that would wait longer than this for its permitted workers asks for advice on others.
constexpr base::Duration DiscoveryThreshold = std::chrono::milliseconds(1500);

/// Expected end times are estimates, so tickets are renewed this much earlier than needed.
constexpr base::Duration RenewalLead = std::chrono::milliseconds(300);

/// A gang fails with any of its members, so workers with a higher failure rate are excluded.
constexpr double MaxFailureShare = 0.4;

/// A gang that has asked about all workers looks for new ones after this time.
constexpr base::Duration AllNamedRecheckInterval = std::chrono::milliseconds(400);

/// Maximum number of workers in one advisory call; limit of the service.
constexpr std::size_t MaxNamed = 100;

/// Workers in one of several concurrent calls. A call takes longer the more it names, and the
/// tickets of a gang must all be valid at the same time.
constexpr std::size_t NamedPerCall = 50;

/// Maximum number of workers that a gang looks for at the same time.
constexpr std::size_t MaxDiscovered = 300;

/// A gang takes at most one in this many of the idle advisers, so that others find some.
constexpr std::size_t IdleAdvisersPerCall = 2;

/// Workers named per gang member, since the service refuses many.
constexpr std::size_t NamesPerMember = 5;

base::Resources smaller(const base::Resources &left, const base::Resources &right) {
  return {std::min(left.millicores, right.millicores), std::min(left.memoryMib, right.memoryMib),
          std::min(left.accelerators, right.accelerators)};
}

base::Duration callTime(const AdvicePolicy &policy, std::size_t names) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(policy.baseMs + policy.perWorkerMs * static_cast<double>(names)));
}

} // namespace

base::Resources Dispatcher::State::availableTo(const OpenStep &open, WorkerSession &session) {
  const base::Resources room = this->freeResources(session);
  if (!session.reservation || open.job->queue.priority < session.reservation->priority)
    return room;
  const GangReservation &reservation = *session.reservation;
  const base::Duration takes =
      this->speeds.expected(session.slowness, open.job->queue.name, open.step->estimatedMs);
  if (!open.step->longRunning && this->now + takes <= reservation.from)
    return room;
  base::Resources later = room - reservation.amount;
  for (const ExpectedEnd &ending : session.endings) {
    if (ending.at > reservation.from)
      break;
    // An overdue run may continue for any time, so its room does not count.
    if (ending.at > this->now)
      later = later + ending.demand;
  }
  return smaller(room, later);
}

std::vector<SlotForecast> Dispatcher::State::forecastSlots(const OpenStep &open) {
  std::vector<SlotForecast> forecasts;
  const base::Resources demand = demandOf(*open.step);
  const std::uint32_t most = open.step->maxPerWorker > 0 ? open.step->maxPerWorker : UINT32_MAX;
  const auto add = [&](WorkerSession &session) {
    if (!this->isEligible(open, session) || session.failureShare(this->now) > MaxFailureShare)
      return;
    base::Resources room = this->freeResources(session);
    if (session.reservation)
      room = room - session.reservation->amount;
    std::uint32_t slots = std::min(slotsFor(room, demand), most);
    if (slots > 0)
      forecasts.push_back({this->now, &session, slots});
    for (const ExpectedEnd &ending : session.endings) {
      room = room + ending.demand;
      const std::uint32_t then = std::min(slotsFor(room, demand), most);
      if (then <= slots)
        continue;
      forecasts.push_back({std::max(ending.at, this->now), &session, then - slots});
      slots = then;
    }
  };
  if (!open.job->queue.advice) {
    for (auto &[id, session] : this->sessions)
      add(session);
  } else {
    for (const auto &[number, ticket] : this->adviceTracker.of(open.key).tickets)
      add(*this->byNumber[number]);
  }
  std::sort(forecasts.begin(), forecasts.end(),
            [](const SlotForecast &left, const SlotForecast &right) { return left.at < right.at; });
  return forecasts;
}

bool Dispatcher::State::beginGangRound() {
  if (this->now < this->nextGangRound)
    return false;
  this->nextGangRound = this->now + GangRoundInterval;
  this->gangDecisions.beginRound();
  for (auto &[id, session] : this->sessions)
    session.reservation.reset();
  this->ledger.clearReservations();
  this->endingsByWorkspace.clear();
  return true;
}

const std::vector<ExpectedEnd> &Dispatcher::State::endingsOf(WorkspaceNumber workspace) {
  if (this->endingsByWorkspace.empty()) {
    for (auto &[id, session] : this->sessions) {
      this->freeResources(session); // Brings the endings up to date.
      for (const ExpectedEnd &ending : session.endings) {
        if (ending.at > this->now + ReservationHorizon)
          break;
        this->endingsByWorkspace[ending.workspace].push_back(ending);
      }
    }
    for (auto &[number, endings] : this->endingsByWorkspace)
      std::sort(
          endings.begin(), endings.end(),
          [](const ExpectedEnd &left, const ExpectedEnd &right) { return left.at < right.at; });
  }
  return this->endingsByWorkspace[workspace];
}

std::optional<base::TimePoint> Dispatcher::State::limitRoomAt(const OpenStep &open) {
  if (this->ledger.limitOf(open.workspace) == base::Resources())
    return this->now;
  const base::Resources gang = demandOf(*open.step) * open.step->count;
  base::Resources use =
      this->ledger.useOf(open.workspace) + this->ledger.reservedBy(open.workspace);
  if (!this->ledger.isOverLoweredLimit(open.workspace) &&
      this->ledger.mayPlaceGang(open.workspace, gang, use))
    return this->now;
  for (const ExpectedEnd &ending : this->endingsOf(open.workspace)) {
    use = use - ending.demand;
    if (this->ledger.mayPlaceGang(open.workspace, gang, use))
      return std::max(ending.at, this->now + base::Duration(1));
  }
  return std::nullopt;
}

GangFinding Dispatcher::State::reserveForGang(const OpenStep &open, base::TimePoint limitRoomAt) {
  const bool waitsForLimit = limitRoomAt > this->now;
  // Advice is asked for when its answer can be used.
  const bool mayDiscover =
      !waitsForLimit ||
      (open.job->queue.advice &&
       this->now + callTime(*open.job->queue.advice, NamedPerCall) + RenewalLead >= limitRoomAt);
  std::vector<SlotForecast> forecasts = this->forecastSlots(open);
  const std::uint32_t members = open.step->count;
  const std::uint32_t wanted = members + members / SpareMemberShare;
  std::uint32_t reserved = 0;
  std::size_t used = 0;
  base::TimePoint start = this->now;
  while (used < forecasts.size() && reserved < wanted &&
         forecasts[used].at <= this->now + ReservationHorizon) {
    forecasts[used].slots = std::min(forecasts[used].slots, wanted - reserved);
    if (reserved < members)
      start = forecasts[used].at;
    reserved += forecasts[used].slots;
    ++used;
  }
  GangFinding finding;
  finding.outcome = GangOutcome::TooFewPlaces;
  finding.places = reserved;
  finding.startsIn = start - this->now;
  if (const StepAdvice *advice = this->adviceTracker.find(open.key))
    finding.permitted = advice->tickets.size();
  if (reserved < members) {
    if (mayDiscover)
      this->discoverWorkers(open);
    return finding;
  }
  start = std::max(start, limitRoomAt);
  this->ledger.reserve(open.workspace, demandOf(*open.step) * members);
  forecasts.resize(used);
  const base::Resources demand = demandOf(*open.step);
  for (const SlotForecast &forecast : forecasts) {
    std::optional<GangReservation> &reservation = forecast.session->reservation;
    if (!reservation)
      reservation = GangReservation{{}, start, open.job->queue.priority};
    reservation->amount = reservation->amount + demand * forecast.slots;
    reservation->from = std::min(reservation->from, start);
    reservation->priority = std::max(reservation->priority, open.job->queue.priority);
  }
  finding.startsIn = start - this->now;
  finding.outcome = start > this->now ? GangOutcome::RoomInUse : GangOutcome::RoomReserved;
  if (waitsForLimit)
    finding.outcome = GangOutcome::OverLimit;
  if (!open.job->queue.advice)
    return finding;
  if (start <= this->now && this->hasExpiredTicket(open, forecasts, this->now))
    finding.outcome = GangOutcome::TicketsExpired;
  if (start > this->now + DiscoveryThreshold && mayDiscover)
    this->discoverWorkers(open);
  this->renewGangTickets(open, forecasts, start);
  return finding;
}

bool Dispatcher::State::hasExpiredTicket(const OpenStep &open,
                                         const std::vector<SlotForecast> &chosen,
                                         base::TimePoint at) const {
  return std::any_of(chosen.begin(), chosen.end(), [&](const SlotForecast &forecast) {
    return this->adviceTracker.ticketFor(open.key, forecast.session->number, at) == nullptr;
  });
}

void Dispatcher::State::renewGangTickets(const OpenStep &open,
                                         const std::vector<SlotForecast> &chosen,
                                         base::TimePoint start) {
  StepAdvice &advice = this->adviceTracker.of(open.key);
  if (advice.callsInFlight > 0 || this->now < advice.askAgain ||
      !this->adviceTracker.hasFreeAdviser())
    return;
  // Those whose tickets end too early come first: there may be too few advisers for all.
  std::vector<std::string> expiring;
  std::vector<std::string> valid;
  boost::container::flat_set<WorkerNumber> named;
  for (const SlotForecast &forecast : chosen) {
    const WorkerNumber number = forecast.session->number;
    if (!named.insert(number).second)
      continue;
    const Ticket *ticket = this->adviceTracker.ticketFor(open.key, number, this->now);
    const bool lasts = ticket != nullptr && ticket->until >= start;
    (lasts ? valid : expiring).push_back(forecast.session->incarnation.id);
  }
  const std::size_t callNames = std::min(named.size(), NamedPerCall);
  if (expiring.empty() ||
      this->now + callTime(*open.job->queue.advice, callNames) + RenewalLead < start)
    return;
  std::vector<std::string> names = std::move(expiring);
  names.insert(names.end(), valid.begin(), valid.end());
  // Tickets for further permitted workers cost little in the same calls, and expected end times
  // are estimates.
  for (const auto &[number, ticket] : advice.tickets) {
    if (names.size() >= chosen.size() * 2)
      break;
    if (named.insert(number).second)
      names.push_back(this->byNumber[number]->incarnation.id);
  }
  this->askConcurrently(open, names);
}

void Dispatcher::State::askConcurrently(const OpenStep &open,
                                        const std::vector<std::string> &names) {
  const std::size_t most =
      std::max<std::size_t>(this->adviceTracker.idleAdvisers() / IdleAdvisersPerCall, 1);
  const std::size_t calls = std::min((names.size() + NamedPerCall - 1) / NamedPerCall, most);
  // Names beyond what the calls hold are asked about later.
  const std::size_t perCall = std::min((names.size() + calls - 1) / calls, MaxNamed);
  auto next = names.begin();
  for (std::size_t call = 0; call < calls && next != names.end(); ++call) {
    const auto count = std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(perCall),
                                                std::distance(next, names.end()));
    this->ask(open, {next, next + count});
    next += count;
  }
}

void Dispatcher::State::discoverWorkers(const OpenStep &open) {
  if (!open.job->queue.advice)
    return;
  StepAdvice &advice = this->adviceTracker.of(open.key);
  if (advice.callsInFlight > 0 || this->now < std::max(advice.askAgain, advice.discoverAgain) ||
      !this->adviceTracker.hasFreeAdviser())
    return;
  advice.askAgain = this->now + AdviceRecheckInterval;
  struct Unknown {
    const std::string *worker;
    std::uint32_t slots;
    std::uint64_t order; ///< Random, so that concurrent calls for other steps name other workers.
  };
  std::vector<Unknown> unknown;
  const base::Resources demand = demandOf(*open.step);
  for (auto &[id, session] : this->sessions) {
    if (!demand.fitsIn(session.worker->profile.capacity) ||
        advice.tickets.count(session.number) != 0 || advice.bad.count(session.number) != 0 ||
        !this->isEligible(open, session))
      continue;
    unknown.push_back({&id, slotsFor(this->freeResources(session), demand), this->random.next()});
  }
  if (unknown.empty()) {
    advice.discoverAgain = this->now + AllNamedRecheckInterval;
    return;
  }
  const std::size_t most =
      std::min({unknown.size(), MaxDiscovered,
                std::max(MinAdvised, NamesPerMember * static_cast<std::size_t>(open.step->count))});
  std::partial_sort(unknown.begin(), unknown.begin() + static_cast<std::ptrdiff_t>(most),
                    unknown.end(), [](const Unknown &left, const Unknown &right) {
                      return left.slots != right.slots ? left.slots > right.slots
                                                       : left.order < right.order;
                    });
  std::vector<std::string> names;
  for (std::size_t index = 0; index < most; ++index)
    names.push_back(*unknown[index].worker);
  this->askConcurrently(open, names);
}

} // namespace banyanrill::jobs
