// Orders that the leader gives to workers and to the advisory service, and their answers.
#pragma once

#include "banyanrill/base/Identifier.h"
#include "banyanrill/jobs/Command.h"

#include <compare>
#include <functional>
#include <variant>

namespace banyanrill::jobs {

/// Correlates an answer with its order. Never reused: calls outlive the term in which they were
/// made, and a daemon may lead again before their answers come.
struct OrderId {
  std::uint64_t term = 0;   ///< Of the leader that gave the order.
  std::uint64_t number = 0; ///< Within the term.

  auto operator<=>(const OrderId &) const = default;
  bool operator==(const OrderId &) const = default;
};

/// The worker that an order is meant for, and the fencing token of the leader's session with this
/// incarnation of it.
struct OrderTarget {
  std::string worker;
  std::string address; ///< host:port
  std::uint64_t fencingToken = 0;

  bool operator==(const OrderTarget &) const = default;
};

struct StartOrder {
  OrderId id;
  OrderTarget target;
  RunKey run;
  std::string taskSpec;
  std::int64_t leaseUntilMs = 0; ///< On the worker's clock.
  std::string checkpoint;
  std::string ticket;

  bool operator==(const StartOrder &) const = default;
};

struct StopOrder {
  OrderId id;
  OrderTarget target;
  RunKey run;

  bool operator==(const StopOrder &) const = default;
};

/// Renews the lease of all tasks on a worker and asks for its running and ended tasks.
struct RenewLeaseOrder {
  OrderId id;
  OrderTarget target;
  std::optional<std::int64_t> leaseUntilMs; ///< On the worker's clock.
  std::uint64_t recordedEnds = 0;
  std::int64_t waitMs = 0; ///< The answer waits this long for an end.

  bool operator==(const RenewLeaseOrder &) const = default;
};

/// Limits the share of its processors that a running task may use.
struct ThrottleOrder {
  OrderId id;
  OrderTarget target;
  RunKey run;
  std::uint32_t percent = 100;

  bool operator==(const ThrottleOrder &) const = default;
};

/// Asks the advisory service, through one daemon, which of these workers may run a step.
struct AdviceOrder {
  OrderId id;
  base::DaemonId daemon = base::NoDaemon;
  StepKey step;
  std::vector<std::string> workers;
  std::int64_t expectedMs = 0; ///< Expected duration of the call.
};

enum class OrderOutcome : std::uint8_t {
  Accepted,
  Fenced,       ///< The worker has seen a higher fencing token.
  OldRun,       ///< This run or a later run of the task has already ended on the worker.
  LeaseTooLate, ///< The lease had expired on the worker's clock.
  NoRoom,
  TicketInvalid,
  Unhealthy,        ///< The worker did nothing.
  Invalid,          ///< The worker did not understand the order.
  OtherIncarnation, ///< Another worker incarnation answers at this address.
  NotSent,          ///< Certainly did not reach the worker.
  NoAnswer,         ///< May have been executed or may still be.
};

std::string_view nameOf(OrderOutcome outcome);

/// Answer to a start, a stop or a pace order.
struct OrderAnswer {
  OrderOutcome outcome = OrderOutcome::NoAnswer;
  std::optional<std::int64_t> clockMs; ///< The worker's steady clock.

  bool operator==(const OrderAnswer &) const = default;
};

struct RunningTask {
  RunKey run;
  std::string checkpoint;
  std::uint32_t percent = 0;
  std::int64_t load =
      0; ///< Tail of response times in ms if the task serves, else millicores in use.

  bool operator==(const RunningTask &) const = default;
};

struct RenewLeaseAnswer {
  OrderOutcome outcome = OrderOutcome::NoAnswer;
  std::optional<std::int64_t> clockMs;
  std::optional<std::int64_t> startTimeMs;
  std::vector<RunningTask> running;
  std::vector<TaskEnd> ended;

  bool operator==(const RenewLeaseAnswer &) const = default;
};

/// Workers that may run the step, each with the ticket that a start must carry.
struct AdviceAnswer {
  bool answered = false;
  std::vector<std::pair<std::string, std::string>> tickets;

  bool operator==(const AdviceAnswer &) const = default;
};

/// Orders to a worker, and its answers.
using WorkerOrder = std::variant<StartOrder, StopOrder, RenewLeaseOrder, ThrottleOrder>;
using WorkerAnswer = std::variant<OrderAnswer, RenewLeaseAnswer>;

using Action =
    std::variant<StartOrder, StopOrder, RenewLeaseOrder, ThrottleOrder, AdviceOrder, Command>;

} // namespace banyanrill::jobs

/// The number alone spreads well: orders of two terms rarely meet in one table.
template <> struct std::hash<banyanrill::jobs::OrderId> {
  std::size_t operator()(const banyanrill::jobs::OrderId &id) const noexcept {
    return std::hash<std::uint64_t>()(id.number);
  }
};
