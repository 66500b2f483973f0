// Exact accounting of one worker's capacity. Its owner reserves here for tasks and requests.
#pragma once

#include "banyanrill/base/Resources.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace banyanrill::placement {

/// Reservations by holder. A reservation is made before the start is sent and released when the
/// stop is confirmed, so starts and stops in flight are counted. Not thread-safe.
class Ledger {
public:
  explicit Ledger(base::Resources capacity);

  /// Reserves `demand` for a new holder. Returns false, and changes nothing, if it does not fit or
  /// the holder already has a reservation. Precondition: `demand.isValid()`.
  bool reserve(const std::string &holder, const base::Resources &demand);

  /// Records what the worker reports as already running, even beyond its capacity. Replaces an
  /// earlier reservation of the holder.
  void adopt(const std::string &holder, const base::Resources &demand);

  /// Returns false if the holder has no reservation.
  bool release(const std::string &holder);

  /// A worker may return with less capacity; `free()` is then negative until enough is released.
  void setCapacity(base::Resources value);

  std::optional<base::Resources> reservation(const std::string &holder) const;
  base::Resources capacity() const;
  base::Resources used() const;
  base::Resources free() const;
  std::size_t holders() const;

private:
  base::Resources total;
  base::Resources taken;
  std::unordered_map<std::string, base::Resources> reservations;
};

} // namespace banyanrill::placement
