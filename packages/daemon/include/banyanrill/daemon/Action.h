// Events that the core task handles and actions that it asks other tasks to take.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"
#include "banyanrill/consensus/Replica.h"
#include "banyanrill/daemon/Config.h"
#include "banyanrill/http/Loop.h"
#include "banyanrill/wire/Message.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace banyanrill::daemon {

/// Identifies a call to an upstream or to another daemon's HTTP interface, chosen by the core.
using CallToken = std::uint64_t;

struct SendMessage {
  base::DaemonId to = base::NoDaemon;
  wire::Body body;
};

struct RespondExchange {
  http::ExchangeId exchange = 0;
  http::Response response;
};

struct StartCall {
  CallToken token = 0;
  http::Call call;
};

/// Number of the first opening of a data folder by a process.
inline constexpr std::uint64_t FirstOpening = 1;

/// Make durable, then report `StorageDone` with the same index and term if `confirm` is set.
/// Without it, the batch is a snapshot of the replica's own, which may be skipped.
struct StoreBatch {
  std::optional<consensus::HardState> hardState;
  std::optional<consensus::Snapshot> snapshot;
  std::vector<consensus::Entry> entries;
  consensus::Index index = 0;
  consensus::Term term = 0;
  bool confirm = false;
  /// The opening of the folder on whose state the batch builds; dropped in any later one.
  std::uint64_t opening = FirstOpening;
};

using Action = std::variant<SendMessage, RespondExchange, StartCall, StoreBatch>;

struct PeerEvent {
  wire::Envelope envelope;
};

struct RequestEvent {
  http::ExchangeId exchange = 0;
  http::Request request;
};

struct DisconnectEvent {
  http::ExchangeId exchange = 0;
};

struct CallEvent {
  CallToken token = 0;
  http::CallResult result;
};

struct StorageDone {
  consensus::Index index = 0;
  consensus::Term term = 0;
  std::uint64_t opening = FirstOpening; ///< Of the batch.
};

/// The folder refuses writes or cannot be opened. What was posted and not reported as done may be
/// durable or not; nothing is written until `StorageOpened`.
struct StorageFailed {
  std::string reason;
};

/// The folder is open again; `stored` is all that is durable.
struct StorageOpened {
  std::uint64_t opening = FirstOpening;
  consensus::StoredState stored;
};

/// SIGTERM was received.
struct StopEvent {};

using CoreEvent = std::variant<PeerEvent, RequestEvent, DisconnectEvent, CallEvent, StorageDone,
                               StorageFailed, StorageOpened, StopEvent>;

/// What the parts of the core share. Only the core task uses it.
struct Context {
  const Config &config;
  base::TimePoint now;
  std::int64_t wallClockMs = 0;
  base::RandomSource random;
  std::vector<Action> actions;
  CallToken lastToken = 0;

  base::DaemonId self() const { return this->config.daemon; }

  void send(base::DaemonId to, wire::Body body) {
    this->actions.push_back(SendMessage{to, std::move(body)});
  }
  void respond(http::ExchangeId exchange, http::Response response) {
    this->actions.push_back(RespondExchange{exchange, std::move(response)});
  }
  CallToken call(http::Call call) {
    this->actions.push_back(StartCall{++this->lastToken, std::move(call)});
    return this->lastToken;
  }
};

} // namespace banyanrill::daemon
