// The keys of a soak's callers: two workspaces, one of which has a limit and keys that are
// withdrawn while requests run.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace banyanrill::soak {

/// A withdrawn key may be accepted for this long after its withdrawal was acknowledged.
constexpr std::chrono::milliseconds RevocationTime(2000);

/// Jobs of the workspace with a limit have identifiers that begin with this character, jobs of the
/// other workspace with the second one.
constexpr char LimitedPrefix = 'a';
constexpr char UnlimitedPrefix = 'b';

/// Tasks of the workspace with a limit that may run at the same time, and the processors of each.
constexpr std::size_t LimitedTasks = 4;
constexpr std::uint64_t TaskMillicores = 500;

/// Not thread-safe, except for `keyOf` while no other member is called.
class Keys {
public:
  using Clock = std::chrono::steady_clock;

  /// Returns the workspaces of the next configuration, with a new key of the limited one if
  /// `replaces`.
  nlohmann::json nextWorkspaces(bool replaces);

  /// The configuration with the workspaces returned last was acknowledged.
  void onAcknowledged(Clock::time_point now);

  /// Returns the acknowledged key of a job's workspace.
  const std::string &keyOf(const std::string &job) const;

  /// Whether `keyOf` the job has been acknowledged for a time and no later change may have replaced
  /// it.
  bool isSettled(const std::string &job, Clock::time_point now,
                 std::chrono::milliseconds time) const;

  /// Returns a withdrawn key, if there is one.
  std::optional<std::string> withdrawn(std::uint64_t choice) const;

  /// Whether a request that was sent at this time must not succeed with the key.
  bool mustBeRefused(const std::string &key, Clock::time_point sent) const;

private:
  std::uint64_t lastKey = 0;
  std::string acknowledged; ///< Of the limited workspace.
  std::string offered;      ///< In the last configuration that was sent.
  Clock::time_point acknowledgedAt;
  std::string unlimited = "unlimited-key";
  std::map<std::string, std::optional<Clock::time_point>> replaced; ///< With their withdrawals.
};

} // namespace banyanrill::soak
