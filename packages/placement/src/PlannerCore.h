// State of the planner and the steps of its decisions.
#pragma once

#include "JobQueue.h"
#include "JobReservation.h"
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
  JobReservation reservation;
  std::size_t activeTaskCount = 0;
  std::map<std::uint64_t, std::unique_ptr<Job>> jobs;

private:
  /// Identifies an attempt of a task, for entries that may outlive it. `job` is the serial.
  struct AttemptKey {
    std::uint64_t job = 0;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
  };
  struct Retry {
    base::TimePoint at;
    AttemptKey task;
    bool operator>(const Retry &other) const { return this->at > other.at; }
  };
  struct Stop {
    AttemptKey task;
    bool checkpoint = false;
    std::string reason;
    base::TimePoint at; ///< Time at which an unconfirmed stop is sent again.
  };
  /// Capacity that preemption is freeing for one task of a job.
  struct Claim {
    Job *job = nullptr;
    std::uint32_t slot = NoWorker;
    base::Resources demand;
    base::TimePoint expires;
  };
  /// A search that found no worker. An equal or larger demand fails too, unless it may use the
  /// capacity kept for accelerators and this search could not.
  struct FailedSearch {
    base::Resources demand;
    std::vector<std::uint32_t> zones;
    bool usedReserve = false; ///< Included the capacity kept for accelerators.
  };
  /// State of one call of `plan`.
  struct Round {
    base::TimePoint now;
    std::vector<Action> actions;
    std::vector<FailedSearch> failedSearches;
    /// By team and preemptibility: the lowest priority that may still use the quota, since a job at
    /// that priority is blocked.
    std::map<std::pair<const Team *, bool>, std::int32_t> quotaPriorityFloors;
    std::vector<std::uint32_t> probes; ///< Quarantined workers that may receive one task.
    std::size_t gangTrials = 0;        ///< Placements tried for gangs that did not fit.
    std::size_t preemptionSearches = 0;
    Job *reservationCandidate = nullptr;    ///< First blocked job due for a reservation.
    Job *previousHolderCandidate = nullptr; ///< Same, but it held the last reservation.
  };

  void applySpec(Job &job, const JobSpec &spec, base::TimePoint now);
  void addJob(const JobSpec &spec, base::TimePoint now, std::vector<std::uint32_t> attempts);
  void endJob(Job &job, bool succeeded, const std::string &reason);
  void updateJobState(Job &job);
  void requeue(Job &job);

  Task *currentTask(const AttemptKey &number, Job **job);
  void allocate(Job &job, std::uint32_t index, std::uint32_t slot, base::TimePoint now);
  bool release(Job &job, std::uint32_t index);
  void requestStop(Job &job, std::uint32_t index, const std::string &reason, bool preemption);
  void stopAll(Job &job, const std::string &reason);
  void returnToPending(Job &job, std::uint32_t index, base::Duration delay, base::TimePoint now);
  void onFailed(Job &job, std::uint32_t index, base::TimePoint now);
  void onSucceeded(Job &job, std::uint32_t index, base::Duration run, base::TimePoint now);
  base::Duration retryDelay(std::uint32_t failures);

  void runTimers(base::TimePoint now);
  void emitStops(std::deque<Stop> &stops, Round &round, std::size_t limit);
  void emitEnds(Round &round);
  void processClaims(Round &round);
  void releaseClaim(const Claim &claim);
  bool isClaimValid(const Claim &claim, base::TimePoint now) const;
  bool canUseGangClaims(const Job &job) const;
  bool canUseClaim(const Claim &claim, const Round &round) const;
  void makeReady(Job &job, std::uint32_t index, base::TimePoint now);
  std::size_t remainingActions(const Round &round) const;

  // PlaceJob.cpp
  bool makeQuery(const Job &job, const Round &round, Query &query) const;
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
  std::unordered_map<std::string, std::uint64_t> serialById;
  std::uint64_t nextSerial = 1;
  std::priority_queue<Retry, std::vector<Retry>, std::greater<>> retries;
  std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines;
  std::deque<Stop> urgentStops; ///< For preemption; not delayed by mass cancellations.
  std::deque<Stop> otherStops;
  std::deque<Stop> unconfirmedStops;
  std::deque<std::pair<base::TimePoint, base::WorkerId>> penalties;
  std::vector<Claim> claims;
  std::deque<std::uint64_t> endedJobs;
  std::uint64_t lastReservationSerial = 0;
};

} // namespace banyanrill::placement
