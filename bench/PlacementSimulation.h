// Runs a workload on a scheduler with an injected clock and measures it.
#pragma once

#include "PlacementWorkload.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>
#include <unordered_map>

namespace banyanrill::bench {

/// What the planner and the baselines have in common.
template <typename S>
concept Scheduler = requires(S &scheduler, const placement::WorkerView &worker,
                             const placement::JobSpec &spec, const placement::TaskEvent &event,
                             const base::Resources &quota, base::TimePoint now) {
  scheduler.updateWorker(worker);
  scheduler.setQuota(spec.team, quota);
  scheduler.putJob(spec, now);
  scheduler.onTaskEvent(event, now);
  { scheduler.plan(now) } -> std::same_as<std::vector<placement::Action>>;
};

struct SimulationResult {
  std::map<std::string, std::vector<double>> waits; ///< Seconds, by kind and priority.
  std::vector<double> allWaits;
  std::vector<double> urgentStarts; ///< Seconds from acceptance to the confirmed start.
  /// Those of jobs that never waited while tasks of their team that cannot be preempted left too
  /// little of its quota.
  std::vector<double> urgentStartsInQuota;
  std::size_t unstarted = 0; ///< Tasks still waiting at the end; their wait is counted.
  double usefulShare = 0;    ///< Of processor time, by runs that were not lost.
  double usefulAcceleratorShare = 0;
  double allocatedShare = 0;
  double strandedAccelerators = 0; ///< Mean number, free beside less than a core or 2 GiB.
  double meanRunning = 0;
  std::size_t preemptions = 0;
  double lostCoreSeconds = 0; ///< By preemption.
  std::size_t failedRuns = 0;
  std::size_t maxStartsInASecond = 0;
  std::size_t decisions = 0;
  double seconds = 0;              ///< In the scheduler, all calls.
  std::vector<double> callSeconds; ///< Calls of `plan` that returned an action.
};

template <Scheduler S> class Simulation {
public:
  Simulation(const Workload &source, S &target, std::uint64_t seed)
      : workload(source), scheduler(target), random(seed) {}

  SimulationResult run() {
    for (const placement::WorkerView &worker : this->workload.workers) {
      this->capacity = this->capacity + worker.capacity;
      this->free[worker.id.value] = worker.capacity - worker.requestLoad;
      this->scheduler.updateWorker(worker);
    }
    for (const auto &[team, quota] : this->workload.quotas) {
      this->scheduler.setQuota(team, quota);
      this->quotas[team] = quota;
    }
    for (const BenchJob &job : this->workload.jobs)
      this->states[job.spec.id.value] =
          State{&job, std::vector<TaskState>(job.runTimes.size()), {}};
    std::size_t arrived = 0;
    base::TimePoint nextSample = this->workload.measureFrom;
    for (this->now = this->workload.begin; this->now < this->workload.end; this->now += Tick) {
      for (; arrived < this->workload.jobs.size() &&
             this->workload.jobs[arrived].arrival <= this->now;
           ++arrived)
        this->submit(this->workload.jobs[arrived]);
      this->deliver();
      this->plan();
      this->markQuotaLimited();
      if (this->now >= nextSample) {
        this->sample();
        nextSample += std::chrono::seconds(10);
      }
    }
    this->finish(arrived);
    return std::move(this->result);
  }

private:
  // An owner's report and a log write; decisions are batched for this long.
  static constexpr base::Duration Tick = std::chrono::milliseconds(100);

  struct TaskState {
    base::TimePoint readyAt;
    base::TimePoint startedAt;
    base::Duration done{0}; ///< Kept by a checkpoint.
    std::uint32_t attempt = 0;
    std::string worker;
    bool active = false;
    bool waiting = false;
    bool stopping = false;
    bool first = true;
  };
  struct State {
    const BenchJob *job = nullptr;
    std::vector<TaskState> tasks;
    bool ended = false;
    bool quotaLimited = false;
    std::vector<double> urgentStarts{};
  };
  struct Due {
    base::TimePoint at;
    std::uint64_t number;
    placement::TaskEvent event;
    bool operator>(const Due &other) const {
      return this->at != other.at ? this->at > other.at : this->number > other.number;
    }
  };

  template <typename F> auto timed(F call) {
    const auto begin = std::chrono::steady_clock::now();
    auto value = call();
    this->lastCall =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    this->result.seconds += this->lastCall;
    return value;
  }

  bool measured(base::TimePoint time) const { return time >= this->workload.measureFrom; }

  static double toSeconds(base::Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
  }

  void submit(const BenchJob &job) {
    for (TaskState &task : this->states.at(job.spec.id.value).tasks) {
      task.readyAt = this->now;
      task.waiting = true;
    }
    if (job.spec.priority >= UrgentPriority)
      this->urgentWaiting.push_back(job.spec.id.value);
    this->timed([this, &job] {
      this->scheduler.putJob(job.spec, this->now);
      return 0;
    });
  }

  void send(const placement::TaskEvent &event, base::Duration after) {
    this->due.push({this->now + after, this->eventNumber++, event});
  }

  void deliver() {
    using placement::TaskEventKind;
    while (!this->due.empty() && this->due.top().at <= this->now) {
      const placement::TaskEvent event = this->due.top().event;
      this->due.pop();
      State &state = this->states.at(event.task.job.value);
      TaskState &task = state.tasks[event.task.index];
      if (!task.active || task.attempt != event.attempt)
        continue;
      if (event.kind != TaskEventKind::Started)
        this->account(state, task, event);
      this->timed([this, &event] {
        this->scheduler.onTaskEvent(event, this->now);
        return 0;
      });
    }
  }

  void account(State &state, TaskState &task, const placement::TaskEvent &event) {
    using placement::TaskEventKind;
    const base::Resources &demand = state.job->spec.demand;
    this->free[task.worker] = this->free[task.worker] + demand;
    --this->running;
    if (!state.job->spec.preemptible)
      this->fixedUse[state.job->spec.team] = this->fixedUse[state.job->spec.team] - demand;
    task.active = false;
    task.waiting = event.kind != TaskEventKind::Succeeded;
    task.readyAt = this->now;
    const base::Duration run = this->now - task.startedAt;
    if (event.kind == TaskEventKind::Succeeded) {
      this->addUseful(*state.job, task.startedAt, this->now);
    } else if (event.kind == TaskEventKind::Stopped) {
      if (state.job->spec.checkpointable) {
        task.done += run;
        this->addUseful(*state.job, task.startedAt, this->now);
      } else if (this->measured(this->now)) {
        this->result.lostCoreSeconds +=
            toSeconds(run) * static_cast<double>(demand.millicores) / 1000.0;
      }
    } else if (event.kind == TaskEventKind::Failed && this->measured(this->now)) {
      ++this->result.failedRuns;
    }
  }

  void addUseful(const BenchJob &job, base::TimePoint from, base::TimePoint to) {
    const double run = toSeconds(to - std::max(from, this->workload.measureFrom));
    if (run <= 0)
      return;
    this->usefulCores += run * static_cast<double>(job.spec.demand.millicores);
    this->usefulAccelerators += run * static_cast<double>(job.spec.demand.accelerators);
  }

  void plan() {
    const std::vector<placement::Action> actions =
        this->timed([this] { return this->scheduler.plan(this->now); });
    if (!actions.empty() && this->measured(this->now))
      this->result.callSeconds.push_back(this->lastCall);
    this->result.decisions += actions.size();
    for (const placement::Action &action : actions) {
      if (const auto *start = std::get_if<placement::AssignTask>(&action))
        this->start(*start);
      else if (const auto *stop = std::get_if<placement::StopTask>(&action))
        this->stop(*stop);
      else
        this->end(std::get<placement::EndJob>(action));
    }
  }

  void markQuotaLimited() {
    std::erase_if(this->urgentWaiting, [this](const std::string &id) {
      State &state = this->states.at(id);
      const placement::JobSpec &spec = state.job->spec;
      const bool waiting =
          std::any_of(state.tasks.begin(), state.tasks.end(),
                      [](const TaskState &task) { return task.waiting && task.first; });
      if (waiting && !(this->fixedUse[spec.team] + spec.demand).fitsIn(this->quotas[spec.team]))
        state.quotaLimited = true;
      return !waiting;
    });
  }

  void start(const placement::AssignTask &action) {
    using placement::TaskEventKind;
    State &state = this->states.at(action.task.job.value);
    const BenchJob &job = *state.job;
    TaskState &task = state.tasks[action.task.index];
    base::Resources &rest = this->free.at(action.worker.value);
    rest = rest - job.spec.demand;
    if (!rest.isValid() || task.active)
      throw std::logic_error("beyond the capacity of " + action.worker.value);
    ++this->running;
    if (!job.spec.preemptible)
      this->fixedUse[job.spec.team] = this->fixedUse[job.spec.team] + job.spec.demand;
    if (this->measured(this->now)) {
      // A job that always fails is held back on purpose; its waits are not counted anywhere.
      if (!job.failing)
        this->recordWait(job, toSeconds(this->now - task.readyAt));
      ++this->startsBySecond[std::chrono::duration_cast<std::chrono::seconds>(
                                 this->now.time_since_epoch())
                                 .count()];
    }
    // The way to the worker: leader, owner and the answer to an open poll.
    const base::Duration way = std::chrono::milliseconds(20 + this->random.below(41));
    if (this->measured(job.arrival) && task.first && !job.failing &&
        job.spec.priority >= UrgentPriority)
      state.urgentStarts.push_back(toSeconds(this->now + way - job.arrival));
    task.first = false;
    task.attempt = action.attempt;
    task.worker = action.worker.value;
    task.active = true;
    task.waiting = false;
    task.stopping = false;
    task.startedAt = this->now;
    this->send({action.task, action.attempt, TaskEventKind::Started}, way);
    const bool bad = job.failing || this->workload.failingWorkers.count(task.worker) != 0;
    const bool fails = bad || this->random.below(100) == 0;
    const base::Duration run = job.runTimes[action.task.index] - task.done;
    if (bad)
      this->send({action.task, action.attempt, TaskEventKind::Failed}, std::chrono::seconds(2));
    else if (job.spec.kind != placement::JobKind::Service)
      this->send(
          {action.task, action.attempt, fails ? TaskEventKind::Failed : TaskEventKind::Succeeded},
          way + std::max(base::Duration(std::chrono::seconds(1)), fails ? run / 2 : run));
  }

  void stop(const placement::StopTask &action) {
    State &state = this->states.at(action.task.job.value);
    TaskState &task = state.tasks[action.task.index];
    if (!task.active || task.attempt != action.attempt || task.stopping)
      return;
    task.stopping = true;
    if (this->measured(this->now) && action.reason.rfind("preempted", 0) == 0)
      ++this->result.preemptions;
    // A checkpoint takes up to 2 s, a stop without one 100 ms.
    const base::Duration time = action.checkpoint
                                    ? std::chrono::milliseconds(500 + this->random.below(1501))
                                    : std::chrono::milliseconds(100);
    this->send({action.task, action.attempt, placement::TaskEventKind::Stopped}, time);
  }

  void end(const placement::EndJob &action) { this->states.at(action.job.value).ended = true; }

  void recordWait(const BenchJob &job, double wait) {
    const char *kinds[] = {"service", "batch", "gang"};
    const std::string key = std::string(kinds[static_cast<int>(job.spec.kind)]) + ", priority " +
                            std::to_string(job.spec.priority);
    this->result.waits[key].push_back(wait);
    this->result.allWaits.push_back(wait);
  }

  void sample() {
    double stranded = 0;
    base::Resources rest;
    for (const auto &[id, amount] : this->free) {
      rest = rest + amount;
      if (amount.millicores < 1000 || amount.memoryMib < 2048)
        stranded += static_cast<double>(amount.accelerators);
    }
    ++this->samples;
    this->result.strandedAccelerators += stranded;
    this->result.meanRunning += static_cast<double>(this->running);
    this->result.allocatedShare +=
        1.0 - static_cast<double>(rest.millicores) / static_cast<double>(this->capacity.millicores);
  }

  void finish(std::size_t arrived) {
    for (std::size_t number = 0; number < arrived; ++number) {
      const BenchJob &job = this->workload.jobs[number];
      const State &state = this->states.at(job.spec.id.value);
      for (const double wait : state.urgentStarts) {
        this->result.urgentStarts.push_back(wait);
        if (!state.quotaLimited)
          this->result.urgentStartsInQuota.push_back(wait);
      }
      for (const TaskState &task : state.tasks) {
        if (task.active)
          this->addUseful(job, task.startedAt, this->workload.end);
        if (!task.waiting || state.ended || job.failing)
          continue;
        ++this->result.unstarted;
        this->recordWait(job, toSeconds(this->workload.end - task.readyAt));
      }
    }
    const double time = toSeconds(this->workload.end - this->workload.measureFrom);
    this->result.usefulShare =
        this->usefulCores / time / static_cast<double>(this->capacity.millicores);
    this->result.usefulAcceleratorShare =
        this->usefulAccelerators / time / static_cast<double>(this->capacity.accelerators);
    this->result.strandedAccelerators /= this->samples;
    this->result.meanRunning /= this->samples;
    this->result.allocatedShare /= this->samples;
    for (const auto &[second, starts] : this->startsBySecond)
      this->result.maxStartsInASecond = std::max(this->result.maxStartsInASecond, starts);
  }

  const Workload &workload;
  S &scheduler;
  base::RandomSource random;
  base::TimePoint now;
  base::Resources capacity;
  std::map<std::string, base::Resources> free;
  std::unordered_map<std::string, State> states;
  std::unordered_map<std::string, base::Resources> quotas;
  std::unordered_map<std::string, base::Resources> fixedUse;
  std::vector<std::string> urgentWaiting;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::uint64_t eventNumber = 0;
  std::map<std::int64_t, std::size_t> startsBySecond;
  std::size_t running = 0;
  double samples = 0;
  double usefulCores = 0;
  double usefulAccelerators = 0;
  double lastCall = 0;
  SimulationResult result;
};

} // namespace banyanrill::bench
