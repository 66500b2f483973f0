// Two daemons with a disk are killed one after the other. The third one leads in between, loses its
// majority and is elected again, while calls to minions of its first term are still unanswered.
#include "Cases.h"
#include "Cell.h"
#include "Minion.h"

#include <atomic>

namespace review {

namespace {

constexpr std::size_t Minions = 48;
constexpr int LongJobs = 10;
constexpr std::int64_t LongTaskMs = 100000;
constexpr std::int64_t TaskCpu = 9000;

/// A process that was killed is back after this time.
constexpr std::int64_t DownMs = 3500;

/// From the election on: when the second daemon is killed. Varied, since timers differ.
constexpr std::int64_t SecondKillMs = 560;
constexpr std::uint64_t SecondKillSpreadMs = 100;

/// The second daemon is back after this time.
constexpr std::int64_t SecondDownMs = 700;

/// Jobs of the burst, which follows the second kill, and the pause between the others.
constexpr int BurstJobs = 4;
constexpr int BurstTasks = 16;
constexpr std::int64_t SteadyPauseMs = 300;

constexpr std::int64_t CalmMs = 4200;
constexpr std::int64_t LastCycleMs = 100000;

} // namespace

int runLeadershipRegained(const CaseOptions &options, Record &record) {
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
  std::vector<std::thread> senders;
  for (int index = 0; index < LongJobs; ++index) {
    if (cell.submit(randomId(), jobOf(4, LongTaskMs, TaskCpu), 5000) / 100 != 2)
      return 2;
  }
  std::atomic<bool> stopping = false;
  std::thread steady([&] {
    std::vector<std::thread> requesters;
    while (!stopping) {
      requesters.emplace_back([&] { cell.submit(randomId(), jobOf(1, 6000, 100), 4000); });
      sleepMs(SteadyPauseMs);
    }
    for (std::thread &requester : requesters)
      requester.join();
  });
  sleepMs(2000);
  while (nowMs() < LastCycleMs && record.brokenCount() == 0) {
    const std::optional<std::size_t> former = cell.leader();
    if (!former) {
      sleepMs(100);
      continue;
    }
    if (!options.trouble) {
      sleepMs(DownMs + CalmMs);
      continue;
    }
    cell.daemon(*former).kill();
    const std::int64_t killedAt = nowMs();
    record.line("kill " + cell.daemon(*former).name());
    const std::optional<std::size_t> leader = cell.waitForLeader(3000, former);
    if (leader) {
      const std::size_t other = 3 - *former - *leader;
      record.line("leader " + cell.daemon(*leader).name());
      sleepMs(SecondKillMs + static_cast<std::int64_t>(randomBelow(SecondKillSpreadMs)));
      cell.daemon(other).kill();
      record.line("kill " + cell.daemon(other).name());
      for (int index = 0; index < BurstJobs; ++index)
        senders.emplace_back([&] { cell.submit(randomId(), jobOf(BurstTasks, 3000, 100), 4000); });
      sleepMs(SecondDownMs);
      cell.restart(other);
      record.line("restart " + cell.daemon(other).name());
    }
    sleepMs(killedAt + DownMs - nowMs());
    cell.restart(*former);
    record.line("restart " + cell.daemon(*former).name());
    sleepMs(CalmMs);
  }
  stopping = true;
  steady.join();
  for (std::thread &sender : senders)
    sender.join();
  return record.brokenCount() > 0 ? 1 : 0;
}

} // namespace review
