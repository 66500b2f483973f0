#include "banyanrill/base/LatencyHistogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <sstream>
#include <vector>

namespace banyanrill::base {

namespace {

using Axis = boost::histogram::axis::variable<double>;

/// Ends of the ranges in seconds.
const std::vector<double> Bounds = {0,    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                    0.25, 0.5,   1,      2.5,   5,    10,    30,   60};

auto makeCounts() { return boost::histogram::make_histogram(Axis(Bounds)); }

} // namespace

struct LatencyHistogram::State {
  decltype(makeCounts()) counts = makeCounts();
  double sum = 0;
};

LatencyHistogram::LatencyHistogram() : state(std::make_unique<State>()) {}
LatencyHistogram::LatencyHistogram(LatencyHistogram &&other) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&other) noexcept = default;
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::note(Duration duration) {
  const double seconds = std::max(std::chrono::duration<double>(duration).count(), 0.0);
  this->state->counts(seconds);
  this->state->sum += seconds;
}

std::string LatencyHistogram::text(const std::string &name, const std::string &labels) const {
  std::ostringstream out;
  const std::string separator = labels.empty() ? "" : ",";
  const std::string braces = labels.empty() ? "" : '{' + labels + '}';
  double total = 0;
  for (auto &&range : boost::histogram::indexed(this->state->counts)) {
    total += static_cast<double>(*range);
    out << name << "_bucket{" << labels << separator << "le=\"" << range.bin().upper() << "\"} "
        << total << '\n';
  }
  const int overflow = this->state->counts.axis().size();
  total += static_cast<double>(this->state->counts.at(overflow));
  out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << total << '\n';
  out << name << "_sum" << braces << ' ' << this->state->sum << '\n';
  out << name << "_count" << braces << ' ' << total << '\n';
  return out.str();
}

} // namespace banyanrill::base
