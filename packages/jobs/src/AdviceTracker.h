// Tickets of the advisory service: what is known of each step, and which calls to make next.
#pragma once

#include "StepQueue.h"
#include "WorkerSession.h"
#include "banyanrill/jobs/Orders.h"

#include <boost/container/flat_map.hpp>
#include <boost/container/flat_set.hpp>
#include <functional>
#include <set>
#include <unordered_map>

namespace banyanrill::jobs {

/// Fewer names save little: most of a call's time does not depend on them.
constexpr std::size_t MinAdvised = 16;

/// A step that could not be asked for is looked at again after this time.
constexpr base::Duration AdviceRecheckInterval = std::chrono::milliseconds(25);

struct Ticket {
  std::string value;
  base::TimePoint until; ///< Last time at which a start with it should leave.
};

/// What the service said of one step. Which workers are good never changes; tickets expire.
struct StepAdvice {
  boost::container::flat_map<WorkerNumber, Ticket> tickets;
  boost::container::flat_set<WorkerNumber> bad;
  std::uint32_t callsInFlight = 0;
  base::TimePoint askAgain = base::TimePoint::min();
  /// When to look for workers that no call has named; later than `askAgain` if there were none.
  base::TimePoint discoverAgain = base::TimePoint::min();
};

/// Each daemon has one call at a time: the service serves the calls of a machine in turn, so a
/// second one would only wait. Not thread-safe.
class AdviceTracker {
public:
  void setAdvisoryDaemons(const std::vector<base::DaemonId> &daemons);

  bool hasFreeAdviser() const { return !this->idle.empty(); }
  std::size_t idleAdvisers() const { return this->idle.size(); }

  StepAdvice &of(const StepKey &step) { return this->steps[step]; }
  /// Null if nothing is known of the step.
  const StepAdvice *find(const StepKey &step) const;
  const Ticket *ticketFor(const StepKey &step, WorkerNumber worker, base::TimePoint now) const;

  /// Precondition: `hasFreeAdviser()`.
  AdviceOrder ask(OrderId id, const OpenStep &step, std::vector<std::string> workers,
                  base::TimePoint now);

  /// `numberOf` returns a worker's number, or nothing if it has gone.
  /// \returns the step, or nothing for an unknown order.
  std::optional<StepKey>
  onAnswer(OrderId id, const AdviceAnswer &answer,
           const std::function<std::optional<WorkerNumber>(const std::string &)> &numberOf,
           base::TimePoint now);

  /// A worker that left or began a new life: its tickets are void.
  void forgetWorker(WorkerNumber worker);
  void forgetJob(const std::string &job);

private:
  struct Asked {
    StepKey step;
    base::DaemonId daemon = base::NoDaemon;
    std::vector<std::string> workers;
    base::TimePoint at;
    std::int64_t ticketLifeMs = 0;
  };

  std::set<base::DaemonId> advisers;
  std::set<base::DaemonId> idle;
  std::map<StepKey, StepAdvice> steps;
  std::unordered_map<OrderId, Asked> asked;
};

} // namespace banyanrill::jobs
