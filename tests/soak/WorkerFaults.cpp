#include "WorkerFaults.h"

#include <algorithm>
#include <array>

namespace banyanrill::soak {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::uint64_t MaxPauseMs = 2000;
constexpr std::uint64_t MaxCutDelayMs = 1500;

/// Most cuts last long enough for the leader to give the worker up.
constexpr std::uint64_t MinCutMs = 6000;
constexpr std::uint64_t MaxCutMs = 10000;

/// The others have room for all tasks.
constexpr std::ptrdiff_t MaxCutWorkers = 2;

constexpr std::uint64_t MaxClockStartMs = 10'000'000;
constexpr std::uint64_t LateOrderSeedOffset = 1;

} // namespace

WorkerFaults::WorkerFaults(std::uint64_t seed, platform::test::FakePlatform &platform,
                           const std::vector<std::unique_ptr<Proxy>> &links)
    : lateOrderSeed(seed + LateOrderSeedOffset), random(seed), users(platform), workerLinks(links),
      cuts(links.size()) {
  for (std::size_t worker = 0; worker < this->cuts.size(); ++worker)
    this->restart(worker);
}

void WorkerFaults::harm() {
  const auto now = Clock::now();
  if (!this->nextRestart) {
    this->users.startDelayingOrders(this->lateOrderSeed);
    this->nextRestart = now;
  }
  if (now < *this->nextRestart)
    return;
  this->nextRestart = now + milliseconds(this->random.below(MaxPauseMs));
  const std::size_t worker = this->random.below(this->cuts.size());
  const auto cutCount = std::count_if(this->cuts.begin(), this->cuts.end(),
                                      [](const auto &cut) { return cut.has_value(); });
  if (!this->cuts[worker] && cutCount < MaxCutWorkers)
    this->restartAndCut(worker);
}

void WorkerFaults::restartAndCut(std::size_t worker) {
  constexpr std::array<LinkFault, 3> Faults = {LinkFault::Silent, LinkFault::NoRequests,
                                               LinkFault::NoAnswers};
  ++this->restarts;
  this->workerLinks[worker]->breakConnections();
  this->restart(worker);
  const auto from = Clock::now() + milliseconds(this->random.below(MaxCutDelayMs));
  const milliseconds time(MinCutMs + this->random.below(MaxCutMs - MinCutMs));
  this->cuts[worker] = {from, from + time, Faults[this->random.below(Faults.size())]};
}

void WorkerFaults::restart(std::size_t worker) {
  this->users.restartWorker(worker, static_cast<std::int64_t>(this->random.below(MaxClockStartMs)));
}

void WorkerFaults::advance() {
  const auto now = Clock::now();
  for (std::size_t worker = 0; worker < this->cuts.size(); ++worker) {
    std::optional<Cut> &cut = this->cuts[worker];
    if (!cut || now < cut->from)
      continue;
    const bool isOver = now >= cut->until;
    this->workerLinks[worker]->setFault(isOver ? LinkFault::None : cut->fault);
    if (isOver)
      cut.reset();
  }
}

void WorkerFaults::stopHarm() { this->users.stopDelayingOrders(); }

} // namespace banyanrill::soak
