// A status report of another writer: a service that no configuration names, at the address of a
// minion that has work.
#include "Cases.h"
#include "Cell.h"
#include "Minion.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t Minions = 6;
constexpr int Jobs = 8;
constexpr int TasksPerJob = 2;
constexpr std::int64_t TaskMs = 8000;
constexpr std::int64_t TaskCpu = 4000;
constexpr std::int64_t FinishMs = 40000;

bool waitForStarts(RunLog &log, std::size_t count, std::int64_t timeoutMs) {
  const std::int64_t deadline = nowMs() + timeoutMs;
  while (log.starts() < count && nowMs() < deadline)
    sleepMs(20);
  return log.starts() >= count;
}

} // namespace

int runForeignReport(const CaseOptions &options, Record &record) {
  Cell cell(options.folder, record);
  if (!cell.start() || !cell.configure(1))
    return 2;
  RunLog log(record);
  std::vector<std::unique_ptr<Minion>> minions;
  for (std::size_t index = 0; index < Minions; ++index) {
    MinionOptions minion;
    minion.id = "i-" + randomId().substr(0, 8);
    minion.service = Cell::Service;
    minion.rack = "r1-" + std::to_string(index);
    minion.control = cell.controls();
    minions.push_back(std::make_unique<Minion>(minion, log, record));
  }
  sleepMs(3000);
  std::vector<std::string> jobs;
  for (int index = 0; index < Jobs; ++index) {
    jobs.push_back(randomId());
    if (cell.submit(jobs.back(), jobOf(TasksPerJob, TaskMs, TaskCpu), 5000) / 100 != 2)
      return 2;
  }
  if (!waitForStarts(log, std::size_t(Jobs) * TasksPerJob, 5000))
    return 2;
  sleepMs(1000);
  if (options.trouble) {
    Minion &known = **std::max_element(minions.begin(), minions.end(), [](auto &left, auto &right) {
      return left->runningCount() < right->runningCount();
    });
    nlohmann::json report = known.report();
    report["Service"] = "printer-svc";
    report["Sequence"] = 1;
    report["born"] = wallClockMs();
    const CallResult result =
        callAndFollow(cell.controls().back(), "PUT", "/v1/instances/x-" + randomId().substr(0, 8),
                      report.dump(), 1000);
    record.line("report of another writer for " + known.address() + ", where " + known.id() +
                " is, answer " + std::to_string(result.status));
  }
  const std::int64_t deadline = nowMs() + FinishMs;
  std::size_t done = 0;
  while (done < jobs.size() && nowMs() < deadline) {
    if (cell.stateOf(jobs[done]) == "done")
      ++done;
    else
      sleepMs(100);
  }
  record.line("jobs done: " + std::to_string(done) + " of " + std::to_string(jobs.size()));
  if (done < jobs.size())
    record.broken("LOST", "job " + jobs[done] + " is not done");
  return record.brokenCount() > 0 ? 1 : 0;
}

} // namespace review
