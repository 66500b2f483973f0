// Chooses the worker of each waiting task, and the workers to ask the advisory service about.
#include "DispatcherState.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace banyanrill::jobs {

namespace {

/// Maximum number of workers in one advisory call; the service accepts 100.
constexpr std::size_t MaxAdvised = 64;

/// An advisory call names this many times the slots that the step needs, since the service refuses
/// many workers.
constexpr std::size_t AdviceSurplus = 4;

/// Maximum number of gangs with reservations; each costs processor time in every round of gangs. A
/// gang collects room and tickets for some seconds, and ten and more come in a second.
constexpr std::size_t MaxReservingGangs = 64;

/// Maximum number of starts and stops in flight to a worker that may get more tasks.
constexpr std::uint32_t MaxOrdersWaiting = 12;

/// A worker that takes 1.5 times as long or more (0.4 is about ln 1.5) gets a task only if no other
/// worker has room.
constexpr double MuchSlower = 0.4;
constexpr double MuchSlowerPenalty = 2; // Also the scale of what a place near the data saves.

/// Weight of a worker's failure rate. It is higher for gangs, which fail with any member, and for
/// retried tasks, since attempts are limited.
constexpr double FailureWeight = 2;
constexpr double RiskyFailureWeight = 6;

/// Urgent tasks may use room reserved for gangs, but delay gangs less on other workers.
constexpr double ReservedRoomPenalty = 1.5;

/// A step whose job has less slack than this prefers a fast worker.
constexpr base::Duration TightSlack = std::chrono::seconds(2);

/// Weight of a worker's speed for such a step, relative to its utilization.
constexpr double SpeedWeight = 2;

/// The capacity that shares refer to is summed up anew at this interval.
constexpr base::Duration CapacityInterval = std::chrono::milliseconds(100);

bool isNear(const OpenStep &open, const WorkerSession &session) {
  return !open.step->dataRack.empty() && session.worker->profile.rack == open.step->dataRack;
}

bool hasLabel(const WorkerProfile &profile, const std::string &label) {
  return std::find(profile.labels.begin(), profile.labels.end(), label) != profile.labels.end();
}

} // namespace

std::uint32_t slotsFor(const base::Resources &room, const base::Resources &demand) {
  std::int64_t slots = INT32_MAX;
  if (demand.millicores > 0)
    slots = std::min(slots, room.millicores / demand.millicores);
  if (demand.memoryMib > 0)
    slots = std::min(slots, room.memoryMib / demand.memoryMib);
  if (demand.accelerators > 0)
    slots = std::min(slots, room.accelerators / demand.accelerators);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(slots, 0));
}

base::Resources Dispatcher::State::freeResources(WorkerSession &session) {
  if (session.resourcesStale) {
    session.used = {};
    session.bestEffortRuns = 0;
    session.latencySensitiveRuns = 0;
    session.endings.clear();
    for (const auto &[task, placement] : session.worker->placements) {
      const auto [run, isNew] = session.runs.try_emplace(task);
      if (isNew)
        run->second.inherited = true;
      const RunFootprint *footprint = this->footprintOf(session, task, run->second);
      if (footprint == nullptr)
        continue;
      session.used = session.used + footprint->demand;
      session.bestEffortRuns += footprint->bestEffort ? 1 : 0;
      session.latencySensitiveRuns += footprint->latencySensitive ? 1 : 0;
      if (!footprint->longRunning)
        session.endings.push_back(
            {this->expectedEnd(run->second), footprint->demand, footprint->workspace});
    }
    std::sort(session.endings.begin(), session.endings.end(),
              [](const ExpectedEnd &left, const ExpectedEnd &right) { return left.at < right.at; });
    session.resourcesStale = false;
  }
  return session.worker->profile.capacity - session.used - session.proposed;
}

const RunFootprint *Dispatcher::State::footprintOf(const WorkerSession &session,
                                                   const TaskKey &task, RunStatus &run) {
  if (run.footprint)
    return &*run.footprint;
  const Job *job = this->table.findJob(task.job);
  if (job == nullptr)
    return nullptr;
  const Step &step = job->spec.steps[task.step];
  run.footprint = RunFootprint{demandOf(step),     this->expectedRun(*job, step, session),
                               step.bestEffortCpu, step.responseTargetMs > 0,
                               step.longRunning,   this->workspaceOf(*job)};
  return &*run.footprint;
}

base::TimePoint Dispatcher::State::expectedEnd(const RunStatus &run) const {
  if (run.inherited)
    return this->now + run.footprint->duration / 2; // Start time unknown.
  return (run.startedAt == base::TimePoint::max() ? run.placedAt : run.startedAt) +
         run.footprint->duration;
}

base::Resources Dispatcher::State::proposedOn(const std::string &worker) const {
  base::Resources sum;
  for (const auto &[step, runs] : this->pending) {
    const Job *job = this->table.findJob(step.job);
    if (job == nullptr)
      continue;
    const auto count = std::count_if(runs.begin(), runs.end(), [&worker](const auto &entry) {
      return entry.second.worker == worker;
    });
    sum = sum + demandOf(job->spec.steps[step.step]) * count;
  }
  return sum;
}

bool Dispatcher::State::mayGetTasks(const WorkerSession &session, base::TimePoint at) const {
  if (session.worker->profile.draining || session.leaving || !session.isConfirmed() ||
      !session.clock || session.removalProposedAt)
    return false;
  return !session.isAvoided(at) && !session.isSilent(at) &&
         session.callsInFlight < MaxOrdersWaiting;
}

bool Dispatcher::State::isEligible(const OpenStep &open, const WorkerSession &session) const {
  const Step &step = *open.step;
  const WorkerProfile &profile = session.worker->profile;
  if (profile.service != open.job->queue.service || !this->mayGetTasks(session, this->now))
    return false;
  if (!step.requiredLabel.empty() && !hasLabel(profile, step.requiredLabel))
    return false;
  // Best-effort tasks on idle processors disturb tasks with a response target.
  return !(step.bestEffortCpu && session.latencySensitiveRuns > 0) &&
         !(step.responseTargetMs > 0 && session.bestEffortRuns > 0);
}

std::map<std::string, std::uint32_t> Dispatcher::State::tasksPerWorker(const OpenStep &open) const {
  std::map<std::string, std::uint32_t> counts;
  if (open.step->maxPerWorker == 0)
    return counts;
  const std::vector<Task> &tasks = open.progress->tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    // A task that has succeeded may still have a run there.
    const Worker *worker = this->table.findWorker(tasks[index].worker);
    const TaskKey key{open.key.job, open.key.occurrence, open.key.step, index};
    if (worker != nullptr && worker->placements.count(key) != 0)
      ++counts[tasks[index].worker];
  }
  const auto proposed = this->pending.find(open.key);
  if (proposed == this->pending.end())
    return counts;
  for (const auto &[index, run] : proposed->second) {
    if (open.progress->tasks[index].phase == TaskPhase::Waiting)
      ++counts[run.worker];
  }
  return counts;
}

std::vector<std::uint32_t> Dispatcher::State::waitingTasks(const OpenStep &open) const {
  const auto proposed = this->pending.find(open.key);
  if (proposed == this->pending.end())
    return open.waiting;
  std::vector<std::uint32_t> indices;
  for (const std::uint32_t index : open.waiting) {
    if (proposed->second.count(index) == 0)
      indices.push_back(index);
  }
  return indices;
}

template <typename Function>
void Dispatcher::State::forEachWithRoom(const base::Resources &demand, Function function) {
  if (this->byFreeProcessors.empty()) {
    for (auto &[id, session] : this->sessions)
      this->byFreeProcessors.emplace_back(this->freeResources(session).millicores, &session);
    std::sort(this->byFreeProcessors.begin(), this->byFreeProcessors.end(),
              [](const auto &left, const auto &right) {
                return left.first != right.first ? left.first > right.first
                                                 : left.second->number < right.second->number;
              });
  }
  for (const auto &[millicores, session] : this->byFreeProcessors) {
    if (millicores < demand.millicores)
      return;
    function(*session);
  }
}

std::vector<WorkerSession *> Dispatcher::State::candidatesFor(const OpenStep &open) {
  std::vector<WorkerSession *> candidates;
  const base::Resources demand = demandOf(*open.step);
  const auto consider = [&](WorkerSession &session) {
    if (this->isEligible(open, session) && demand.fitsIn(this->availableTo(open, session)))
      candidates.push_back(&session);
  };
  if (!open.job->queue.advice) {
    this->forEachWithRoom(demand, consider);
    return candidates;
  }
  const StepAdvice *advice = this->adviceTracker.find(open.key);
  if (advice == nullptr)
    return candidates;
  for (const auto &[number, ticket] : advice->tickets) {
    if (ticket.until > this->now)
      consider(*this->byNumber[number]);
  }
  return candidates;
}

std::optional<double> Dispatcher::State::scoreOf(const OpenStep &open, const Task &task,
                                                 WorkerSession &session) {
  const base::Resources demand = demandOf(*open.step);
  const base::Resources room = this->availableTo(open, session);
  if (!demand.fitsIn(room))
    return std::nullopt;
  const WorkerProfile &profile = session.worker->profile;
  // Best fit: prefers the fullest worker that has room, so that large tasks find room elsewhere.
  const auto left = static_cast<double>(room.millicores - demand.millicores);
  double score =
      1.0 - left / static_cast<double>(std::max<std::int64_t>(profile.capacity.millicores, 1));
  if (isNear(open, session))
    score += MuchSlowerPenalty * std::log(this->options.remotePenalty) / MuchSlower;
  if (session.reservation && !demand.fitsIn(room - session.reservation->amount))
    score -= ReservedRoomPenalty;
  const double slowness = session.slowness;
  if (slowness > MuchSlower)
    score -= MuchSlowerPenalty;
  if (open.latestStart - open.due < TightSlack)
    score -= SpeedWeight * slowness;
  const bool isRisky = open.step->gang || task.failures > 0;
  score -= (isRisky ? RiskyFailureWeight : FailureWeight) * session.failureShare(this->now);
  // A task that failed there may have failed because of the worker.
  if (task.failures > 0 && task.worker == session.incarnation.id)
    score -= 4;
  return score;
}

WorkerSession *Dispatcher::State::chooseWorker(const OpenStep &open, const Task &task,
                                               const std::vector<WorkerSession *> &candidates,
                                               std::map<std::string, std::uint32_t> &perWorker) {
  WorkerSession *best = nullptr;
  double bestScore = 0;
  for (WorkerSession *session : candidates) {
    if (open.step->maxPerWorker > 0 &&
        perWorker[session->incarnation.id] >= open.step->maxPerWorker)
      continue;
    const std::optional<double> score = this->scoreOf(open, task, *session);
    if (!score || (best != nullptr && *score <= bestScore))
      continue;
    best = session;
    bestScore = *score;
  }
  return best;
}

const PendingRun *Dispatcher::State::findPending(const TaskKey &task) const {
  const auto step = this->pending.find({task.job, task.occurrence, task.step});
  if (step == this->pending.end())
    return nullptr;
  const auto run = step->second.find(task.index);
  return run == step->second.end() ? nullptr : &run->second;
}

void Dispatcher::State::dropPending(const TaskKey &task) {
  const PendingRun *run = this->findPending(task);
  if (run == nullptr)
    return;
  const Job *job = this->table.findJob(task.job);
  const auto session = this->sessions.find(run->worker);
  if (job != nullptr && session != this->sessions.end())
    session->second.proposed = session->second.proposed - demandOf(job->spec.steps[task.step]);
  this->ledger.remove(run->workspace, run->demand);
  const auto step = this->pending.find({task.job, task.occurrence, task.step});
  step->second.erase(task.index);
  if (step->second.empty())
    this->pending.erase(step);
}

void Dispatcher::State::assign(const OpenStep &open, std::uint32_t index, std::uint32_t run,
                               WorkerSession &session, PlaceRuns &command) {
  const TaskKey key{open.key.job, open.key.occurrence, open.key.step, index};
  const std::string &id = session.incarnation.id;
  PendingRun &pendingRun = this->pending[open.key][index];
  pendingRun.worker = id;
  pendingRun.session = session.serial;
  pendingRun.run = run;
  pendingRun.workspace = open.workspace;
  pendingRun.demand = demandOf(*open.step);
  this->ledger.add(pendingRun.workspace, pendingRun.demand);
  if (const Ticket *ticket = this->adviceTracker.ticketFor(open.key, session.number, this->now)) {
    pendingRun.ticket = ticket->value;
    pendingRun.ticketUntil = ticket->until;
  }
  session.proposed = session.proposed + demandOf(*open.step);
  session.bestEffortRuns += open.step->bestEffortCpu ? 1 : 0;
  session.latencySensitiveRuns += open.step->responseTargetMs > 0 ? 1 : 0;
  command.runs.push_back({{key, run}, id});
}

void Dispatcher::State::place(const OpenStep &open, const std::vector<std::uint32_t> &waitingTasks,
                              PlaceRuns &command) {
  const std::vector<WorkerSession *> candidates = this->candidatesFor(open);
  if (candidates.empty())
    return;
  std::map<std::string, std::uint32_t> perWorker = this->tasksPerWorker(open);
  for (const std::uint32_t index : waitingTasks) {
    if (command.runs.size() >= MaxRunsPerCommand)
      return;
    const Task &task = open.progress->tasks[index];
    WorkerSession *session = this->chooseWorker(open, task, candidates, perWorker);
    if (session == nullptr)
      return; // All tasks of a step are alike, so the others do not fit either.
    ++perWorker[session->incarnation.id];
    this->assign(open, index, task.lastRun + 1, *session, command);
  }
}

bool Dispatcher::State::placeGang(const OpenStep &open, const std::vector<std::uint32_t> &members,
                                  PlaceRuns &command) {
  if (members.size() != open.progress->tasks.size())
    return false;
  std::vector<WorkerSession *> candidates = this->candidatesFor(open);
  std::size_t slots = 0;
  for (WorkerSession *session : candidates)
    slots += this->slotsIn(open, *session);
  if (slots < members.size()) {
    this->waits.end(open.key, WaitOutcome::GivenUp, "no_other_place", this->now);
    return false;
  }
  if (open.step->sameRack && !this->chooseRack(open, candidates))
    return false;
  std::map<std::string, std::uint32_t> perWorker = this->tasksPerWorker(open);
  std::uint32_t run = 0;
  for (const Task &task : open.progress->tasks)
    run = std::max(run, task.lastRun + 1);
  const std::size_t before = command.runs.size();
  for (const std::uint32_t index : members) {
    WorkerSession *session =
        this->chooseWorker(open, open.progress->tasks[index], candidates, perWorker);
    if (session == nullptr)
      break;
    ++perWorker[session->incarnation.id];
    this->assign(open, index, run, *session, command);
  }
  if (command.runs.size() - before == members.size())
    return true;
  // Not all members fit: undo the assignments of the others.
  while (command.runs.size() > before) {
    const PlacedRun &placed = command.runs.back();
    this->sessions.at(placed.worker).resourcesStale = true;
    this->dropPending(placed.run.task);
    command.runs.pop_back();
  }
  return false;
}

std::uint32_t Dispatcher::State::slotsIn(const OpenStep &open, WorkerSession &session) {
  std::uint32_t slots = slotsFor(this->availableTo(open, session), demandOf(*open.step));
  if (open.step->maxPerWorker > 0)
    slots = std::min(slots, open.step->maxPerWorker);
  return slots;
}

std::uint32_t
Dispatcher::State::slotsBeside(const OpenStep &open, WorkerSession &session,
                               const std::map<std::string, std::uint32_t> &perWorker) {
  const std::uint32_t slots = this->slotsIn(open, session);
  const auto placed = perWorker.find(session.incarnation.id);
  if (placed == perWorker.end())
    return slots;
  const std::uint32_t most = open.step->maxPerWorker;
  return std::min(slots, most - std::min(most, placed->second));
}

void Dispatcher::State::considerAdvice(const OpenStep &open, std::uint32_t needed) {
  StepAdvice &advice = this->adviceTracker.of(open.key);
  if (needed == 0 || advice.callsInFlight > 0 || this->now < advice.askAgain)
    return;
  advice.askAgain = this->now + AdviceRecheckInterval;
  struct Candidate {
    const std::string *worker;
    std::uint32_t slots;
    bool known;
    bool near;           ///< On the rack of the step's data.
    std::uint64_t order; ///< Random, so that concurrent calls for other steps name other workers.
  };
  std::vector<Candidate> candidates;
  const base::Resources demand = demandOf(*open.step);
  const std::map<std::string, std::uint32_t> perWorker = this->tasksPerWorker(open);
  // A place near the data that becomes free soon can only be waited for with a ticket.
  const std::vector<std::string> soonNear = this->soonNearData(open);
  this->forEachWithRoom(demand, [&](WorkerSession &session) {
    if (!this->isEligible(open, session) || advice.bad.count(session.number) != 0)
      return;
    const std::uint32_t slots = std::min(needed, this->slotsBeside(open, session, perWorker));
    if (slots == 0)
      return;
    candidates.push_back({&session.incarnation.id, slots, advice.tickets.count(session.number) != 0,
                          isNear(open, session), this->random.next()});
  });
  if (candidates.empty() && soonNear.empty())
    return;
  const std::size_t candidateCount = std::min(candidates.size(), MaxAdvised);
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(candidateCount),
      candidates.end(), [](const Candidate &left, const Candidate &right) {
        if (left.near != right.near)
          return left.near;
        if (left.known != right.known)
          return left.known;
        return left.slots != right.slots ? left.slots > right.slots : left.order < right.order;
      });
  candidates.resize(candidateCount);
  std::vector<std::string> workers;
  std::size_t named = 0;
  std::size_t knownSlots = 0;
  for (const Candidate &candidate : candidates) {
    if (knownSlots >= needed || (named >= AdviceSurplus * needed && workers.size() >= MinAdvised))
      break;
    workers.push_back(*candidate.worker);
    named += candidate.slots;
    knownSlots += candidate.known ? candidate.slots : 0;
  }
  workers.insert(workers.end(), soonNear.begin(), soonNear.end());
  this->ask(open, std::move(workers));
}

void Dispatcher::State::ask(const OpenStep &open, std::vector<std::string> workers) {
  ++this->counters.adviceCalls;
  this->actions.emplace_back(
      this->adviceTracker.ask(this->nextOrder(), open, std::move(workers), this->now));
}

std::size_t Dispatcher::State::planTasks(const OpenStep &open, std::uint32_t most,
                                         PlaceRuns &command) {
  most = this->ledger.placesFor(open.workspace, demandOf(*open.step), most);
  if (most == 0)
    return 0;
  std::vector<std::uint32_t> waiting = this->waitingTasks(open);
  if (waiting.size() > most)
    waiting.resize(most);
  if (waiting.empty())
    return 0;
  const std::size_t placedBefore = command.runs.size();
  std::size_t held = 0;
  if (open.step->dataRack.empty())
    this->place(open, waiting, command);
  else
    held = this->placeNearData(open, waiting, command);
  // Tasks that are held back have tickets for the places that they wait for.
  const std::size_t placed = command.runs.size() - placedBefore + held;
  if (open.job->queue.advice && this->adviceTracker.hasFreeAdviser())
    this->considerAdvice(open, static_cast<std::uint32_t>(waiting.size() - placed));
  return placed;
}

void Dispatcher::State::planGang(const OpenStep &open, PlanRound &round) {
  const std::vector<std::uint32_t> waiting = this->waitingTasks(open);
  if (waiting.empty())
    return;
  GangFinding finding;
  const base::Resources gang = demandOf(*open.step) * open.step->count;
  if (this->ledger.mayPlaceGang(open.workspace, gang) &&
      this->placeGang(open, waiting, round.command)) {
    finding.outcome = GangOutcome::Placed;
  } else if (const std::optional<base::TimePoint> roomAt = this->limitRoomAt(open); !roomAt) {
    finding.outcome = GangOutcome::OverLimit;
  } else if (round.reservingGangs < MaxReservingGangs && waiting.size() == open.step->count) {
    ++round.reservingGangs;
    finding = this->reserveForGang(open, *roomAt);
  }
  this->gangDecisions.note(open, round.position++, finding, this->now);
}

bool Dispatcher::State::planWithin(ShareBound bound, const OpenStep &open, PlanRound &round) {
  if (open.step->gang && !round.isGangRound)
    return true;
  const auto waiting = static_cast<std::uint32_t>(open.waiting.size());
  const std::uint32_t places =
      this->ledger.placesWithin(bound, open.workspace, demandOf(*open.step), waiting);
  if (places == 0)
    return false;
  if (open.step->gang) {
    this->planGang(open, round);
    return true;
  }
  // If fewer are placed, there is no room for the others either.
  return this->planTasks(open, places, round.command) < places || places == waiting;
}

void Dispatcher::State::planTier(std::span<const OpenStep *const> steps, PlanRound &round) {
  struct Pass {
    ShareBound bound;
    bool urgentOnly;
    bool inTimeOnly;
  };
  // The most urgent queue has no tier of late steps. A workspace that asks for more than its share
  // would serve all of that queue by age, and so too late: what can be in time comes first.
  static constexpr std::array<Pass, 6> Passes = {{{ShareBound::Weighted, true, true},
                                                  {ShareBound::Weighted, false, true},
                                                  {ShareBound::Weighted, false, false},
                                                  {ShareBound::Filled, false, true},
                                                  {ShareBound::Any, false, true},
                                                  {ShareBound::Any, false, false}}};
  std::vector<const OpenStep *> left(steps.begin(), steps.end());
  for (const Pass &pass : Passes) {
    std::size_t kept = 0;
    for (const OpenStep *open : left) {
      const bool isUrgent = open->job->queue.priority == 0;
      const bool isPassedOver = (pass.urgentOnly && !isUrgent) ||
                                (pass.inTimeOnly && isUrgent && this->now > open->latestStart);
      if (isPassedOver || !this->planWithin(pass.bound, *open, round))
        left[kept++] = open;
    }
    left.resize(kept);
  }
}

void Dispatcher::State::beginShares(const std::vector<const OpenStep *> &steps) {
  if (this->now >= this->nextCapacity) {
    this->nextCapacity = this->now + CapacityInterval;
    this->capacity = {};
    for (const auto &[id, session] : this->sessions) {
      if (this->mayGetTasks(session, this->now))
        this->capacity = this->capacity + session.worker->profile.capacity;
    }
  }
  this->ledger.beginRound(this->capacity);
  for (const OpenStep *open : steps) {
    const base::Resources demand = demandOf(*open->step);
    const auto tasks = static_cast<std::int64_t>(open->waiting.size());
    this->ledger.want(open->workspace, demand * tasks);
    const bool isHeld = open->step->gang
                            ? !this->ledger.mayPlaceGang(open->workspace, demand * tasks)
                            : this->ledger.placesFor(open->workspace, demand, 1) == 0;
    if (isHeld)
      this->ledger.noteHeld(open->workspace, open->waiting.size());
  }
  // Proposed runs count as used.
  for (const auto &[step, runs] : this->pending) {
    for (const auto &[task, run] : runs)
      this->ledger.want(run.workspace, run.demand * -1);
  }
  this->ledger.computeShares();
}

void Dispatcher::State::plan() {
  PlanRound round;
  round.command.term = this->options.term;
  this->byFreeProcessors.clear();
  this->awaited.clear();
  this->utilization.reset();
  round.isGangRound = this->beginGangRound();
  const std::vector<const OpenStep *> ordered = this->queue.ordered(this->now);
  if (this->ledger.hasWorkspaces()) {
    this->beginShares(ordered);
    for (std::size_t begin = 0, end = 0; begin < ordered.size(); begin = end) {
      const std::uint32_t tier = ordered[begin]->tierAt(this->now);
      while (end < ordered.size() && ordered[end]->tierAt(this->now) == tier)
        ++end;
      this->planTier(std::span(ordered).subspan(begin, end - begin), round);
    }
    this->ledger.finishRound(this->now);
  } else {
    for (const OpenStep *open : ordered)
      this->planWithin(ShareBound::Any, *open, round);
  }
  if (!round.command.runs.empty())
    this->actions.emplace_back(Command(std::move(round.command)));
}

} // namespace banyanrill::jobs
