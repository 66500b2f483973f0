// State of the planner and the steps of its decisions.
#pragma once

#include "GangReservation.h"
#include "JobQueue.h"
#include "Preemption.h"
#include "QuotaTable.h"
#include "RunTimeEstimator.h"
#include "WorkerHealth.h"
#include "WorkerIndex.h"

#include <deque>
#include <memory>
#include <queue>

namespace banyanrill::placement {

/// Not thread-safe.
class PlannerCore {
public:
  PlannerCore(PlannerOptions settings, base::RandomSource source)
      : options(settings), random(source) {}

  // WorkerChanges.cpp
  void updateWorker(const WorkerView &view);
  void removeWorker(const base::WorkerId &id);

  // JobChanges.cpp
  void putJob(const JobSpec &spec, base::TimePoint now);
  void cancelJob(const base::JobId &id);
  void restoreTask(const TaskRecord &record, base::TimePoint now);
  const Job *findJob(const base::JobId &id) const;

  // TaskLifecycle.cpp
  void onTaskEvent(const TaskEvent &event, base::TimePoint now);

  // PlanRound.cpp
  std::vector<Action> plan(base::TimePoint now);

  PlannerOptions options;
  base::RandomSource random;
  WorkerIndex workers;
  QuotaTable quotas;
  WorkerHealth health;
  RunTimeEstimator runTimes;
  GangReservation reservation;
  std::size_t runningTasks = 0;
  std::map<std::uint64_t, std::unique_ptr<Job>> jobs;

private:
  /// A task by number, for entries that may outlive it.
  struct TaskNumber {
    std::uint64_t job = 0;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
  };
  struct Retry {
    base::TimePoint at;
    TaskNumber task;
    bool operator>(const Retry &other) const { return this->at > other.at; }
  };
  struct Stop {
    TaskNumber task;
    bool checkpoint = false;
    std::string reason;
    base::TimePoint at; ///< When it is sent again if it is not confirmed.
  };
  /// Capacity that is being vacated for a job.
  struct Claim {
    Job *job = nullptr;
    std::uint32_t slot = NoWorker;
    base::Resources demand;
    base::TimePoint expires;
  };
  struct FailedShape {
    base::Resources demand;
    std::vector<std::uint32_t> zones;
    bool usedReserve = false; ///< Of accelerators; else a search that may use it can succeed.
  };
  /// What one call of `plan` keeps while it runs.
  struct Round {
    base::TimePoint now;
    std::vector<Action> actions;
    std::vector<FailedShape> failedShapes;
    /// Quotas kept for a blocked job from jobs below a priority, by whether they are preemptible.
    std::map<std::pair<const Team *, bool>, std::int32_t> heldQuotas;
    std::vector<std::uint32_t> probes; ///< Quarantined workers that may take one task.
    std::size_t gangTrials = 0;        ///< Placements tried for gangs that did not fit.
    std::size_t preemptionSearches = 0;
    Job *blocked = nullptr;      ///< First in order that is due a reservation.
    Job *blockedAgain = nullptr; ///< Same, if it held the last one.
  };

  void applySpec(Job &job, const JobSpec &spec, base::TimePoint now);
  void addJob(const JobSpec &spec, base::TimePoint now, std::vector<std::uint32_t> attempts);
  void endJob(Job &job, bool succeeded, const std::string &reason);
  void settle(Job &job);
  void requeue(Job &job);

  Task *currentTask(const TaskNumber &number, Job **job);
  void hold(Job &job, std::uint32_t index, std::uint32_t slot, base::TimePoint now);
  bool release(Job &job, std::uint32_t index);
  void requestStop(Job &job, std::uint32_t index, const std::string &reason, bool preemption);
  void stopAll(Job &job, const std::string &reason);
  void backToPending(Job &job, std::uint32_t index, base::Duration delay, base::TimePoint now);
  void onFailed(Job &job, std::uint32_t index, base::TimePoint now);
  void onSucceeded(Job &job, std::uint32_t index, base::Duration run, base::TimePoint now);
  base::Duration retryDelay(std::uint32_t failures);

  void runTimers(base::TimePoint now);
  void emitStops(std::deque<Stop> &stops, Round &round, std::size_t limit);
  void emitEnds(Round &round);
  void settleClaims(Round &round);
  void dropClaim(const Claim &claim);
  bool claimUsable(const Claim &claim, base::TimePoint now) const;
  bool gangClaimsReady(const Job &job) const;
  bool claimsReady(const Claim &claim, const Round &round) const;
  void makeReady(Job &job, std::uint32_t index, base::TimePoint now);
  std::size_t budget(const Round &round) const;

  // PlaceJob.cpp
  bool queryOf(const Job &job, const Round &round, Query &query) const;
  bool placeJob(Job &job, bool borrowing, Round &round);
  bool placeTasks(Job &job, Query &query, bool borrowing, Round &round);
  bool placeGang(Job &job, const Query &query, bool borrowing, Round &round);
  bool tryGang(Job &job, const Query &query, Round &round);
  std::uint32_t findWorker(const Job &job, const Query &query, Round &round);
  void preemptFor(Job &job, const Query &query, std::uint32_t slotsWanted, Round &round);
  void markBlocked(Job &job, bool borrowing, const Round &round) const;
  void updateReservation(Round &round);
  void assign(Job &job, std::uint32_t index, std::uint32_t slot, Round &round);

  JobQueue queue;
  PreemptionIndex preemptible;
  std::unordered_map<std::string, std::uint64_t> jobNumbers;
  std::uint64_t nextSerial = 1;
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries;
  std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines;
  std::deque<Stop> urgentStops; ///< For preemption; not delayed by a wave of cancellations.
  std::deque<Stop> otherStops;
  std::deque<Stop> unconfirmedStops;
  std::deque<std::pair<base::TimePoint, base::WorkerId>> penalties;
  std::vector<Claim> claims;
  std::deque<std::uint64_t> ended;
  std::uint64_t lastReservation = 0;
};

} // namespace banyanrill::placement
