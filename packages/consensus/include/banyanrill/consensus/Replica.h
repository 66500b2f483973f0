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
  /// The same for the first attempts of a replica that has heard of no leader since its start:
  /// after a loss of power of all there is none to wait for, and a leader that exists is not
  /// disturbed, since its followers refuse.
  base::Duration firstElectionTimeoutMin = std::chrono::milliseconds(1000);
  base::Duration firstElectionTimeoutMax = std::chrono::milliseconds(2000);
  std::size_t maxEntriesPerAppend = 256;
  std::size_t maxAppendBytes = std::size_t{256} * 1024;
  std::size_t maxInFlightAppends = 8;
  /// What is in flight to a peer is sent again only after the time that a link of this speed takes
  /// for it: repeating what is still on its way would fill the link with copies.
  std::uint64_t minPeerBytesPerSecond = 1000000;
  std::size_t snapshotChunkBytes = std::size_t{64} * 1024;
  /// Proposals are refused while this many entries are not committed.
  std::size_t maxUncommittedEntries = 4096;
  /// A larger snapshot from a leader is refused, to bound the memory of its assembly.
  std::size_t maxSnapshotBytes = std::size_t{64} * 1024 * 1024;
};

/// What a replica has on disk when it starts.
struct StoredState {
  HardState hardState;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> entries; ///< Contiguous, following the snapshot.
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader, Learner };

/// What the leader knows of another member.
struct PeerProgress {
  ReplicaId id = base::NoDaemon;
  Index match = 0;                  ///< Highest index known to be durable on the peer.
  std::uint64_t snapshotBytes = 0;  ///< Of the snapshot that is being sent; 0: none is.
  std::uint64_t snapshotOffset = 0; ///< Bytes of it that the peer holds.
  std::uint64_t repeats = 0;        ///< Messages sent again in this term, unanswered or rejected.

  bool operator==(const PeerProgress &) const = default;
};

/// Confirmation that the state at `index` may answer the read that was requested as `context`.
struct ReadReady {
  std::uint64_t context = 0;
  Index index = 0;

  bool operator==(const ReadReady &) const = default;
};

/// What the caller must do. Order: store `hardState`, `snapshot` and `entries` (an entry whose
/// index exists already replaces it and all that follow), sync, then call `onStored` with
/// `storedIndex` and `storedTerm`. `messages` may be sent at once: the replica itself holds back
/// every message that depends on storage that is not yet durable. At most one write is outstanding:
/// until `onStored`, later outputs have nothing to store.
struct Output {
  std::vector<Message> messages;
  std::optional<HardState> hardState;
  std::optional<Snapshot> snapshot; ///< Received from the leader: install, then store.
  std::vector<Entry> entries;       ///< To append.
  std::vector<Entry> committed;     ///< Durable here; to apply, in order, each exactly once.
  std::vector<ReadReady> reads;     ///< Answer a read once its index is applied.
  Index storedIndex = 0;            ///< For `onStored`; set if `mustStore()`.
  Term storedTerm = 0;              ///< For `onStored`; set if `mustStore()`.

  bool mustStore() const { return hardState || snapshot || !entries.empty(); }
};

enum class ProposeResult : std::uint8_t {
  Accepted,
  NotLeader,
  Busy,                    ///< Too many uncommitted entries, a handover, or a lagging learner.
  MembershipChangePending, ///< The previous membership is not committed.
  Invalid,                 ///< The membership differs in more than one member, or adds a voter.
};

/// One member of the group. Not thread-safe: owned by one task.
class Replica {
public:
  /// \param initial membership of a new group; used until the log or a snapshot holds a membership.
  /// A replica that joins an existing group starts with an empty one.
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

  /// Proposes a membership that differs from the current one in one member: a new learner, a
  /// removed member, a promoted learner or a demoted voter. Returns Busy until the leader has
  /// committed an entry of its own term.
  ProposeResult proposeMembership(const Membership &membership, base::TimePoint now);

  /// Starts a linearizable read; `ReadReady` with the same context follows while this replica
  /// stays leader. Returns false if it does not lead.
  bool requestRead(std::uint64_t context, base::TimePoint now);

  /// Asks a voter that is up to date to take over leadership, for a graceful stop.
  void transferLeadership(base::TimePoint now);

  /// Takes all pending work. Call after each of the functions above.
  Output takeOutput();

  /// Reports that everything to store in the last output that had any is durable. `index` and
  /// `term` are that output's `storedIndex` and `storedTerm`. Precondition: not reported before.
  void onStored(Index index, Term term, base::TimePoint now);

  /// Reports that a message to the peer has certainly or probably not arrived. What is in flight to
  /// it is sent again with the next heartbeat.
  void onUndelivered(ReplicaId to);

  /// Discards entries up to `snapshot.index`, which must be applied; the data is kept to bring
  /// members up to date that are too far behind. Preconditions: the snapshot is durable, and its
  /// membership is `membershipAt(snapshot.index)`. An older snapshot than the last is ignored.
  void compact(Snapshot snapshot);

  Role role() const;
  ReplicaId leader() const; ///< `NoDaemon` if unknown.
  Term term() const;
  Index commitIndex() const;
  Index firstIndex() const; ///< Oldest entry still held.
  Index lastIndex() const;
  /// The latest in the log, which is in force even before it is committed.
  const Membership &membership() const;
  /// Learners that `proposeMembership` would accept as voters now; empty unless this replica leads.
  std::vector<ReplicaId> caughtUpLearners() const;
  /// Members that would not count as caught up; empty unless this replica leads.
  std::vector<PeerProgress> laggingPeers() const;
  /// Membership in force at `index`, not before the last snapshot.
  const Membership &membershipAt(Index index) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::consensus
