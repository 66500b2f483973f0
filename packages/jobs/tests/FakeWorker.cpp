#include "FakeWorker.h"

#include <algorithm>

namespace banyanrill::jobs::test {

namespace {

constexpr std::int64_t MaxLeaseMs = 10000;

} // namespace

bool FakeWorker::acceptsFence(std::uint64_t orderFence) {
  if (orderFence < this->fence)
    return false;
  this->fence = orderFence;
  return true;
}

void FakeWorker::end(TaskKey task, EndKind how) {
  const auto found = this->running.find(task);
  const RunKey run{task, found->second.run};
  this->running.erase(found);
  std::uint32_t &bar = this->lastBarredRun[task];
  bar = std::max(bar, run.run);
  this->ends.push_back({++this->lastEnd, run, how, {}});
  this->observer.ended(this->profile.incarnation.id, run, how);
}

void FakeWorker::advance(std::int64_t nowMs) {
  if (!this->alive)
    return;
  std::vector<TaskKey> done;
  for (const auto &[task, run] : this->running) {
    if (nowMs >= run.endsAtMs)
      done.push_back(task);
  }
  for (const TaskKey &task : done)
    this->end(task, this->running.at(task).fails ? EndKind::Failed : EndKind::Succeeded);
  if (this->clockMs(nowMs) <= this->leaseUntilMs)
    return;
  while (!this->running.empty())
    this->end(this->running.begin()->first, EndKind::LeaseExpired);
  for (const TaskEnd &listed : this->ends)
    this->endsPendingAtLeaseExpiry.insert(listed.number);
}

OrderAnswer FakeWorker::start(const StartOrder &order, std::int64_t nowMs) {
  this->advance(nowMs);
  OrderAnswer answer{OrderOutcome::Accepted, this->clockMs(nowMs)};
  const TaskKey &task = order.run.task;
  if (!this->acceptsFence(order.target.fencingToken)) {
    answer.outcome = OrderOutcome::Fenced;
    return answer;
  }
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run == order.run.run)
    return answer;
  if (this->lastBarredRun[task] >= order.run.run || found != this->running.end()) {
    answer.outcome = OrderOutcome::OldRun;
    return answer;
  }
  if (order.leaseUntilMs <= this->clockMs(nowMs)) {
    answer.outcome = OrderOutcome::LeaseTooLate;
    return answer;
  }
  const std::int64_t lease = std::min(order.leaseUntilMs, this->clockMs(nowMs) + MaxLeaseMs);
  this->leaseUntilMs = std::max(this->leaseUntilMs, lease);
  const auto [takesMs, fails] = this->observer.work(this->profile.incarnation.id, order.run);
  this->running[task] = {order.run.run, nowMs + takesMs, fails};
  this->observer.started(this->profile.incarnation.id, order.run);
  return answer;
}

OrderAnswer FakeWorker::stop(const StopOrder &order, std::int64_t nowMs) {
  this->advance(nowMs);
  OrderAnswer answer{OrderOutcome::Accepted, this->clockMs(nowMs)};
  if (!this->acceptsFence(order.target.fencingToken)) {
    answer.outcome = OrderOutcome::Fenced;
    return answer;
  }
  const TaskKey &task = order.run.task;
  const auto found = this->running.find(task);
  if (found != this->running.end() && found->second.run <= order.run.run)
    this->end(task, EndKind::Stopped);
  std::uint32_t &bar = this->lastBarredRun[task];
  bar = std::max(bar, order.run.run);
  return answer;
}

RenewLeaseAnswer FakeWorker::hold(const RenewLeaseOrder &order, std::int64_t nowMs) {
  this->advance(nowMs);
  RenewLeaseAnswer answer;
  answer.clockMs = this->clockMs(nowMs);
  answer.startTimeMs = this->profile.incarnation.startTimeMs;
  answer.outcome = OrderOutcome::Accepted;
  if (!this->acceptsFence(order.target.fencingToken)) {
    answer.outcome = OrderOutcome::Fenced;
    return answer;
  }
  if (order.leaseUntilMs)
    this->leaseUntilMs = std::max(this->leaseUntilMs,
                                  std::min(*order.leaseUntilMs, this->clockMs(nowMs) + MaxLeaseMs));
  this->forgetEnds(order.recordedEnds);
  for (const auto &[task, run] : this->running)
    answer.running.push_back({{task, run.run}, {}, 50, 0});
  answer.ended = this->ends;
  return answer;
}

void FakeWorker::forgetEnds(std::uint64_t recordedEnds) {
  const auto isRecorded = [recordedEnds](const TaskEnd &end) { return end.number <= recordedEnds; };
  for (const TaskEnd &end : this->ends) {
    const bool counts = end.kind == EndKind::Succeeded && isRecorded(end) &&
                        this->endsPendingAtLeaseExpiry.count(end.number) == 0;
    if (counts)
      this->observer.successAcknowledged(end.run);
  }
  this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(), isRecorded),
                   this->ends.end());
}

void FakeWorker::kill() {
  this->alive = false;
  while (!this->running.empty()) {
    const RunKey run{this->running.begin()->first, this->running.begin()->second.run};
    this->running.erase(this->running.begin());
    this->observer.ended(this->profile.incarnation.id, run, EndKind::LeaseExpired);
  }
}

void FakeWorker::restart(const std::string &id, std::int64_t nowMs, std::int64_t newClockStartMs) {
  this->kill();
  this->alive = true;
  this->profile.incarnation = {id, nowMs + 1000000};
  this->startedAtMs = nowMs;
  this->clockStartMs = newClockStartMs;
  this->fence = 0;
  this->hasMetLeader = false;
  this->leaseUntilMs = 0;
  this->lastEnd = 0;
  this->lastBarredRun.clear();
  this->ends.clear();
  this->endsPendingAtLeaseExpiry.clear();
}

} // namespace banyanrill::jobs::test
