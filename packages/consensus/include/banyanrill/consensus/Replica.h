// The replicated log as a state machine without I/O: messages and clock readings in, messages and
// entries to store out.
#pragma once

#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"
#include "banyanrill/consensus/Message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace banyanrill::consensus {

struct ReplicaOptions {
  ReplicaId self = base::NoDaemon;
  /// Many times the 8 ms latency between regions; also limits the idle cost of replication.
  base::Duration heartbeatInterval = std::chrono::milliseconds(250);
  /// Elections start after a uniform delay between the two bounds; failover must stay well below
  /// the 3.6 s within which urgent work starts.
  base::Duration electionTimeoutMin = std::chrono::milliseconds(1000);
  base::Duration electionTimeoutMax = std::chrono::milliseconds(2000);
  std::size_t maxEntriesPerAppend = 256;
  std::size_t maxAppendBytes = 256 * 1024;
  std::size_t maxInFlightAppends = 8;
  std::size_t snapshotChunkBytes = 64 * 1024;
  /// Proposals are refused while this many entries are not committed.
  std::size_t maxUncommittedEntries = 4096;
};

/// What a replica has on disk when it starts.
struct StoredState {
  HardState hardState;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> entries; ///< Contiguous, following the snapshot.
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader, Learner };

/// Confirmation that the state at `index` may answer the read that was requested as `context`.
struct ReadReady {
  std::uint64_t context = 0;
  Index index = 0;

  bool operator==(const ReadReady &) const = default;
};

/// What the caller must do. Order: store `hardState`, `snapshot` and `entries` (an entry whose
/// index exists already replaces it and all that follow), sync, then call `onStored`. `messages`
/// may be sent at once: the replica itself holds back every message that depends on storage that is
/// not yet durable.
struct Output {
  std::vector<Message> messages;
  std::optional<HardState> hardState;
  std::optional<Snapshot> snapshot; ///< Received from the leader: install, then store.
  std::vector<Entry> entries;       ///< To append.
  std::vector<Entry> committed;     ///< To apply, in order, each exactly once.
  std::vector<ReadReady> reads;

  bool mustStore() const { return hardState || snapshot || !entries.empty(); }
};

enum class ProposeResult : std::uint8_t { Accepted, NotLeader, Busy, MembershipChangePending };

/// One member of the group. Not thread-safe: owned by one task.
class Replica {
public:
  /// \param initial membership of a new group; ignored if `stored` holds any state.
  Replica(ReplicaOptions options, Membership initial, StoredState stored, base::RandomSource random,
          base::TimePoint now);
  ~Replica();
  Replica(Replica &&) noexcept;
  Replica &operator=(Replica &&) noexcept;

  /// Advances timers. Call at least every 50 ms.
  void tick(base::TimePoint now);

  /// Handles a message from a peer; messages may be lost, repeated, delayed or reordered.
  void step(const Message &message, base::TimePoint now);

  /// Appends a command if this replica leads. On Accepted, `index` and `term` name the entry; it is
  /// committed if an entry with this index and term is later delivered in `Output::committed`.
  ProposeResult propose(std::string payload, base::TimePoint now, Index &index, Term &term);

  /// Proposes a membership that differs from the current one in one member.
  ProposeResult proposeMembership(Membership membership, base::TimePoint now);

  /// Starts a linearizable read; `ReadReady` with the same context follows while this replica
  /// stays leader. Returns false if it does not lead.
  bool requestRead(std::uint64_t context, base::TimePoint now);

  /// Asks a voter that is up to date to take over leadership, for a graceful stop.
  void transferLeadership(base::TimePoint now);

  /// Takes all pending work. Call after each of the functions above.
  Output takeOutput();

  /// Reports that everything taken up to and including `index` and the last hard state is durable.
  void onStored(Index index, Term term, base::TimePoint now);

  /// Discards entries up to `snapshot.index`, which must be applied; the data is kept to bring
  /// members up to date that are too far behind.
  void compact(Snapshot snapshot);

  Role role() const;
  ReplicaId leader() const; ///< `NoDaemon` if unknown.
  Term term() const;
  Index commitIndex() const;
  Index firstIndex() const; ///< Oldest entry still held.
  Index lastIndex() const;
  const Membership &membership() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::consensus
