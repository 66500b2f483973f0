#include "banyanrill/placement/Ledger.h"

#include <cassert>

namespace banyanrill::placement {

using base::Resources;

Ledger::Ledger(Resources capacity) : total(capacity) { assert(capacity.isValid()); }

bool Ledger::reserve(const std::string &holder, const Resources &demand) {
  assert(demand.isValid());
  if (this->reservations.count(holder) != 0 || !demand.fitsIn(this->free()))
    return false;
  this->adopt(holder, demand);
  return true;
}

void Ledger::adopt(const std::string &holder, const Resources &demand) {
  this->release(holder);
  this->reservations.emplace(holder, demand);
  this->taken = this->taken + demand;
}

bool Ledger::release(const std::string &holder) {
  const auto found = this->reservations.find(holder);
  if (found == this->reservations.end())
    return false;
  this->taken = this->taken - found->second;
  this->reservations.erase(found);
  assert(this->taken.isValid());
  return true;
}

void Ledger::setCapacity(Resources value) {
  assert(value.isValid());
  this->total = value;
}

std::optional<Resources> Ledger::reservation(const std::string &holder) const {
  const auto found = this->reservations.find(holder);
  if (found == this->reservations.end())
    return std::nullopt;
  return found->second;
}

Resources Ledger::capacity() const { return this->total; }
Resources Ledger::used() const { return this->taken; }
Resources Ledger::free() const { return this->total - this->taken; }
std::size_t Ledger::holders() const { return this->reservations.size(); }

} // namespace banyanrill::placement
