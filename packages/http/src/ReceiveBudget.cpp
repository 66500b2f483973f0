#include "ReceiveBudget.h"

#include <cassert>

namespace banyanrill::http {

void ReceiveBudget::setLimits(ListenerNumber listener, ReceiveLimits limits) {
  this->accounts[listener].limits = limits;
}

void ReceiveBudget::insert(Account &account, ConnectionNumber connection, const Entry &entry) {
  account.usage.bytes += entry.bytes;
  ++account.usage.connections;
  this->allBytes += entry.bytes;
  if (entry.phase == Phase::Waiting)
    account.waiting.insert(connection);
  if (entry.phase == Phase::Serving)
    account.servedBytes += entry.bytes;
  else
    account.droppable.emplace(entry.bytes, connection);
}

void ReceiveBudget::erase(Account &account, ConnectionNumber connection, const Entry &entry) {
  assert(account.usage.bytes >= entry.bytes && account.usage.connections > 0);
  account.usage.bytes -= entry.bytes;
  --account.usage.connections;
  this->allBytes -= entry.bytes;
  if (entry.phase == Phase::Waiting)
    account.waiting.erase(connection);
  if (entry.phase == Phase::Serving)
    account.servedBytes -= entry.bytes;
  else
    account.droppable.erase({entry.bytes, connection});
}

ReceiveBudget::Decision ReceiveBudget::open(ListenerNumber listener, ConnectionNumber connection,
                                            std::size_t bytes) {
  assert(!this->isKnown(connection));
  Account &account = this->accounts[listener];
  if (account.servedBytes + bytes > account.limits.memoryBytes)
    return {Action::Refuse};
  const bool isFull = account.usage.connections >= account.limits.connections;
  // An idle connection costs its client least.
  if (isFull && !account.waiting.empty())
    return {Action::Drop, *account.waiting.begin()};
  if (isFull || account.usage.bytes + bytes > account.limits.memoryBytes) {
    if (account.droppable.empty())
      return {Action::Refuse};
    return {Action::Drop, std::get<1>(*account.droppable.begin())};
  }
  const Entry entry{listener, Phase::Waiting, bytes};
  this->entries.emplace(connection, entry);
  this->insert(account, connection, entry);
  return {};
}

ReceiveBudget::Decision ReceiveBudget::change(ConnectionNumber connection, Phase phase,
                                              std::size_t bytes) {
  const auto found = this->entries.find(connection);
  assert(found != this->entries.end());
  Entry &entry = found->second;
  if (entry.phase == phase && entry.bytes == bytes)
    return {};
  Account &account = this->accounts[entry.listener];
  if (bytes > entry.bytes &&
      account.usage.bytes - entry.bytes + bytes > account.limits.memoryBytes) {
    const std::size_t ownServed = entry.phase == Phase::Serving ? entry.bytes : 0;
    if (account.servedBytes - ownServed + bytes > account.limits.memoryBytes)
      return {Action::Refuse}; // Dropping others would not help.
    for (const auto &[size, candidate] : account.droppable) {
      if (candidate == connection)
        continue; // Counted below, with its new size.
      // The connection that asks is the victim itself when it would be the largest.
      if (phase != Phase::Serving && size < bytes)
        break;
      return {Action::Drop, candidate};
    }
    return {Action::Refuse};
  }
  this->erase(account, connection, entry);
  entry.phase = phase;
  entry.bytes = bytes;
  this->insert(account, connection, entry);
  return {};
}

void ReceiveBudget::close(ConnectionNumber connection) {
  const auto found = this->entries.find(connection);
  if (found == this->entries.end())
    return;
  this->erase(this->accounts[found->second.listener], connection, found->second);
  this->entries.erase(found);
}

ReceiveBudget::Usage ReceiveBudget::usage(ListenerNumber listener) const {
  const auto found = this->accounts.find(listener);
  return found == this->accounts.end() ? Usage() : found->second.usage;
}

} // namespace banyanrill::http
