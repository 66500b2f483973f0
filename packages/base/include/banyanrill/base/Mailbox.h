// Bounded queue of messages into one task (thread).
#pragma once

#include "banyanrill/base/Time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

namespace banyanrill::base {

/// Any thread may post; one task receives. A full mailbox rejects the message and the sender
/// decides what that means (peers drop it, HTTP answers 503).
template <typename Message> class Mailbox {
public:
  /// \param capacity number of messages held at most.
  explicit Mailbox(std::size_t capacity) : capacity(capacity) {}

  /// Returns false, and drops the message, if the mailbox is full. Thread-safe.
  bool post(Message message) {
    {
      std::lock_guard lock(this->mutex);
      if (this->messages.size() >= this->capacity)
        return false;
      this->messages.push_back(std::move(message));
    }
    this->ready.notify_one();
    return true;
  }

  /// Takes all messages, waiting until there is one or the deadline passes. Thread-safe.
  std::vector<Message> receive(TimePoint deadline) {
    std::unique_lock lock(this->mutex);
    this->ready.wait_until(lock, deadline, [this] { return !this->messages.empty(); });
    std::vector<Message> taken(std::make_move_iterator(this->messages.begin()),
                               std::make_move_iterator(this->messages.end()));
    this->messages.clear();
    return taken;
  }

private:
  const std::size_t capacity;
  std::mutex mutex;
  std::condition_variable ready;
  std::deque<Message> messages;
};

} // namespace banyanrill::base
