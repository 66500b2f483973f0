// Sends commands to the leader, wherever it is, until their result is known or the deadline passes.
#pragma once

#include "banyanrill/daemon/Action.h"

#include <functional>
#include <map>
#include <optional>

namespace banyanrill::daemon {

enum class ProposalEnd : std::uint8_t {
  Applied,
  NeverSent, ///< No leader was known; the command was certainly not applied.
  Unknown,   ///< The deadline passed; the command may have been applied or may still be.
};

/// Any daemon's side of proposals. Not thread-safe: part of the core task.
class Proposals {
public:
  using Done = std::function<void(ProposalEnd, const control::Result &)>;

  explicit Proposals(Context &context);

  /// \param leader daemon thought to lead, or `NoDaemon`.
  /// \param done called exactly once, from this call or a later one.
  void submit(control::Command command, base::DaemonId leader, base::TimePoint deadline, Done done);

  void onResult(const wire::ProposeResult &result);

  /// Sends again what has had no answer, and ends what is past its deadline.
  void tick(base::DaemonId leader);

private:
  struct Pending {
    control::Command command;
    base::TimePoint deadline;
    base::TimePoint lastSent;
    Done done;
  };

  void send(std::uint64_t id, Pending &pending, base::DaemonId leader);

  Context &context;
  std::map<std::uint64_t, Pending> pending;
  std::uint64_t lastId; ///< Starts at random, so that answers to an earlier run match nothing.
};

} // namespace banyanrill::daemon
