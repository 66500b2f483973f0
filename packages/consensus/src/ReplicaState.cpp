#include "ReplicaState.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace banyanrill::consensus {

namespace {

// A crash can leave a received snapshot durable while entries that it replaces are still stored.
// They have lower terms, because every entry that really follows the snapshot has its term or more.
std::vector<Entry> entriesAfter(const std::optional<Snapshot> &snapshot,
                                std::vector<Entry> stored) {
  std::vector<Entry> result;
  Index last = snapshot ? snapshot->index : 0;
  const Term term = snapshot ? snapshot->term : 0;
  for (Entry &entry : stored) {
    if (entry.index <= last) {
      continue;
    }
    if (entry.index != last + 1 || entry.term < term) {
      break;
    }
    ++last;
    result.push_back(std::move(entry));
  }
  return result;
}

MembershipHistory historyOf(Membership initial, const StoredState &stored) {
  MembershipHistory history(std::move(initial));
  if (stored.snapshot) {
    history.install(stored.snapshot->index, stored.snapshot->membership);
  }
  return history;
}

Log logOf(StoredState &stored) {
  std::vector<Entry> entries = entriesAfter(stored.snapshot, std::move(stored.entries));
  return {stored.snapshot ? stored.snapshot->index : 0, stored.snapshot ? stored.snapshot->term : 0,
          std::move(entries)};
}

} // namespace

ReplicaState::ReplicaState(ReplicaOptions replicaOptions, Membership initial, StoredState stored,
                           base::RandomSource source, base::TimePoint start)
    : options(replicaOptions), random(source), now(start), log(logOf(stored)),
      memberships(historyOf(std::move(initial), stored)), hardState(stored.hardState),
      assembly(replicaOptions.maxSnapshotBytes) {
  assert(this->options.self != base::NoDaemon);
  assert(this->options.electionTimeoutMin > this->options.heartbeatInterval);
  assert(this->options.electionTimeoutMax > this->options.electionTimeoutMin);
  assert(this->options.firstElectionTimeoutMax > this->options.firstElectionTimeoutMin);
  if (stored.snapshot) {
    this->snapshot = std::make_shared<const Snapshot>(std::move(*stored.snapshot));
  }
  for (Index index = this->log.firstIndex(); index <= this->log.lastIndex(); ++index) {
    const Entry &entry = this->log.at(index);
    if (entry.kind == EntryKind::Membership) {
      this->memberships.append(index, decodeMembership(entry.payload).value());
    }
  }
  resetElectionDeadline(*this);
}

bool selfIsVoter(const ReplicaState &state) {
  return isVoter(state.memberships.current(), state.options.self);
}

bool isMajority(const ReplicaState &state, const std::set<ReplicaId> &ids) {
  const std::vector<ReplicaId> &voters = state.memberships.current().voters;
  const auto count = std::count_if(voters.begin(), voters.end(),
                                   [&ids](ReplicaId id) { return ids.count(id) != 0; });
  return static_cast<std::size_t>(count) > voters.size() / 2;
}

Message makeMessage(const ReplicaState &state, MessageKind kind, ReplicaId to) {
  Message message;
  message.kind = kind;
  message.from = state.options.self;
  message.to = to;
  message.term = state.hardState.term;
  return message;
}

void setHardState(ReplicaState &state, HardState hardState) {
  const HardState &current = state.hardState;
  assert(hardState.term >= current.term && "the term must never decrease");
  assert((hardState.term > current.term || current.votedFor == base::NoDaemon ||
          current.votedFor == hardState.votedFor) &&
         "a vote must never change within a term");
  if (hardState == current) {
    return;
  }
  state.hardState = hardState;
  state.hardStateChanged = true;
  state.hardStateWrite = state.outbox.nextWrite();
}

void sendAfterHardState(ReplicaState &state, Message message) {
  state.outbox.sendAfter(state.hardStateWrite, std::move(message));
}

void sendAcknowledgement(ReplicaState &state, ReplicaId to, Index match,
                         std::uint64_t readContext) {
  Message response = makeMessage(state, MessageKind::AppendResponse, to);
  response.logIndex = match;
  response.readContext = readContext;
  std::uint64_t write = state.hardStateWrite;
  if (match > state.log.durableIndex()) {
    write = std::max(write, match <= state.log.writingIndex() ? state.outbox.lastStarted()
                                                              : state.outbox.nextWrite());
  }
  state.outbox.sendAfter(write, std::move(response));
}

void resetElectionDeadline(ReplicaState &state) {
  // On a network slower than the short timeouts no early vote would ever be complete.
  constexpr std::uint32_t MaxEarlyPreVotes = 8;
  const ReplicaOptions &options = state.options;
  const bool isEarly = !state.hasHeardLeader && state.earlyPreVotes < MaxEarlyPreVotes;
  const base::Duration least =
      isEarly ? options.firstElectionTimeoutMin : options.electionTimeoutMin;
  const base::Duration most =
      isEarly ? options.firstElectionTimeoutMax : options.electionTimeoutMax;
  const auto extra = state.random.below(static_cast<std::uint64_t>((most - least).count()));
  state.electionDeadline =
      state.now + least + base::Duration(static_cast<base::Duration::rep>(extra));
}

void becomeFollower(ReplicaState &state, Term term, ReplicaId leader) {
  if (term > state.hardState.term) {
    setHardState(state, {term, base::NoDaemon});
  }
  assert(term == state.hardState.term);
  state.role = Role::Follower;
  state.leader = leader;
  state.votes.clear();
  state.peers.clear();
  state.pendingReads.clear();
  state.transfer.reset();
  state.heartbeatWanted = false;
  resetElectionDeadline(state);
}

void appendEntry(ReplicaState &state, Entry entry) {
  if (entry.kind == EntryKind::Membership) {
    state.memberships.append(entry.index, decodeMembership(entry.payload).value());
  }
  state.log.append(std::move(entry));
}

void truncateLog(ReplicaState &state, Index from) {
  assert(state.role != Role::Leader && "a leader only appends");
  state.log.truncate(from);
  state.memberships.truncate(from);
  state.outbox.dropAcknowledgements(from);
}

} // namespace banyanrill::consensus
