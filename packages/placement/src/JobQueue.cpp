#include "JobQueue.h"

#include <algorithm>

namespace banyanrill::placement {

void JobQueue::put(Job &job, base::Duration expected) {
  this->remove(job);
  job.queueKey = job.waitingSince - AgingStep * job.spec.priority + std::min(expected, AgingStep);
  this->jobs.emplace(Key{job.queueKey, job.serial}, &job);
  job.queued = true;
}

void JobQueue::remove(Job &job) {
  if (!job.queued)
    return;
  this->jobs.erase(Key{job.queueKey, job.serial});
  job.queued = false;
}

std::vector<Job *> JobQueue::window(std::size_t limit) {
  std::vector<Job *> selected;
  auto next = this->jobs.begin();
  const std::size_t head = this->jobs.size() <= limit ? limit : limit / 2;
  for (; next != this->jobs.end() && selected.size() < head; ++next)
    selected.push_back(next->second);
  if (next == this->jobs.end())
    return selected;
  const auto turn = this->jobs.upper_bound(this->cursor);
  if (turn != this->jobs.end() && turn->first > next->first)
    next = turn;
  for (; next != this->jobs.end() && selected.size() < limit; ++next) {
    selected.push_back(next->second);
    this->cursor = next->first;
  }
  if (next == this->jobs.end())
    this->cursor = Key{};
  return selected;
}

} // namespace banyanrill::placement
