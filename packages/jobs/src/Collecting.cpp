// Gangs that wait for room: the members start together, so the workers on which room comes first
// are kept for them, and tickets are renewed shortly before.
#include "DispatcherState.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// Room that is expected later than this is not kept.
constexpr base::Duration CollectingHorizon = std::chrono::seconds(6);

/// A gang that would wait longer than this for the workers that it may use asks about others too.
constexpr base::Duration GangPatience = std::chrono::milliseconds(1500);

/// Expected ends are rough, so tickets are renewed this much sooner than needed.
constexpr base::Duration RenewalLead = std::chrono::milliseconds(300);

/// A gang fails with any of its members, so workers that fail more than this are left out.
constexpr double MaxFailureShare = 0.4;

/// Workers named in one advisory call at most, as the service limits it.
constexpr std::size_t MaxNamed = 100;

/// Workers asked about for each member of a gang, since many are refused.
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

base::Resources Dispatcher::State::roomFor(const OpenStep &open, WorkerSession &session) {
  const base::Resources room = this->freeRoom(session);
  if (!session.kept || open.job->queue.priority < session.kept->priority)
    return room;
  const KeptRoom &kept = *session.kept;
  const base::Duration takes =
      this->speeds.expected(session.incarnation.id, open.job->queue.name, open.step->estimatedMs);
  if (!open.step->longRunning && this->now + takes <= kept.from)
    return room;
  base::Resources later = room - kept.amount;
  for (const ExpectedEnd &ending : session.endings) {
    if (ending.at > kept.from)
      break;
    // A run that is overdue may go on.
    if (ending.at > this->now)
      later = later + ending.demand;
  }
  return smaller(room, later);
}

std::vector<Opening> Dispatcher::State::openingsFor(const OpenStep &open) {
  std::vector<Opening> openings;
  const base::Resources demand = demandOf(*open.step);
  const std::uint32_t most = open.step->maxPerWorker > 0 ? open.step->maxPerWorker : UINT32_MAX;
  const auto add = [&](WorkerSession &session) {
    if (!this->isEligible(open, session) || session.failureShare(this->now) > MaxFailureShare)
      return;
    base::Resources room = this->freeRoom(session);
    if (session.kept)
      room = room - session.kept->amount;
    std::uint32_t slots = std::min(slotsFor(room, demand), most);
    if (slots > 0)
      openings.push_back({this->now, &session, slots});
    for (const ExpectedEnd &ending : session.endings) {
      room = room + ending.demand;
      const std::uint32_t then = std::min(slotsFor(room, demand), most);
      if (then <= slots)
        continue;
      openings.push_back({std::max(ending.at, this->now), &session, then - slots});
      slots = then;
    }
  };
  if (!open.job->queue.advice) {
    for (auto &[id, session] : this->sessions)
      add(session);
  } else {
    for (const auto &[id, ticket] : this->desk.of(open.key).tickets) {
      const auto session = this->sessions.find(id);
      if (session != this->sessions.end())
        add(session->second);
    }
  }
  std::sort(openings.begin(), openings.end(),
            [](const Opening &left, const Opening &right) { return left.at < right.at; });
  return openings;
}

void Dispatcher::State::collect(const OpenStep &open) {
  std::vector<Opening> openings = this->openingsFor(open);
  std::uint32_t missing = open.step->count;
  std::size_t used = 0;
  while (used < openings.size() && missing > 0 &&
         openings[used].at <= this->now + CollectingHorizon) {
    openings[used].slots = std::min(openings[used].slots, missing);
    missing -= openings[used].slots;
    ++used;
  }
  if (missing > 0) {
    this->discoverWorkers(open);
    return;
  }
  openings.resize(used);
  const base::TimePoint start = openings.back().at;
  const base::Resources demand = demandOf(*open.step);
  for (const Opening &opening : openings) {
    std::optional<KeptRoom> &kept = opening.session->kept;
    if (!kept)
      kept = KeptRoom{{}, start, open.job->queue.priority};
    kept->amount = kept->amount + demand * opening.slots;
    kept->from = std::min(kept->from, start);
    kept->priority = std::max(kept->priority, open.job->queue.priority);
  }
  if (!open.job->queue.advice)
    return;
  if (start > this->now + GangPatience)
    this->discoverWorkers(open);
  this->adviseGang(open, openings, start);
}

void Dispatcher::State::adviseGang(const OpenStep &open, const std::vector<Opening> &chosen,
                                   base::TimePoint start) {
  StepAdvice &advice = this->desk.of(open.key);
  if (advice.asking || this->now < advice.askAgain || !this->desk.hasFreeAdviser())
    return;
  std::vector<std::string> names;
  bool expired = false;
  for (const Opening &opening : chosen) {
    const std::string &id = opening.session->incarnation.id;
    if (std::find(names.begin(), names.end(), id) != names.end())
      continue;
    names.push_back(id);
    const Ticket *ticket = this->desk.ticketFor(open.key, id, this->now);
    expired = expired || ticket == nullptr || ticket->until < start;
  }
  if (!expired || names.size() > MaxNamed ||
      this->now + callTime(*open.job->queue.advice, names.size()) + RenewalLead < start)
    return;
  // Others that may take members too cost little in the same call, and expected ends are rough.
  for (const auto &[id, ticket] : advice.tickets) {
    if (names.size() >= MaxNamed || names.size() >= chosen.size() * 2)
      break;
    if (std::find(names.begin(), names.end(), id) == names.end())
      names.push_back(id);
  }
  this->ask(open, std::move(names));
}

void Dispatcher::State::discoverWorkers(const OpenStep &open) {
  if (!open.job->queue.advice)
    return;
  StepAdvice &advice = this->desk.of(open.key);
  if (advice.asking || this->now < advice.askAgain || !this->desk.hasFreeAdviser())
    return;
  advice.askAgain = this->now + AdviceLookInterval;
  struct Unknown {
    const std::string *worker;
    std::uint32_t slots;
    std::uint64_t order; ///< Random, so that steps asked for at the same time hope for other room.
  };
  std::vector<Unknown> unknown;
  const base::Resources demand = demandOf(*open.step);
  for (auto &[id, session] : this->sessions) {
    if (!demand.fitsIn(session.worker->profile.capacity) || advice.tickets.count(id) != 0 ||
        advice.bad.count(id) != 0 || !this->isEligible(open, session))
      continue;
    unknown.push_back({&id, slotsFor(this->freeRoom(session), demand), this->random.next()});
  }
  if (unknown.empty())
    return;
  const std::size_t most =
      std::min({unknown.size(), MaxNamed,
                std::max(MinAdvised, NamesPerMember * static_cast<std::size_t>(open.step->count))});
  std::partial_sort(unknown.begin(), unknown.begin() + static_cast<std::ptrdiff_t>(most),
                    unknown.end(), [](const Unknown &left, const Unknown &right) {
                      return left.slots != right.slots ? left.slots > right.slots
                                                       : left.order < right.order;
                    });
  std::vector<std::string> names;
  for (std::size_t index = 0; index < most; ++index)
    names.push_back(*unknown[index].worker);
  this->ask(open, std::move(names));
}

} // namespace banyanrill::jobs
