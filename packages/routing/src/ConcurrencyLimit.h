// Adaptive limit of requests in progress on one instance, from the latency gradient.
#pragma once

#include "banyanrill/base/Time.h"

#include <cstdint>

namespace banyanrill::routing {

/// Shrinks when the recent latency exceeds the usual one by more than a tolerance, and grows back
/// otherwise. Never exceeds the ceiling, never falls below one. Not thread-safe.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(std::int32_t initialCeiling);

  /// Slots and connections that the instance announces now; a higher ceiling is used at once.
  void setCeiling(std::int32_t value);

  /// \param inProgress requests in progress, this one included.
  void onSuccess(base::Duration latency, std::int32_t inProgress);
  void onFailure();

  /// Current limit; zero only if the ceiling is.
  std::int32_t value() const;

private:
  std::int32_t ceiling;
  double limit;
  double recent = 0; ///< Latency in microseconds, fast average.
  double usual = 0;  ///< Latency in microseconds, slow average.
};

} // namespace banyanrill::routing
