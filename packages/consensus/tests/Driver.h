// Drives one replica by hand, with explicit control over what is stored.
#pragma once

#include "banyanrill/consensus/Replica.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace banyanrill::consensus::testing {

class Driver {
public:
  /// Replica 1 of the voters 1, 2 and 3.
  explicit Driver(StoredState stored = {})
      : replica(options(), {{1, 2, 3}, {}}, std::move(stored), base::RandomSource(1), {}) {}

  static ReplicaOptions options() {
    ReplicaOptions options;
    options.self = 1;
    options.maxEntriesPerAppend = 2;
    options.maxInFlightAppends = 3;
    options.maxUncommittedEntries = 8;
    options.maxSnapshotBytes = 8;
    return options;
  }

  void wait(std::chrono::milliseconds duration) {
    this->now += duration;
    this->replica.tick(this->now);
  }
  void receive(Message message) {
    message.to = 1;
    this->replica.step(message, this->now);
  }
  void receive(MessageKind kind, ReplicaId from, Term term, Index index = 0, Term logTerm = 0) {
    Message message;
    message.kind = kind;
    message.from = from;
    message.term = term;
    message.logIndex = index;
    message.logTerm = logTerm;
    this->receive(std::move(message));
  }
  /// Takes output and confirms nothing.
  Output take() { return this->replica.takeOutput(); }
  void stored(const Output &output) {
    this->replica.onStored(output.storedIndex, output.storedTerm, this->now);
  }
  /// Takes output and confirms it, until nothing is left. Returns the messages.
  std::vector<Message> settle() {
    std::vector<Message> messages;
    for (bool more = true; more;) {
      const Output output = this->take();
      messages.insert(messages.end(), output.messages.begin(), output.messages.end());
      this->committed.insert(this->committed.end(), output.committed.begin(),
                             output.committed.end());
      this->reads.insert(this->reads.end(), output.reads.begin(), output.reads.end());
      more = output.mustStore();
      if (more) {
        this->stored(output);
      }
    }
    return messages;
  }
  /// Wins the election of the next term with the vote of replica 2.
  void lead() {
    this->wait(std::chrono::milliseconds(2000));
    const Term next = this->replica.term() + 1;
    this->receive(MessageKind::PreVoteResponse, 2, next);
    this->settle();
    this->receive(MessageKind::VoteResponse, 2, next);
  }
  ProposeResult propose() {
    Index index = 0;
    Term term = 0;
    return this->replica.propose("command", this->now, index, term);
  }

  base::TimePoint now{};
  Replica replica;
  std::vector<Entry> committed;
  std::vector<ReadReady> reads;
};

inline std::size_t countOf(const std::vector<Message> &messages, MessageKind kind) {
  return static_cast<std::size_t>(
      std::count_if(messages.begin(), messages.end(),
                    [kind](const Message &message) { return message.kind == kind; }));
}

/// Log 1..count in term 1.
inline StoredState storedLog(Index count) {
  StoredState stored;
  stored.hardState.term = 1;
  for (Index index = 1; index <= count; ++index) {
    stored.entries.push_back({index, 1, EntryKind::Command, "old"});
  }
  return stored;
}

} // namespace banyanrill::consensus::testing
