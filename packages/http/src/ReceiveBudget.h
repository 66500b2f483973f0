// Budget of the memory and connections that clients hold, for each listener apart.
#pragma once

#include "banyanrill/http/Loop.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace banyanrill::http {

/// Decides which requests are received when clients that are not trusted send more than the process
/// may hold: many large bodies that stop short of their end, large heads, idle connections, answers
/// that nobody reads. Pure: it has no clock, input or output. Not thread-safe.
///
/// A charge that does not fit is made room for by dropping the largest connection that may be
/// dropped, the oldest of equal ones, so that small requests are served beside large ones. A
/// connection that is being served is never dropped.
class ReceiveBudget {
public:
  using ListenerNumber = std::uint16_t;
  using ConnectionNumber = std::uint64_t;

  enum class Phase {
    Waiting,   ///< No whole head has arrived.
    Receiving, ///< The body is not whole, or the request was refused and the rest is discarded.
    Serving    ///< The request was handed on, and its answer is not written.
  };

  enum class Action {
    Take,   ///< The charge is made.
    Refuse, ///< Nothing has changed, and no connection can be dropped to make room.
    Drop    ///< Nothing has changed; end `victim` and ask again.
  };

  struct Decision {
    Action action = Action::Take;
    ConnectionNumber victim = 0;

    bool operator==(const Decision &) const = default;
  };

  /// What one listener holds.
  struct Usage {
    std::size_t bytes = 0;
    std::size_t connections = 0;

    bool operator==(const Usage &) const = default;
  };

  /// A listener without limits has the defaults of `ReceiveLimits`.
  void setLimits(ListenerNumber listener, ReceiveLimits limits);

  /// Adds a connection that has sent nothing. Precondition: the connection is not known.
  Decision open(ListenerNumber listener, ConnectionNumber connection, std::size_t bytes);

  /// Changes the phase of a connection and all that it holds. A change to fewer bytes is always
  /// taken. Precondition: the connection is known.
  Decision change(ConnectionNumber connection, Phase phase, std::size_t bytes);

  /// Gives back all that a connection holds. Ignored if it is not known.
  void close(ConnectionNumber connection);

  bool isKnown(ConnectionNumber connection) const { return this->entries.count(connection) > 0; }
  Usage usage(ListenerNumber listener) const;
  std::size_t heldBytes() const { return this->allBytes; }

private:
  /// Largest first, then oldest.
  using VictimOrder = std::tuple<std::size_t, ConnectionNumber>;
  struct FirstVictim {
    bool operator()(const VictimOrder &left, const VictimOrder &right) const {
      if (std::get<0>(left) != std::get<0>(right))
        return std::get<0>(left) > std::get<0>(right);
      return std::get<1>(left) < std::get<1>(right);
    }
  };

  struct Entry {
    ListenerNumber listener = 0;
    Phase phase = Phase::Waiting;
    std::size_t bytes = 0;
  };

  struct Account {
    ReceiveLimits limits;
    Usage usage;
    std::size_t servedBytes = 0;        ///< The part that cannot be dropped.
    std::set<ConnectionNumber> waiting; ///< Oldest first: numbers ascend.
    std::set<VictimOrder, FirstVictim> droppable;
  };

  void insert(Account &account, ConnectionNumber connection, const Entry &entry);
  void erase(Account &account, ConnectionNumber connection, const Entry &entry);

  std::map<ListenerNumber, Account> accounts;
  std::unordered_map<ConnectionNumber, Entry> entries;
  std::size_t allBytes = 0;
};

} // namespace banyanrill::http
