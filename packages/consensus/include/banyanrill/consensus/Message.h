// Entries of the replicated log and the messages that replicas exchange about it.
#pragma once

#include "banyanrill/base/Identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::consensus {

using ReplicaId = base::DaemonId;
using Term = std::uint64_t;
using Index = std::uint64_t;

enum class EntryKind : std::uint8_t {
  Empty,      ///< Appended by a new leader to commit entries of earlier terms.
  Command,    ///< Payload for the control state.
  Membership, ///< Payload is an encoded `Membership`.
};

struct Entry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::Empty;
  std::string payload;

  bool operator==(const Entry &) const = default;
};

/// Voting and non-voting (learner) members.
struct Membership {
  std::vector<ReplicaId> voters;
  std::vector<ReplicaId> learners;

  bool operator==(const Membership &) const = default;
};

/// What must be durable before any message that depends on it is sent.
struct HardState {
  Term term = 0;
  ReplicaId votedFor = base::NoDaemon;

  bool operator==(const HardState &) const = default;
};

/// State of the machine up to and including `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  bool operator==(const Snapshot &) const = default;
};

enum class MessageKind : std::uint8_t {
  PreVoteRequest,
  PreVoteResponse,
  VoteRequest,
  VoteResponse,
  AppendRequest, ///< Without entries it is a heartbeat.
  AppendResponse,
  SnapshotChunk,
  SnapshotResponse,
  TimeoutNow, ///< Leadership transfer: the receiver starts an election at once.
};

/// One flat message type; fields that a kind does not use keep their defaults.
struct Message {
  MessageKind kind = MessageKind::AppendRequest;
  ReplicaId from = base::NoDaemon;
  ReplicaId to = base::NoDaemon;
  Term term = 0;
  Index logIndex = 0;  ///< Previous index (append), last index (vote), match or hint (response).
  Term logTerm = 0;    ///< Term at `logIndex`.
  Index commit = 0;    ///< Leader's commit index.
  bool reject = false; ///< Responses only.
  std::uint64_t readContext = 0; ///< Round of read index that a heartbeat or its response confirms.
  std::vector<Entry> entries;
  std::optional<Snapshot> snapshot; ///< SnapshotChunk: `data` holds only this chunk.
  std::uint64_t chunkOffset = 0;    ///< Bytes of snapshot data before this chunk.
  bool lastChunk = false;

  bool operator==(const Message &) const = default;
};

/// Returns the bytes of the message's entries and snapshot, which make up nearly all of a large
/// one. Pure and thread-safe.
std::uint64_t payloadBytes(const Message &message);

} // namespace banyanrill::consensus
