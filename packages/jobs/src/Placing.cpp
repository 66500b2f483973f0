// Chooses the worker of each waiting task, and the workers to ask the advisory service about.
#include "DispatcherState.h"

#include <algorithm>

namespace banyanrill::jobs {

namespace {

/// Maximum number of runs in one command, to keep log entries small.
constexpr std::size_t MaxRunsPerCommand = 256;

/// Maximum number of workers in one advisory call; the service accepts 100.
constexpr std::size_t MaxAdvised = 64;

/// An advisory call names this many times the slots that the step needs, since the service refuses
/// many workers.
constexpr std::size_t AdviceSurplus = 4;

/// Maximum number of gangs with reservations; each costs processor time in every planning round.
constexpr std::size_t MaxReservingGangs = 16;

/// Maximum number of starts and stops in flight to a worker that may get more tasks.
constexpr std::uint32_t MaxOrdersWaiting = 12;

/// A worker that takes 1.5 times as long or more (0.4 is about ln 1.5) gets a task only if no other
/// worker has room.
constexpr double MuchSlower = 0.4;
constexpr double MuchSlowerPenalty = 2;

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

base::Resources demandOf(const Step &step) {
  base::Resources demand = step.demand;
  if (step.bestEffortCpu)
    demand.millicores = 0;
  return demand;
}

base::Resources Dispatcher::State::freeRoom(WorkerSession &session) {
  if (session.roomStale) {
    session.used = {};
    session.bestEffortRuns = 0;
    session.latencySensitiveRuns = 0;
    session.endings.clear();
    for (const auto &[task, placement] : session.worker->placements) {
      const Job *job = this->table.findJob(task.job);
      if (job == nullptr)
        continue;
      const Step &step = job->spec.steps[task.step];
      session.used = session.used + demandOf(step);
      session.bestEffortRuns += step.bestEffortCpu ? 1 : 0;
      session.latencySensitiveRuns += step.responseTargetMs > 0 ? 1 : 0;
      if (!step.longRunning)
        session.endings.push_back({this->expectedEnd(session, task, *job), demandOf(step)});
    }
    std::sort(session.endings.begin(), session.endings.end(),
              [](const ExpectedEnd &left, const ExpectedEnd &right) { return left.at < right.at; });
    session.roomStale = false;
  }
  return session.worker->profile.capacity - session.used - session.proposed;
}

base::TimePoint Dispatcher::State::expectedEnd(const WorkerSession &session, const TaskKey &task,
                                               const Job &job) const {
  const base::Duration takes = this->speeds.expected(session.incarnation.id, job.queue.name,
                                                     job.spec.steps[task.step].estimatedMs);
  const auto view = session.runs.find(task);
  if (view == session.runs.end() || view->second.inherited)
    return this->now + takes / 2; // Start time unknown.
  const RunStatus &run = view->second;
  return (run.startedAt == base::TimePoint::max() ? run.placedAt : run.startedAt) + takes;
}

base::Resources Dispatcher::State::proposedOn(const std::string &worker) const {
  base::Resources sum;
  for (const auto &[task, run] : this->pending) {
    const Job *job = run.worker == worker ? this->table.findJob(task.job) : nullptr;
    if (job != nullptr)
      sum = sum + demandOf(job->spec.steps[task.step]);
  }
  return sum;
}

bool Dispatcher::State::isEligible(const OpenStep &open, const WorkerSession &session) const {
  const Step &step = *open.step;
  const WorkerProfile &profile = session.worker->profile;
  if (profile.service != open.job->queue.service || profile.draining || session.leaving ||
      !session.hasAnswered || session.renewalUnanswered || !session.clock)
    return false;
  if (!step.requiredLabel.empty() && !hasLabel(profile, step.requiredLabel))
    return false;
  // Best-effort tasks on idle processors disturb tasks with a response target.
  if ((step.bestEffortCpu && session.latencySensitiveRuns > 0) ||
      (step.responseTargetMs > 0 && session.bestEffortRuns > 0))
    return false;
  return !session.isAvoided(this->now) && !session.isSilent(this->now) &&
         session.callsInFlight < MaxOrdersWaiting;
}

std::map<std::string, std::uint32_t> Dispatcher::State::tasksPerWorker(const OpenStep &open) const {
  std::map<std::string, std::uint32_t> counts;
  if (open.step->maxPerWorker == 0)
    return counts;
  for (std::uint32_t index = 0; index < open.progress->tasks.size(); ++index) {
    const Task &task = open.progress->tasks[index];
    if (task.phase == TaskPhase::Placed)
      ++counts[task.worker];
    const auto pendingRun =
        this->pending.find({open.key.job, open.key.occurrence, open.key.step, index});
    if (pendingRun != this->pending.end() && task.phase == TaskPhase::Waiting)
      ++counts[pendingRun->second.worker];
  }
  return counts;
}

std::vector<std::uint32_t> Dispatcher::State::waitingTasks(const OpenStep &open) const {
  std::vector<std::uint32_t> waitingIndices;
  for (std::uint32_t index = 0; index < open.progress->tasks.size(); ++index) {
    if (open.progress->tasks[index].phase != TaskPhase::Waiting)
      continue;
    if (this->pending.count({open.key.job, open.key.occurrence, open.key.step, index}) == 0)
      waitingIndices.push_back(index);
  }
  return waitingIndices;
}

std::vector<WorkerSession *> Dispatcher::State::candidatesFor(const OpenStep &open) {
  std::vector<WorkerSession *> candidates;
  const base::Resources demand = demandOf(*open.step);
  const auto consider = [&](WorkerSession &session) {
    if (this->isEligible(open, session) && demand.fitsIn(this->roomFor(open, session)))
      candidates.push_back(&session);
  };
  if (!open.job->queue.advice) {
    for (auto &[id, session] : this->sessions)
      consider(session);
    return candidates;
  }
  const StepAdvice *advice = this->desk.find(open.key);
  if (advice == nullptr)
    return candidates;
  for (const auto &[id, ticket] : advice->tickets) {
    const auto session = this->sessions.find(id);
    if (ticket.until > this->now && session != this->sessions.end())
      consider(session->second);
  }
  return candidates;
}

std::optional<double> Dispatcher::State::scoreOf(const OpenStep &open, const Task &task,
                                                 WorkerSession &session) {
  const base::Resources demand = demandOf(*open.step);
  const base::Resources room = this->roomFor(open, session);
  if (!demand.fitsIn(room))
    return std::nullopt;
  const WorkerProfile &profile = session.worker->profile;
  // Best fit: prefers the fullest worker that has room, so that large tasks find room elsewhere.
  const auto left = static_cast<double>(room.millicores - demand.millicores);
  double score =
      1.0 - left / static_cast<double>(std::max<std::int64_t>(profile.capacity.millicores, 1));
  if (!open.step->dataRack.empty() && profile.rack == open.step->dataRack)
    score += 2;
  if (session.reservation && !demand.fitsIn(room - session.reservation->amount))
    score -= ReservedRoomPenalty;
  const double slowness = this->speeds.slowness(session.incarnation.id);
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

void Dispatcher::State::dropPending(const TaskKey &task) {
  const auto found = this->pending.find(task);
  if (found == this->pending.end())
    return;
  const Job *job = this->table.findJob(task.job);
  const auto session = this->sessions.find(found->second.worker);
  if (job != nullptr && session != this->sessions.end())
    session->second.proposed = session->second.proposed - demandOf(job->spec.steps[task.step]);
  this->pending.erase(found);
}

void Dispatcher::State::assign(const OpenStep &open, std::uint32_t index, std::uint32_t run,
                               WorkerSession &session, PlaceRuns &command) {
  const TaskKey key{open.key.job, open.key.occurrence, open.key.step, index};
  const std::string &id = session.incarnation.id;
  PendingRun &pendingRun = this->pending[key];
  pendingRun.worker = id;
  pendingRun.run = run;
  if (const Ticket *ticket = this->desk.ticketFor(open.key, id, this->now)) {
    pendingRun.ticket = ticket->value;
    pendingRun.ticketUntil = ticket->until;
  }
  session.proposed = session.proposed + demandOf(*open.step);
  session.bestEffortRuns += open.step->bestEffortCpu ? 1 : 0;
  session.latencySensitiveRuns += open.step->responseTargetMs > 0 ? 1 : 0;
  command.runs.push_back({{key, run}, id});
}

void Dispatcher::State::place(const OpenStep &open, PlaceRuns &command) {
  const std::vector<WorkerSession *> candidates = this->candidatesFor(open);
  if (candidates.empty())
    return;
  std::map<std::string, std::uint32_t> perWorker = this->tasksPerWorker(open);
  for (const std::uint32_t index : this->waitingTasks(open)) {
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

void Dispatcher::State::placeGang(const OpenStep &open, PlaceRuns &command) {
  const std::vector<std::uint32_t> members = this->waitingTasks(open);
  const std::vector<WorkerSession *> candidates = this->candidatesFor(open);
  std::size_t slots = 0;
  for (WorkerSession *session : candidates)
    slots += this->slotsIn(open, *session);
  if (members.size() != open.progress->tasks.size() || slots < members.size())
    return;
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
    return;
  // Not all members fit: undo the assignments of the others.
  while (command.runs.size() > before) {
    const PlacedRun &placed = command.runs.back();
    this->sessions.at(placed.worker).roomStale = true;
    this->dropPending(placed.run.task);
    command.runs.pop_back();
  }
}

std::uint32_t Dispatcher::State::slotsIn(const OpenStep &open, WorkerSession &session) {
  std::uint32_t slots = slotsFor(this->roomFor(open, session), demandOf(*open.step));
  if (open.step->maxPerWorker > 0)
    slots = std::min(slots, open.step->maxPerWorker);
  return slots;
}

void Dispatcher::State::considerAdvice(const OpenStep &open) {
  StepAdvice &advice = this->desk.of(open.key);
  if (advice.asking || this->now < advice.askAgain)
    return;
  const auto needed = static_cast<std::uint32_t>(this->waitingTasks(open).size());
  if (needed == 0)
    return;
  advice.askAgain = this->now + AdviceRecheckInterval;
  struct Candidate {
    const std::string *worker;
    std::uint32_t slots;
    bool known;
    std::uint64_t order; ///< Random, so that concurrent calls for other steps name other workers.
  };
  std::vector<Candidate> candidates;
  const base::Resources demand = demandOf(*open.step);
  for (auto &[id, session] : this->sessions) {
    if (!demand.fitsIn(this->roomFor(open, session)) || !this->isEligible(open, session) ||
        advice.bad.count(id) != 0)
      continue;
    const std::uint32_t slots = std::min(needed, this->slotsIn(open, session));
    candidates.push_back({&id, slots, advice.tickets.count(id) != 0, this->random.next()});
  }
  if (candidates.empty())
    return;
  const std::size_t candidateCount = std::min(candidates.size(), MaxAdvised);
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(candidateCount),
      candidates.end(), [](const Candidate &left, const Candidate &right) {
        if (left.known != right.known)
          return left.known;
        return left.slots != right.slots ? left.slots > right.slots : left.order < right.order;
      });
  candidates.resize(candidateCount);
  std::vector<std::string> workers;
  std::size_t named = 0;
  std::size_t surely = 0;
  for (const Candidate &candidate : candidates) {
    if (surely >= needed || (named >= AdviceSurplus * needed && workers.size() >= MinAdvised))
      break;
    workers.push_back(*candidate.worker);
    named += candidate.slots;
    surely += candidate.known ? candidate.slots : 0;
  }
  this->ask(open, std::move(workers));
}

void Dispatcher::State::ask(const OpenStep &open, std::vector<std::string> workers) {
  ++this->counters.adviceCalls;
  this->actions.emplace_back(
      this->desk.ask(++this->lastOrder, open, std::move(workers), this->now));
}

void Dispatcher::State::plan() {
  PlaceRuns command;
  command.term = this->options.term;
  for (auto &[id, session] : this->sessions)
    session.reservation.reset();
  std::size_t reservingGangs = 0;
  for (const OpenStep *open : this->queue.ordered(this->now)) {
    if (!open->step->gang) {
      this->place(*open, command);
      if (open->job->queue.advice && this->desk.hasFreeAdviser())
        this->considerAdvice(*open);
      continue;
    }
    this->placeGang(*open, command);
    if (reservingGangs < MaxReservingGangs &&
        this->waitingTasks(*open).size() == open->step->count) {
      ++reservingGangs;
      this->reserveForGang(*open);
    }
  }
  if (!command.runs.empty())
    this->actions.emplace_back(Command(std::move(command)));
}

} // namespace banyanrill::jobs
