// Amounts of the three resources that a worker offers and a task or request takes.
#pragma once

#include <compare>
#include <cstdint>

namespace banyanrill::base {

/// Processors in thousandths of a core, memory in MiB, accelerators in whole units.
struct Resources {
  std::int64_t millicores = 0;
  std::int64_t memoryMib = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources &) const = default;

  Resources operator+(const Resources &other) const {
    return {this->millicores + other.millicores, this->memoryMib + other.memoryMib,
            this->accelerators + other.accelerators};
  }
  Resources operator-(const Resources &other) const {
    return {this->millicores - other.millicores, this->memoryMib - other.memoryMib,
            this->accelerators - other.accelerators};
  }
  Resources operator*(std::int64_t factor) const {
    return {this->millicores * factor, this->memoryMib * factor, this->accelerators * factor};
  }

  /// True if every amount is at most the one of `capacity`.
  bool fitsIn(const Resources &capacity) const {
    return this->millicores <= capacity.millicores && this->memoryMib <= capacity.memoryMib &&
           this->accelerators <= capacity.accelerators;
  }

  /// True if no amount is negative.
  bool isValid() const {
    return this->millicores >= 0 && this->memoryMib >= 0 && this->accelerators >= 0;
  }
};

} // namespace banyanrill::base
