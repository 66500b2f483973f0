// Claims on requests that may not be repeated. Part of the replicated control state.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/Identifier.h"
#include "banyanrill/base/Verdict.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace banyanrill::routing {

/// Who holds a claim: one request on one run of one daemon.
struct ClaimHolder {
  base::DaemonId daemon = base::NoDaemon;
  std::string requestId; ///< 128 random bits, so that no two requests share it.

  bool operator==(const ClaimHolder &) const = default;
};

/// Answer of an upstream, kept for resends. Bodies over the limit are dropped.
struct RecordedOutcome {
  base::Verdict verdict = base::Verdict::Ran;
  int status = 0;
  std::string contentType;
  std::string body;
  bool bodyKept = true;

  bool operator==(const RecordedOutcome &) const = default;
};

enum class ClaimState : std::uint8_t {
  Granted,    ///< This holder may dispatch, once.
  InProgress, ///< Another holder has it.
  Done,       ///< `outcome` is the answer.
  Mismatch,   ///< The key was used with another body.
  TableFull,  ///< Bound reached: refused, did not run.
};

struct ClaimResult {
  ClaimState state = ClaimState::InProgress;
  ClaimHolder holder;
  std::optional<RecordedOutcome> outcome;

  bool operator==(const ClaimResult &) const = default;
};

struct ClaimLimits {
  /// Non-repeatable requests of the retention time at 50 a second.
  std::size_t claims = 32768;
  /// With the number of claims this bounds the table to about 40 MB, a third of a daemon's memory.
  std::size_t bodyBytes = 1024;
  /// Callers resend for minutes at most; ten minutes cover a region cut and a manual retry.
  std::int64_t retentionMs = std::int64_t{10} * 60 * 1000;
};

/// Deterministic: time is the log's own clock (milliseconds in the entries, never decreasing), not
/// the machine's. Not thread-safe.
class ClaimTable {
public:
  explicit ClaimTable(ClaimLimits limits = {});
  ~ClaimTable();
  ClaimTable(ClaimTable &&) noexcept;
  ClaimTable &operator=(ClaimTable &&) noexcept;

  /// Claims a key, or reports who holds it. Repeating the call with the same holder returns Granted
  /// again while the claim is open.
  /// \param key team, service, operation and the caller's idempotency key.
  /// \param digest digest of the body.
  ClaimResult claim(const std::string &key, const std::string &digest, const ClaimHolder &holder,
                    std::int64_t logTimeMs);

  /// Records the outcome if `holder` has the claim; returns whether it had. A repeated call of the
  /// same holder returns true and keeps the first outcome.
  bool complete(const std::string &key, const ClaimHolder &holder, RecordedOutcome outcome,
                std::int64_t logTimeMs);

  /// Gives the claim up after nothing was dispatched; returns whether `holder` had it.
  bool release(const std::string &key, const ClaimHolder &holder);

  /// Drops claims whose retention has passed. Open claims are kept for the retention time since
  /// they were made.
  void expire(std::int64_t logTimeMs);

  std::size_t size() const;
  std::string save() const;
  base::Status load(const std::string &saved); ///< Errors: DataCorrupted; then nothing changes.

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::routing
