// Counts of durations in fixed ranges, written in the text format of Prometheus.
#pragma once

#include "banyanrill/base/Time.h"

#include <memory>
#include <string>

namespace banyanrill::base {

/// Ranges end at 1 ms to 60 s; longer durations have a range of their own. Not thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();
  LatencyHistogram(LatencyHistogram &&other) noexcept;
  LatencyHistogram &operator=(LatencyHistogram &&other) noexcept;
  ~LatencyHistogram();

  /// A negative duration counts as zero.
  void note(Duration duration);

  /// Lines `name_bucket`, `name_sum` and `name_count`, in seconds. `labels` is written as it is,
  /// without braces, for example `request="read_state"`; it may be empty.
  std::string text(const std::string &name, const std::string &labels) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::base
