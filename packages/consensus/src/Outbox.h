// Messages to send, and those held back until the state they promise is durable.
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/consensus/Message.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace banyanrill::consensus {

/// Writes are numbered from 1. At most one is outstanding, so a confirmation is never ambiguous.
class Outbox {
public:
  /// Oldest held messages are dropped beyond this number; the protocol tolerates loss.
  static constexpr std::size_t MaxHeld = 4096;

  bool isWriting() const { return this->started > this->confirmed; }
  std::uint64_t lastStarted() const { return this->started; }
  /// Number of the write that will contain changes made now.
  std::uint64_t nextWrite() const { return this->started + 1; }
  bool isConfirmed(std::uint64_t write) const { return write <= this->confirmed; }
  base::TimePoint writingSince() const { return this->startedAt; }

  void send(Message message) { this->ready.push_back(std::move(message)); }
  /// Sends the message once `write` is confirmed.
  void sendAfter(std::uint64_t write, Message message);
  /// Drops held acknowledgements of entries that were removed before they became durable.
  void dropAcknowledgements(Index from);

  void startWrite(base::TimePoint now);
  void confirmWrite();
  std::vector<Message> take();

private:
  struct Held {
    std::uint64_t write;
    Message message;
  };

  std::vector<Message> ready;
  std::deque<Held> held;
  std::uint64_t started = 0;
  std::uint64_t confirmed = 0;
  base::TimePoint startedAt{};
};

} // namespace banyanrill::consensus
