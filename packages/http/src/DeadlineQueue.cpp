#include "DeadlineQueue.h"

#include <algorithm>

namespace banyanrill::http {

DeadlineQueue::DeadlineQueue(lws_context *lwsContext, std::function<void(Key)> onExpired)
    : context(lwsContext), expire(std::move(onExpired)) {
  this->timer.queue = this;
}

DeadlineQueue::~DeadlineQueue() { lws_sul_cancel(&this->timer.entry); }

void DeadlineQueue::set(Key key, base::Duration fromNow) {
  this->cancel(key);
  const base::TimePoint deadline = base::steadyNow() + fromNow;
  this->deadlines.emplace(deadline, key);
  this->deadlineOf.emplace(key, deadline);
  if (deadline < this->scheduled)
    this->schedule();
}

void DeadlineQueue::cancel(Key key) {
  const auto found = this->deadlineOf.find(key);
  if (found == this->deadlineOf.end())
    return;
  this->deadlines.erase({found->second, key});
  this->deadlineOf.erase(found);
  // The timer stays: it is cheaper to let it find nothing than to move it at every cancellation.
}

void DeadlineQueue::stop() {
  this->stopped = true;
  lws_sul_cancel(&this->timer.entry);
}

void DeadlineQueue::schedule() {
  if (this->stopped || this->deadlines.empty()) {
    this->scheduled = base::TimePoint::max();
    return;
  }
  this->scheduled = this->deadlines.begin()->first;
  const base::Duration wait =
      std::max(this->scheduled - base::steadyNow(), base::Duration(std::chrono::microseconds(1)));
  lws_sul_schedule(this->context, 0, &this->timer.entry, &DeadlineQueue::onTimer, wait.count());
}

void DeadlineQueue::onTimer(lws_sorted_usec_list_t *entry) {
  DeadlineQueue *queue = reinterpret_cast<Timer *>(entry)->queue;
  const base::TimePoint now = base::steadyNow();
  while (!queue->deadlines.empty() && queue->deadlines.begin()->first <= now) {
    const Key key = queue->deadlines.begin()->second;
    queue->cancel(key);
    queue->expire(key);
  }
  queue->schedule();
}

} // namespace banyanrill::http
