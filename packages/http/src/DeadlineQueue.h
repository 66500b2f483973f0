// Deadlines of many objects behind one timer of libwebsockets.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>
#include <functional>
#include <libwebsockets.h>
#include <set>
#include <unordered_map>
#include <utility>

namespace banyanrill::http {

/// libwebsockets keeps its timers in a linked list, which is slow with thousands of them; this
/// queue adds one. Loop thread only.
class DeadlineQueue {
public:
  using Key = std::uint64_t;

  /// `onExpired` is called once for each deadline that has passed; it may set and cancel deadlines.
  DeadlineQueue(lws_context *context, std::function<void(Key)> onExpired);
  ~DeadlineQueue();
  DeadlineQueue(const DeadlineQueue &) = delete;
  DeadlineQueue &operator=(const DeadlineQueue &) = delete;

  /// Replaces the deadline of this key.
  void set(Key key, base::Duration fromNow);
  void cancel(Key key);

  /// No deadline expires any more. Must be called before the context is destroyed, which would
  /// leave the timer in a list that is gone.
  void stop();

private:
  struct Timer {
    lws_sorted_usec_list_t entry = {}; ///< First member: `onTimer` converts its address.
    DeadlineQueue *queue = nullptr;
  };

  static void onTimer(lws_sorted_usec_list_t *entry);
  void schedule();

  lws_context *context;
  std::function<void(Key)> expire;
  std::set<std::pair<base::TimePoint, Key>> deadlines;
  std::unordered_map<Key, base::TimePoint> deadlineOf;
  base::TimePoint scheduled = base::TimePoint::max();
  bool stopped = false;
  Timer timer;
};

} // namespace banyanrill::http
