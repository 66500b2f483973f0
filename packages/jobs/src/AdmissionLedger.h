// Sums of what accepted jobs still need, kept up to date as jobs come, start and end, so that a
// decision about a submission costs no scan of the jobs.
#pragma once

#include "SpeedTable.h"
#include "banyanrill/jobs/AdmissionPolicy.h"
#include "banyanrill/jobs/Model.h"

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace banyanrill::jobs {

/// A rate over the last few seconds.
class RecentRate {
public:
  void add(double amount, base::TimePoint now);
  /// Per millisecond. `since` is when counting began.
  double at(base::TimePoint now, base::TimePoint since) const;

private:
  double sum = 0;
  base::TimePoint updated{};
};

/// Not thread-safe. Bounded by the unfinished jobs, the queues and the workspaces that have jobs.
class AdmissionLedger {
public:
  explicit AdmissionLedger(base::TimePoint start) : started(start) {}

  /// Looks at a job again after it changed; null if it is gone. Jobs that are there at the start
  /// count as no arrivals.
  void refresh(const std::string &id, const Job *job, base::TimePoint now,
               std::int64_t wallClockMs);

  /// A submission was accepted and its job will be in the table soon.
  void expect(const JobSpec &spec, const Queue &queue, const std::string &workspace,
              base::TimePoint now);
  bool isExpected(const std::string &job) const { return this->expected.count(job) != 0; }

  void setCapacity(std::int64_t millicores, base::TimePoint now);

  /// Estimates are corrected by `speeds`.
  AdmissionLoad load(const SpeedTable &speeds, base::TimePoint now);
  /// By how much longer than estimated the tasks of a queue take.
  static double correctionOf(const SpeedTable &speeds, const std::string &queue);
  double acceptedPerSecond(const std::string &workspace, base::TimePoint now) const;

private:
  enum class Phase : std::uint8_t { InTime, Late, Worthless };
  struct QueueSums {
    std::uint32_t priority = 0;
    std::array<double, 3> waiting{}; ///< By phase; by estimates.
    RecentRate arriving;
    RecentRate completed;
    std::uint64_t jobs = 0;
  };
  struct Entry {
    std::string queue;
    std::string workspace;
    Phase phase = Phase::InTime;
    base::TimePoint lateAt;
    base::TimePoint worthlessAt;
    double waiting = 0;   ///< Millicore-milliseconds, by estimates.
    double succeeded = 0; ///< The same.
    double total = 0;     ///< The same, of all open steps.
    double running = 0;   ///< Millicores.
  };
  struct Workspace {
    RecentRate accepted;
    std::uint64_t jobs = 0;
  };

  Entry &enter(const JobSpec &spec, const Queue &queue, const std::string &workspace,
               base::TimePoint accepted, base::TimePoint now);
  void drop(const std::string &id, bool succeeded, base::TimePoint now);
  void setWaiting(Entry &entry, double waiting);
  void setPhase(Entry &entry, Phase phase);
  /// Moves jobs whose target or use has passed.
  void advance(base::TimePoint now);

  base::TimePoint started;
  std::unordered_map<std::string, Entry> jobs;
  std::set<std::pair<base::TimePoint, std::string>> phaseEnds;
  std::set<std::string> expected; ///< Accepted and not in the table yet.
  std::deque<std::pair<base::TimePoint, std::string>> expectedUntil;
  std::map<std::string, QueueSums> queues;
  std::map<std::string, Workspace> workspaces;
  double running = 0;
  double capacity = 0;
  bool isFull = false;
  base::TimePoint fullSince{};
};

} // namespace banyanrill::jobs
