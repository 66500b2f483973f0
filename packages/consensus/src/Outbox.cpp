#include "Outbox.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace banyanrill::consensus {

void Outbox::sendAfter(std::uint64_t write, Message message) {
  if (this->isConfirmed(write)) {
    this->send(std::move(message));
    return;
  }
  if (this->held.size() == MaxHeld) {
    this->held.pop_front();
  }
  this->held.push_back({write, std::move(message)});
}

void Outbox::dropAcknowledgements(Index from) {
  const auto isRemoved = [from](const Held &item) {
    return item.message.kind == MessageKind::AppendResponse && item.message.logIndex >= from;
  };
  this->held.erase(std::remove_if(this->held.begin(), this->held.end(), isRemoved),
                   this->held.end());
}

void Outbox::startWrite(base::TimePoint now) {
  assert(!this->isWriting());
  ++this->started;
  this->startedAt = now;
}

void Outbox::confirmWrite() {
  this->confirmed = this->started;
  std::deque<Held> rest;
  for (Held &item : this->held) {
    if (this->isConfirmed(item.write)) {
      this->send(std::move(item.message));
    } else {
      rest.push_back(std::move(item));
    }
  }
  this->held = std::move(rest);
}

std::vector<Message> Outbox::take() { return std::exchange(this->ready, {}); }

} // namespace banyanrill::consensus
