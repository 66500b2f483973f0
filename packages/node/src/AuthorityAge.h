// Bounds how old the leader's proof of its leadership may be when it answers a request with a key,
// so that a former leader stops accepting withdrawn keys in time.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>
#include <optional>

namespace banyanrill::node {

enum class Authority : std::uint8_t {
  Allowed,
  ConfirmFirst, ///< The last proof is too old: wait for a confirmation round.
  BeginRound,   ///< Allowed; a round should begin now, so that later requests need not wait.
};

/// Pure. Times are readings of a clock that counts suspension. Not thread-safe: owned by the node's
/// task.
///
/// A proof that was begun at most `maxAge` ago means: any withdrawal that another leader
/// acknowledged came later than that, so a request that arrived by now was sent at most `maxAge`
/// after it.
class AuthorityAge {
public:
  explicit AuthorityAge(base::Duration longest) : maxAge(longest) {}

  /// Whether a request with a key may be answered with success now.
  Authority check(base::Duration now) const {
    if (!this->provenAt || now - *this->provenAt > this->maxAge)
      return Authority::ConfirmFirst;
    // Half of the age is left for the round; a round takes a round trip to a quorum.
    const bool isDue = now - *this->provenAt > this->maxAge / 2 && !this->roundOpen;
    return isDue ? Authority::BeginRound : Authority::Allowed;
  }

  /// Whether a round that began after the `earlier`th has succeeded. A refusal needs that for the
  /// number of rounds at its request's arrival: a former leader must not refuse a newer key.
  bool hasConfirmedRoundAfter(std::uint64_t earlier) const {
    return this->confirmedRound > earlier;
  }

  std::uint64_t roundsBegun() const { return this->rounds; }
  bool isRoundOpen() const { return this->roundOpen; }

  /// A confirmation round begins. Returns its number. Precondition: no round is open.
  std::uint64_t beginRound(base::Duration now) {
    this->roundOpen = true;
    this->roundBegan = now;
    return ++this->rounds;
  }

  /// Returns false if the round is of an earlier leadership, and changes nothing then.
  bool endRound(std::uint64_t round, bool confirmed) {
    if (!this->roundOpen || round != this->rounds)
      return false;
    if (confirmed) {
      this->onProof(this->roundBegan);
      this->confirmedRound = round;
    }
    this->roundOpen = false;
    return true;
  }

  /// This node certainly led at `time`.
  void onProof(base::Duration time) {
    if (!this->provenAt || *this->provenAt < time)
      this->provenAt = time;
  }

  /// A leadership begins or ends: nothing is proven, and an open round no longer counts.
  void reset() {
    this->provenAt.reset();
    this->roundOpen = false;
  }

private:
  base::Duration maxAge;
  std::optional<base::Duration> provenAt;
  bool roundOpen = false;
  base::Duration roundBegan{}; ///< Of the last round.
  std::uint64_t rounds = 0;
  std::uint64_t confirmedRound = 0;
};

} // namespace banyanrill::node
