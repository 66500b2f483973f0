// Injected source of randomness, so that any run can be replayed from its seed.
#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace banyanrill::base {

/// Seeded generator. Not thread-safe: each task owns one.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t seed) : engine(seed) {}

  /// Uniform in [0, bound). Precondition: bound > 0.
  std::uint64_t below(std::uint64_t bound) {
    assert(bound > 0);
    return this->engine() % bound;
  }

  /// Uniform 64 bits.
  std::uint64_t next() { return this->engine(); }

  /// Uniform in [0, 1).
  double unit() { return static_cast<double>(this->engine() >> 11) * 0x1.0p-53; }

private:
  std::mt19937_64 engine;
};

} // namespace banyanrill::base
