// Orders to workers, and what their answers prove about the runs there.
#include "DispatcherState.h"

#include <algorithm>
#include <cassert>

namespace banyanrill::jobs {

namespace {

/// Lower bits of a fencing token, counted up by a leader; the term stands above them. So a token
/// never falls for one worker, whether it restarts, is removed and registers again, or the leader
/// changes.
constexpr unsigned SessionBits = 32;

/// The worker delays its answer to a lease renewal up to this long until a task ends; this also
/// limits the age of the known state.
constexpr base::Duration RenewalWait = std::chrono::milliseconds(1000);

/// Pause between two lease renewals of a worker, so that one answer holds all ends that are close
/// together.
constexpr base::Duration RenewalPause = std::chrono::milliseconds(30);

/// Pause after a lease renewal or another order without an answer.
constexpr base::Duration RetryPause = std::chrono::milliseconds(150);

/// Maximum number of orders in flight to one worker; a worker has 64 channels for all daemons.
constexpr std::uint32_t MaxCallsPerWorker = 12;

/// Maximum number of start orders for one run; after them it is stopped.
constexpr std::uint32_t MaxStarts = 3;

/// A start that was not answered and is not listed by then is stopped while its workspace is over a
/// lowered limit. A worker is asked for its runs every second.
constexpr base::Duration UnlistedStartTime = std::chrono::seconds(3);

/// A gang is abandoned if a member has not started within gangTimeout divided by this, so that the
/// stop orders reach the other members before they time out.
constexpr int GangTimeoutDivisor = 3;

/// Maximum number of ends in one answer; a full list may be incomplete.
constexpr std::size_t FullEndList = 500;

/// A worker without runs that does not answer for this long is removed. Until then it is asked, so
/// that it has work again soon after its return.
constexpr base::Duration IdleSilence = std::chrono::seconds(6);

/// Maximum number of conclusions kept for the log; further ones are not reported.
constexpr std::size_t MaxDecisions = 2048;

/// Evidence about the placed run that an order was about; null if another run is placed there now.
RunStatus *findStatus(const Worker &worker, WorkerSession &session, const RunKey &run) {
  const auto view = session.runs.find(run.task);
  const auto placement = worker.placements.find(run.task);
  const bool isPlaced = view != session.runs.end() && placement != worker.placements.end() &&
                        placement->second.run == run.run;
  return isPlaced ? &view->second : nullptr;
}

} // namespace

std::uint64_t Dispatcher::State::fencingTokenOf(const WorkerSession &session) const {
  assert(session.fenceNumber < std::uint64_t(1) << SessionBits);
  return (this->options.term << SessionBits) | session.fenceNumber;
}

OrderTarget Dispatcher::State::targetOf(const Worker &worker, const WorkerSession &session) const {
  return {worker.profile.incarnation.id, worker.profile.address, this->fencingTokenOf(session)};
}

SessionKey Dispatcher::State::keyOf(const WorkerSession &session) const {
  return {session.incarnation, this->fencingTokenOf(session)};
}

void Dispatcher::State::report(WorkerDecision decision) {
  if (this->decisions.size() < MaxDecisions)
    this->decisions.push_back(std::move(decision));
}

std::pair<const Worker *, WorkerSession *> Dispatcher::State::find(const OrderSubject &subject) {
  const Worker *worker = this->table.findWorker(subject.worker);
  const auto session = this->sessions.find(subject.worker);
  if (worker == nullptr || session == this->sessions.end() ||
      session->second.serial != subject.session)
    return {nullptr, nullptr};
  return {worker, &session->second};
}

void Dispatcher::State::expectAnswer(const OrderId &id, const WorkerSession &session,
                                     const RunKey &run, bool givesLease) {
  this->orders.emplace(
      id, OrderSubject{session.incarnation.id, session.serial, run, this->now, givesLease, 0});
}

void Dispatcher::State::expectAnswer(const RenewLeaseOrder &order, const WorkerSession &session) {
  this->orders.emplace(order.id, OrderSubject{session.incarnation.id,
                                              session.serial,
                                              {},
                                              this->now,
                                              order.leaseUntilMs.has_value(),
                                              order.recordedEnds});
}

std::optional<OrderSubject> Dispatcher::State::takeOrder(const OrderId &id) {
  const auto found = this->orders.find(id);
  if (found == this->orders.end())
    return std::nullopt;
  OrderSubject subject = std::move(found->second);
  this->orders.erase(found);
  return subject;
}

void Dispatcher::State::release(WorkerSession &session, const RunKey &run, RunStatus &view,
                                ReleaseCause cause) {
  if (view.releaseProposed)
    return;
  this->report(RunReleaseDecided{this->keyOf(session), run, cause});
  view.releaseProposed = true;
  ++this->counters.runsReleased;
  this->releases.push_back({run, session.incarnation.id, view.checkpoint});
  this->dirtyWorkers.insert(session.incarnation.id);
}

void Dispatcher::State::removeWorker(const Worker &worker, WorkerSession &session,
                                     RemovalCause cause) {
  if (session.removalProposedAt && this->now - *session.removalProposedAt < IdleSilence)
    return;
  this->report(WorkerRemovalDecided{this->keyOf(session), cause, this->now - session.lastAnswer,
                                    session.leaseEndsBy - this->now, worker.placements.size()});
  session.removalProposedAt = this->now;
  RemoveWorker command{worker.profile.incarnation, {}};
  for (const auto &[task, placement] : worker.placements) {
    const RunKey run{task, placement.run};
    this->report(RunReleaseDecided{this->keyOf(session), run, ReleaseCause::WorkerRemoved});
    const auto view = session.runs.find(task);
    if (view != session.runs.end() && !view->second.checkpoint.empty())
      command.lastCheckpoints.push_back(
          {run, worker.profile.incarnation.id, view->second.checkpoint});
  }
  ++this->counters.workersRemoved;
  this->actions.emplace_back(Command(std::move(command)));
}

void Dispatcher::State::sendRenewLease(const Worker &worker, WorkerSession &session) {
  RenewLeaseOrder order;
  order.id = this->nextOrder();
  order.target = this->targetOf(worker, session);
  // Else it is only asked who it is. A lease would also delay the time from which nothing runs on a
  // silent worker.
  if (session.isConfirmed()) {
    // Said once: a next incarnation that gets the order would forget as many of its own ends.
    if (worker.recordedEnds > session.acknowledgedEnds)
      order.recordedEnds = worker.recordedEnds;
    order.leaseUntilMs =
        session.extendLease(this->options.lease, this->options.stopGrace, this->now);
    order.waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(RenewalWait).count();
  }
  this->expectAnswer(order, session);
  session.renewalInFlight = true;
  if (session.isDoubted)
    session.identityProbe = order.id;
  ++this->counters.renewals;
  this->actions.emplace_back(std::move(order));
}

void Dispatcher::State::sendStart(const Worker &worker, WorkerSession &session, const RunKey &run,
                                  RunStatus &view) {
  const std::optional<std::int64_t> lease =
      session.extendLease(this->options.lease, this->options.stopGrace, this->now);
  const Job *job = this->table.findJob(run.task.job);
  if (!lease || job == nullptr)
    return;
  StartOrder order;
  order.id = this->nextOrder();
  order.target = this->targetOf(worker, session);
  order.run = run;
  order.taskSpec = job->spec.taskSpec;
  order.leaseUntilMs = *lease;
  order.ticket = view.ticket;
  order.checkpoint = job->occurrences.at(run.task.occurrence)
                         .steps[run.task.step]
                         .tasks[run.task.index]
                         .checkpoint;
  view.startInFlight = true;
  ++view.startsSent;
  session.recordCall(this->now);
  ++session.callsInFlight;
  ++this->counters.starts;
  this->expectAnswer(order.id, session, run, true);
  this->actions.emplace_back(std::move(order));
}

void Dispatcher::State::sendStop(const Worker &worker, WorkerSession &session, const RunKey &run) {
  StopOrder order;
  order.id = this->nextOrder();
  order.target = this->targetOf(worker, session);
  order.run = run;
  session.recordCall(this->now);
  ++session.callsInFlight;
  ++this->counters.stops;
  this->expectAnswer(order.id, session, run, false);
  this->actions.emplace_back(std::move(order));
}

bool Dispatcher::State::mayStart(const RunKey &run) const {
  const Job *job = this->table.findJob(run.task.job);
  if (job == nullptr || job->phase != JobPhase::Active)
    return false;
  const Task &task =
      job->occurrences.at(run.task.occurrence).steps[run.task.step].tasks[run.task.index];
  return task.phase == TaskPhase::Placed && task.lastRun == run.run;
}

bool Dispatcher::State::gangIsBroken(const RunKey &run) const {
  const Job *job = this->table.findJob(run.task.job);
  if (job == nullptr || !job->spec.steps[run.task.step].gang)
    return false;
  const auto abandoned =
      this->abandonedGangs.find({run.task.job, run.task.occurrence, run.task.step});
  if (abandoned != this->abandonedGangs.end() && abandoned->second >= run.run)
    return true;
  const StepProgress &step = job->occurrences.at(run.task.occurrence).steps[run.task.step];
  return std::any_of(step.tasks.begin(), step.tasks.end(), [&run](const Task &member) {
    return member.phase == TaskPhase::Waiting && member.lastRun == run.run;
  });
}

void Dispatcher::State::checkGang(const RunKey &run, const RunStatus &view) {
  const Job *job = this->table.findJob(run.task.job);
  if (job == nullptr || !job->spec.steps[run.task.step].gang || view.inherited)
    return;
  const bool lateStart = !view.startAnswered &&
                         this->now - view.placedAt > this->options.gangTimeout / GangTimeoutDivisor;
  if (!lateStart && !view.stopWanted)
    return;
  // The members that started would wait for this one until they time out.
  std::uint32_t &abandoned =
      this->abandonedGangs[{run.task.job, run.task.occurrence, run.task.step}];
  if (abandoned >= run.run)
    return;
  abandoned = run.run;
  this->examineGang(run.task);
}

bool Dispatcher::State::isWithheld(const RunKey &run, RunStatus &view) {
  if (!this->ledger.hasWorkspaces())
    return false;
  const Job *job = this->table.findJob(run.task.job);
  if (job == nullptr || !this->ledger.isOverLoweredLimit(this->workspaceOf(*job)))
    return false;
  // A run whose order was not answered may be there: the next answers list it. A stop before that
  // could end running work.
  if (view.startsSent == 0 || this->now - view.placedAt > UnlistedStartTime)
    view.stopWanted = true;
  return true;
}

void Dispatcher::State::advanceWorker(const Worker &worker, WorkerSession &session) {
  // What it started now would be released when the removal is committed.
  if (session.removalProposedAt && this->now - *session.removalProposedAt < IdleSilence)
    return;
  const bool silent = session.renewalUnanswered || !session.hasAnswered;
  if (silent && this->now >= session.leaseEndsBy)
    this->giveUpRuns(worker, session);
  const base::TimePoint idleSince = std::max(session.lastAnswer, session.emptySince);
  if (silent && worker.placements.empty() && this->now - idleSince > IdleSilence) {
    this->removeWorker(worker, session, RemovalCause::IdleSilence);
    return;
  }
  this->advanceRuns(worker, session);
  const bool mayAsk =
      session.isDoubted ? !session.identityProbe.has_value() : !session.renewalInFlight;
  if (mayAsk && !session.endsProposed && this->now >= session.nextRenewal)
    this->sendRenewLease(worker, session);
}

void Dispatcher::State::giveUpRuns(const Worker &worker, WorkerSession &session) {
  for (const auto &[task, placement] : worker.placements) {
    RunStatus &status = session.runs[task];
    if (status.startUncertainSince && this->now < session.successorLeaseEndsBy)
      continue;
    this->release(session, {task, placement.run}, status, ReleaseCause::LeaseEnded);
  }
  if (!worker.placements.empty())
    session.emptySince = this->now;
}

void Dispatcher::State::extendSuccessorLease(WorkerSession &session) const {
  session.successorLeaseEndsBy =
      std::max(session.successorLeaseEndsBy,
               leaseEnd(this->now, this->options.maxLease, this->options.stopGrace));
}

void Dispatcher::State::advanceRuns(const Worker &worker, WorkerSession &session) {
  if (!session.hasAnswered)
    return;
  session.unsettledRuns = 0;
  for (const auto &[task, placement] : worker.placements) {
    if (session.isConfirmed()) {
      this->advanceRun(worker, session, task, placement);
      const auto run = session.runs.find(task);
      const bool isSettled = run != session.runs.end() && run->second.isSettled();
      session.unsettledRuns += isSettled && !placement.previousIncarnation ? 0 : 1;
      continue;
    }
    if (const auto view = session.runs.find(task); view != session.runs.end())
      this->checkGang({task, placement.run}, view->second);
  }
}

void Dispatcher::State::advanceRun(const Worker &worker, WorkerSession &session,
                                   const TaskKey &task, const Placement &placement) {
  const auto [position, isNew] = session.runs.try_emplace(task);
  RunStatus &view = position->second;
  if (isNew)
    view.inherited = true;
  if (view.releaseProposed || (view.isSettled() && !placement.previousIncarnation))
    return;
  const RunKey run{task, placement.run};
  view.mustExamine = false;
  const Job *job = this->table.findJob(task.job);
  const bool abandoned =
      job == nullptr || job->phase == JobPhase::Cancelled || job->phase == JobPhase::Failed;
  if (placement.previousIncarnation || abandoned || (!view.startAnswered && !this->mayStart(run)) ||
      this->gangIsBroken(run) ||
      (worker.profile.draining && !view.startAnswered && !view.inherited))
    view.stopWanted = true;
  this->checkGang(run, view);
  if (view.startInFlight || view.stopInFlight || this->now < view.nextTry ||
      session.callsInFlight >= MaxCallsPerWorker)
    return;
  if (view.stopWanted) {
    if (!view.inherited && view.startsSent == 0) {
      this->release(session, run, view, ReleaseCause::NotSent);
    } else if (!view.stopAnswered) {
      view.stopInFlight = true;
      this->sendStop(worker, session, run);
    }
    return;
  }
  if (view.inherited || view.startAnswered)
    return;
  if (view.startsSent >= MaxStarts || this->now >= view.ticketUntil) {
    view.stopWanted = true;
    this->dirtyWorkers.insert(session.incarnation.id);
    return;
  }
  if (this->isWithheld(run, view)) {
    if (view.stopWanted)
      this->dirtyWorkers.insert(session.incarnation.id);
    return;
  }
  // Its task may be about to end: an earlier run's success is listed, but not yet recorded.
  if (this->proposedSuccesses.count(task) != 0)
    return;
  this->sendStart(worker, session, run, view);
}

std::pair<const Worker *, WorkerSession *>
Dispatcher::State::recordAnswer(const std::optional<OrderSubject> &subject,
                                const OrderAnswer &answer) {
  if (!subject)
    return {nullptr, nullptr};
  const auto found = this->find(*subject);
  if (WorkerSession *session = found.second; session != nullptr) {
    --session->callsInFlight;
    if (answer.outcome != OrderOutcome::NoAnswer && answer.outcome != OrderOutcome::NotSent)
      session->recordAnswered(this->now);
    if (answer.clockMs && !session->isOwnClock(*answer.clockMs, subject->sentAt, this->now))
      this->doubt(session->incarnation.id, *session, DoubtCause::OtherClock, {});
    else
      session->readClock(answer.clockMs, this->now);
    this->dirtyWorkers.insert(session->incarnation.id);
  }
  return found;
}

void Dispatcher::onStartAnswer(OrderId order, const OrderAnswer &answer, base::TimePoint now) {
  State &dispatcher = *this->state;
  dispatcher.now = now;
  const std::optional<OrderSubject> subject = dispatcher.takeOrder(order);
  const auto [worker, session] = dispatcher.recordAnswer(subject, answer);
  if (session == nullptr)
    return;
  RunStatus *found = findStatus(*worker, *session, subject->run);
  if (found == nullptr)
    return;
  RunStatus &view = *found;
  view.startInFlight = false;
  if (session->isDoubted || answer.outcome == OrderOutcome::NoAnswer) {
    view.startUncertainSince = now;
    dispatcher.extendSuccessorLease(*session);
  }
  switch (answer.outcome) {
  case OrderOutcome::Accepted:
    if (view.startsSent == 1)
      view.startedAt = now;
    [[fallthrough]];
  case OrderOutcome::OldRun:
    view.startAnswered = true;
    view.answeredAt = now;
    dispatcher.markBegun(subject->run.task.job);
    return;
  case OrderOutcome::NotSent:
    --view.startsSent;
    view.nextTry = now + RetryPause;
    // Nothing was sent, so the task may be placed on another worker at once.
    if (view.startsSent == 0)
      dispatcher.release(*session, subject->run, view, ReleaseCause::NotSent);
    return;
  case OrderOutcome::NoAnswer:
    ++dispatcher.counters.startsUnanswered;
    return;
  case OrderOutcome::Fenced:
    return; // A later leader has taken the worker over.
  case OrderOutcome::OtherIncarnation:
    dispatcher.removeWorker(*worker, *session, RemovalCause::OtherWorkerAnswers);
    return;
  case OrderOutcome::LeaseTooLate:
  case OrderOutcome::NoRoom:
  case OrderOutcome::TicketInvalid:
  case OrderOutcome::Unhealthy:
  case OrderOutcome::Invalid:
    ++dispatcher.counters.startsRejected;
    // An earlier copy of the order may still be executed.
    if (view.startsSent == 1)
      dispatcher.release(*session, subject->run, view, ReleaseCause::Refused);
    else
      view.stopWanted = true;
    return;
  }
}

void Dispatcher::onStopAnswer(OrderId order, const OrderAnswer &answer, base::TimePoint now) {
  State &dispatcher = *this->state;
  dispatcher.now = now;
  const std::optional<OrderSubject> subject = dispatcher.takeOrder(order);
  const auto [worker, session] = dispatcher.recordAnswer(subject, answer);
  if (session == nullptr)
    return;
  if (answer.outcome == OrderOutcome::OtherIncarnation) {
    dispatcher.removeWorker(*worker, *session, RemovalCause::OtherWorkerAnswers);
    return;
  }
  RunStatus *found = findStatus(*worker, *session, subject->run);
  if (found == nullptr)
    return; // A stray run's stop says nothing about a newer run of the task.
  RunStatus &view = *found;
  view.stopInFlight = false;
  if (answer.outcome == OrderOutcome::Accepted) {
    view.stopAnswered = true;
    view.answeredAt = now;
    session->nextRenewal = std::min(session->nextRenewal, now);
  } else {
    view.nextTry = now + RetryPause;
  }
}

void Dispatcher::State::reconcileRuns(const Worker &worker, WorkerSession &session,
                                      const RenewLeaseAnswer &answer, base::TimePoint sentAt) {
  std::map<RunKey, const RunningTask *> running;
  for (const RunningTask &task : answer.running)
    running.emplace(task.run, &task);
  std::set<RunKey> ended;
  for (const TaskEnd &end : answer.ended)
    ended.insert(end.run);
  for (const auto &[task, placement] : worker.placements) {
    const auto [position, isNew] = session.runs.try_emplace(task);
    RunStatus &view = position->second;
    if (isNew)
      view.inherited = true;
    if (view.startUncertainSince && sentAt >= *view.startUncertainSince)
      view.startUncertainSince.reset();
    const RunKey run{task, placement.run};
    if (const auto found = running.find(run); found != running.end()) {
      const RunningTask &seen = *found->second;
      if (!view.startAnswered) {
        view.startAnswered = true;
        view.answeredAt = this->now;
        this->markBegun(task.job);
      }
      if (seen.percent != view.percent)
        view.progressAt = this->now;
      view.percent = seen.percent;
      view.load = seen.load;
      if (!seen.checkpoint.empty())
        view.checkpoint = seen.checkpoint;
      running.erase(found);
      continue;
    }
    if (ended.count(run) != 0 || answer.ended.size() >= FullEndList)
      continue;
    // The worker has seen this session's fencing token, so it rejects all earlier orders.
    const bool barred = placement.term < this->options.term || placement.previousIncarnation;
    const bool settled = (view.startAnswered || view.stopAnswered) && sentAt > view.answeredAt;
    if (barred || settled)
      this->release(session, run, view,
                    settled ? ReleaseCause::NotListed : ReleaseCause::EarlierSession);
  }
  for (const auto &[run, seen] : running) {
    // Not placed here: the lease expired and its runs were released, but the worker came back.
    if (session.callsInFlight < MaxCallsPerWorker)
      this->sendStop(worker, session, run);
  }
}

void Dispatcher::State::proposeRestart(const Worker &worker, const WorkerSession &session,
                                       std::int64_t startTimeMs) {
  this->report(RestartSeen{this->keyOf(session), startTimeMs});
  RestartWorker command{session.incarnation, worker.profile};
  const bool isClaimed = session.claimed &&
                         session.claimed->incarnation.startTimeMs == startTimeMs &&
                         session.claimed->address == worker.profile.address;
  if (isClaimed) {
    command.profile = *session.claimed;
  } else {
    // The new life may be of another kind; its own report says what it can run.
    command.profile.incarnation.startTimeMs = startTimeMs;
    command.profile.capacity = {};
    command.profile.draining = false;
  }
  this->actions.emplace_back(Command(std::move(command)));
}

void Dispatcher::onRenewLeaseAnswer(OrderId order, const RenewLeaseAnswer &answer,
                                    base::TimePoint now) {
  State &dispatcher = *this->state;
  dispatcher.now = now;
  const std::optional<OrderSubject> subject = dispatcher.takeOrder(order);
  if (!subject)
    return;
  const auto [worker, session] = dispatcher.find(*subject);
  if (session == nullptr)
    return;
  session->renewalInFlight = false;
  const bool isProbe = session->identityProbe == order;
  if (isProbe)
    session->identityProbe.reset();
  dispatcher.dirtyWorkers.insert(session->incarnation.id);
  if (answer.outcome == OrderOutcome::OtherIncarnation ||
      (session->leaving && answer.outcome == OrderOutcome::NotSent)) {
    dispatcher.removeWorker(*worker, *session,
                            answer.outcome == OrderOutcome::NotSent
                                ? RemovalCause::Left
                                : RemovalCause::OtherWorkerAnswers);
    return;
  }
  if (answer.outcome != OrderOutcome::Accepted) {
    ++dispatcher.counters.renewalsUnanswered;
    if (subject->givesLease)
      dispatcher.extendSuccessorLease(*session);
    if (!session->renewalUnanswered)
      dispatcher.report(
          WorkerFellSilent{dispatcher.keyOf(*session), session->leaseEndsBy - dispatcher.now});
    session->renewalUnanswered = true;
    session->nextRenewal = now + RetryPause;
    return;
  }
  if (answer.startTimeMs && session->incarnation.startTimeMs != 0 &&
      *answer.startTimeMs != session->incarnation.startTimeMs) {
    dispatcher.proposeRestart(*worker, *session, *answer.startTimeMs);
    // Until the restart is recorded, the worker is only asked; the first time at once, since the
    // higher token bars the orders of the former incarnation.
    session->nextRenewal = session->isRestartSeen ? now + RetryPause : now;
    session->isRestartSeen = true;
    session->isDoubted = true;
    session->fenceNumber = ++dispatcher.lastSession;
    return;
  }
  if (!session->hasAnswered) {
    dispatcher.planNeeded = true;
    // Until now an order of an earlier session may have given it a lease.
    session->leaseEndsBy = leaseEnd(now, dispatcher.options.maxLease, dispatcher.options.stopGrace);
  }
  // The poll after an unanswered renewal carried no lease; the next renewal follows at once.
  session->nextRenewal = session->renewalUnanswered ? now : now + RenewalPause;
  session->renewalUnanswered = false;
  session->hasAnswered = true;
  if (isProbe) {
    session->isDoubted = false;
    session->clock.reset(); // What this answer says of it counts.
  }
  session->acknowledgedEnds = std::max(session->acknowledgedEnds, subject->recordedEnds);
  session->recordAnswered(now);
  session->lastAnswer = now;
  session->readClock(answer.clockMs, now);
  dispatcher.reconcileRuns(*worker, *session, answer, subject->sentAt);
  RecordEnds command{session->incarnation, {}};
  for (const TaskEnd &end : answer.ended) {
    if (end.number > worker->recordedEnds)
      command.ends.push_back(end);
  }
  if (command.ends.empty())
    return;
  session->endsProposed = true;
  for (const TaskEnd &end : command.ends) {
    if (end.kind == EndKind::Succeeded)
      dispatcher.proposedSuccesses.insert(end.run.task);
  }
  dispatcher.actions.emplace_back(Command(std::move(command)));
}

} // namespace banyanrill::jobs
