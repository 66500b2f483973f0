// A minion leaves as planned while nothing from the daemons reaches it.
#include "Cases.h"
#include "Cell.h"
#include "Minion.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t Minions = 6;
constexpr int Jobs = 8;
constexpr int TasksPerJob = 2;
constexpr std::int64_t TaskMs = 15000;
constexpr std::int64_t TaskCpu = 4000;

/// A minion serves on for this long after `draining` is acknowledged: DrainMs and a little longer.
constexpr std::int64_t ServeOnMs = 3000;

/// Without an acknowledgement of its DELETE it ends anyway after this time.
constexpr std::int64_t EndAnywayMs = 4000;

constexpr std::int64_t FinishMs = 45000;

} // namespace

int runLeavingMinion(const CaseOptions &options, Record &record) {
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
  sleepMs(2000);
  auto chosen = std::max_element(minions.begin(), minions.end(), [](auto &left, auto &right) {
    return left->runningCount() < right->runningCount();
  });
  Minion &leaving = **chosen;
  leaving.drain();
  sleepMs(ServeOnMs);
  Channel channel(cell.controls().back());
  if (options.trouble)
    leaving.cutOneWay();
  channel.send("DELETE", "/v1/instances/" + leaving.id());
  record.line("DELETE of " + leaving.id());
  if (options.trouble)
    sleepMs(EndAnywayMs);
  record.line("ends " + leaving.id());
  leaving.end();
  chosen->reset();
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
