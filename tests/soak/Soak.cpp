// soak SEED SECONDS PROGRAM [workers|grown|deployed]: runs real daemons as processes of their own,
// injects faults from outside and checks the promises that callers and workers see: what was
// accepted is known and ends, no task runs twice or again after an acknowledged success, and the
// configuration is never older than one that was acknowledged. With half of the seeds there are
// workspaces: no withdrawn or unknown key is accepted, no valid one refused, and none runs more
// than its limit allows. The workers are stand-ins. They restart under their identifiers and are
// cut off soon after, carry out some orders seconds late without an answer, and run some tasks for
// longer than a lease; with "workers", no leader changes meanwhile, so that its leases and releases
// are put to the test. At the end as many disks are lost as the cell tolerates, and all other
// machines lose power; then every daemon has to answer within the recovery time. Exit code 1: a
// promise was broken; the folder with the logs is kept and named.
#include "FakePlatform.h"
#include "Keys.h"
#include "Machines.h"
#include "Proxy.h"
#include "WorkerFaults.h"
#include "banyanrill/base/RandomSource.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>
#include <thread>
#include <tuple>
#include <unistd.h>

using namespace banyanrill;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t Workers = 4;

/// Machines that the settings name at the first start.
constexpr std::size_t SeedCount = 3;

/// The machines of a cell and its bounds, as on the deployments.
struct CellSize {
  std::size_t disks;           ///< Machines with a disk; they come first.
  std::size_t machines;        ///< All of them.
  std::size_t toleratedLosses; ///< Disks that may be lost at the same time.
  seconds catchUp;             ///< A machine that was lost counts as lost until it has caught up.
  seconds recovery;            ///< From the return of all machines to a cell that answers.
  bool harmsDaemons = true;    ///< False: before the last fault only the workers are harmed.
};

constexpr CellSize SmallCell = {3, 5, 1, seconds(4), seconds(12)};
constexpr CellSize WorkersCell = {3, 5, 1, seconds(4), seconds(12), false};
constexpr CellSize GrownCell = {6, 38, 2, seconds(6), seconds(15)};
constexpr CellSize DeployedCell = {3, 12, 1, seconds(4), seconds(12)};

/// An accepted job is known everywhere, and a change in force, after this time.
constexpr milliseconds VisibleAfter(3000);

/// All jobs have ended this long after the last fault.
constexpr seconds SettleTime(30);

constexpr milliseconds CallTimeout(2000);

/// Pauses between two faults, and the longest time that a machine is down or stands still.
constexpr std::uint64_t MaxPauseMs = 1500;
constexpr std::uint64_t MaxDownMs = 2500;

/// The same for disks. A disk may hang for longer than an election takes.
constexpr std::uint64_t MaxDiskPauseMs = 4000;
constexpr std::uint64_t MaxFullMs = 3000;
constexpr std::uint64_t MaxHangMs = 6000;

/// Disks have draws of their own, so that the other faults of a seed stay the same.
constexpr std::uint64_t DiskSeedOffset = 1000000;

/// The last fault has draws of its own as well.
constexpr std::uint64_t LastFaultSeedOffset = 2000000;

/// All machines are back this long after the last fault, in any order.
constexpr std::uint64_t MaxLastDownMs = 2000;

/// A random source of its own decides whether the configuration and the log are large before the
/// last fault. The changes below are between two and four megabytes of log; above four, a daemon
/// replaces the log by a snapshot, which is smaller.
constexpr std::uint64_t LargeLogSeedOffset = 3000000;
constexpr std::size_t LargeRoutes = 400;
constexpr std::size_t LargeNameBytes = 200;
constexpr std::size_t LargeChanges = 14;

/// Pause between two attempts to reach a daemon after the last fault.
constexpr milliseconds ProbePause(100);

/// The faults of the workers and the lengths of the tasks have draws of their own.
constexpr std::uint64_t WorkerSeedOffset = 4000000;
constexpr std::uint64_t TaskSeedOffset = 5000000;

/// So have the keys. Half of the seeds have workspaces.
constexpr std::uint64_t KeySeedOffset = 6000000;

/// One in this many questions about a job carries a withdrawn key, or one that never was valid.
constexpr std::uint64_t WithdrawnShare = 4;

/// Besides the short jobs there are some whose tasks last for longer than the leader's lease.
constexpr std::uint64_t ShortTaskMs = 150;
constexpr std::uint64_t MinLongTaskMs = 8000;
constexpr std::uint64_t MaxLongTaskMs = 10000;

/// Pause between two such jobs, so that the workers have room for all. The first come at once.
constexpr milliseconds LongJobPause(1200);
constexpr int FirstLongJobs = 4;

struct AcceptedJob {
  Clock::time_point at;
  bool isDone = false;
};

class Soak {
public:
  Soak(std::uint64_t seed, const std::string &program, CellSize cellSize)
      : size(cellSize), random(seed), diskRandom(seed + DiskSeedOffset),
        lastFaultRandom(seed + LastFaultSeedOffset), taskRandom(seed + TaskSeedOffset),
        keyRandom(seed + KeySeedOffset), hasWorkspaces(this->keyRandom.below(2) == 0),
        isLogLarge(base::RandomSource(seed + LargeLogSeedOffset).below(2) == 0),
        workers(linkWorkers(this->users)),
        workerFaults(seed + WorkerSeedOffset, this->users, this->workers),
        resumeAt(cellSize.machines), diskHealsAt(cellSize.disks) {
    std::string name = "/tmp/banyanrill-soak-" + std::to_string(seed) + "-XXXXXX";
    this->folder = mkdtemp(name.data());
    const std::vector<std::uint16_t> free = platform::test::freePorts(4);
    const soak::Ports ports{free[0], free[1], free[2], free[3]};
    for (std::size_t index = 0; index < this->size.machines; ++index) {
      this->machines.push_back(std::make_unique<soak::Machine>(
          program, this->folder / std::to_string(index), index, index < this->size.disks, ports,
          this->users.advisoryService(), this->size.toleratedLosses));
      const soak::Machine &machine = *this->machines.back();
      this->fronts.push_back(
          std::make_unique<soak::Proxy>("127.0.0.1", 0, machine.ip(), ports.front));
      this->peers.push_back(
          std::make_unique<soak::Proxy>(machine.peerIp(), ports.peer, machine.ip(), ports.peer));
    }
    this->control = ports.control;
    if (this->hasWorkspaces)
      this->users.limitTasks(std::string(1, soak::LimitedPrefix), soak::LimitedTasks);
    for (std::size_t index = 0; index < SeedCount; ++index)
      this->seeds.push_back(this->machines[index]->seedAddress());
    for (const auto &machine : this->machines)
      machine->start(this->seeds, true);
    this->client = std::move(http::Client::start().value());
  }

  int run(seconds duration) {
    if (!this->eventually([this] { return this->configure(); }, seconds(15)))
      this->fail("no configuration was acknowledged within 15 s of the start");
    for (int job = 0; job < FirstLongJobs; ++job) {
      this->nextLongJob = Clock::now();
      this->submitLongJob();
    }
    const auto end = Clock::now() + duration;
    while (Clock::now() < end && this->broken.empty()) {
      this->step();
      if (this->size.harmsDaemons) {
        this->harm();
        this->harmDisks();
      }
      this->workerFaults.harm();
      std::this_thread::sleep_for(milliseconds(20));
    }
    this->heal();
    if (this->broken.empty())
      this->lastFault();
    const bool ended = this->eventually([this] { return this->allDone(); }, SettleTime);
    if (!ended)
      this->fail("an accepted job did not end: " + this->firstOpenJob());
    for (const std::string &violation : this->users.violations())
      this->fail(violation);
    // Killed one after the other, so that the others see their connections break.
    for (const auto &machine : this->machines)
      machine->kill();
    for (std::size_t index = 0; index < this->size.machines; ++index)
      this->noteOwnEnd(index);
    std::printf("%zu jobs accepted, %zu faults, configuration %d, %zu starts, %s\n",
                this->jobs.size(), this->faults + this->workerFaults.count(), this->acknowledged,
                this->users.starts(), this->hasWorkspaces ? "workspaces" : "no workspaces");
    for (const std::string &fault : this->broken)
      std::printf("broken: %s\n", fault.c_str());
    if (this->broken.empty())
      std::filesystem::remove_all(this->folder);
    else
      std::printf("logs: %s\n", this->folder.c_str());
    return this->broken.empty() ? 0 : 1;
  }

private:
  void fail(const std::string &text) { this->broken.push_back(text); }

  static std::vector<std::unique_ptr<soak::Proxy>>
  linkWorkers(platform::test::FakePlatform &users) {
    std::vector<std::unique_ptr<soak::Proxy>> links;
    for (std::size_t index = 0; index < Workers; ++index) {
      links.push_back(
          std::make_unique<soak::Proxy>("127.0.0.1", 0, "127.0.0.1", users.workerPort(index)));
      users.setReportedAddress(index, "127.0.0.1:" + std::to_string(links.back()->port()));
    }
    return links;
  }

  template <typename Condition> bool eventually(Condition condition, seconds limit) {
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
      if (condition())
        return true;
      this->reportWorkers();
      this->watch();
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

  static http::CallResult call(http::Client &caller, const std::string &host, std::uint16_t port,
                               const std::string &method, const std::string &path,
                               const std::string &body = {}, const std::string &key = {}) {
    http::Call call;
    call.host = host;
    call.port = port;
    call.request.method = method;
    call.request.path = path;
    call.request.body = body;
    if (!key.empty())
      call.request.headers.emplace_back("authorization", "Bearer " + key);
    call.timeout = CallTimeout;
    return caller.call(call);
  }

  http::CallResult callFront(const std::string &method, const std::string &path,
                             const std::string &body = {}, const std::string &key = {}) {
    return call(*this->client, "127.0.0.1",
                this->fronts[this->random.below(this->size.machines)]->port(), method, path, body,
                key);
  }

  /// Empty without workspaces.
  std::string keyOf(const std::string &job) const {
    return this->hasWorkspaces ? this->keys.keyOf(job) : std::string();
  }

  http::CallResult callControl(const std::string &method, const std::string &path,
                               const std::string &body = {}) {
    return this->callControlOf(this->random.below(this->size.machines), *this->client, method, path,
                               body);
  }

  /// Follows redirects. Thread-safe with a client of the caller's own.
  http::CallResult callControlOf(std::size_t index, http::Client &caller, const std::string &method,
                                 const std::string &path, const std::string &body = {}) const {
    http::CallResult result =
        call(caller, this->machines[index]->ip(), this->control, method, path, body);
    for (int hop = 0; hop < 2 && result.response.status == 307; ++hop) {
      const auto [host, port] = platform::test::redirectTarget(result.response);
      result = call(caller, host, port, method, path, body);
    }
    return result;
  }

  void step() {
    this->reportWorkers();
    this->watch();
    this->submit();
    this->submitLongJob();
    this->ask();
    if (this->random.below(15) == 0)
      this->configure();
    this->readConfiguration();
  }

  void reportWorkers() {
    const std::size_t index = this->nextWorker++ % Workers;
    const auto [id, body] = this->users.report(index);
    this->callControl("PUT", "/v1/instances/" + id, body);
  }

  void submit() {
    const std::uint64_t count = 1 + this->random.below(4);
    const json step = {{"Count", count}, {"Cpu", 500}, {"EstimatedMs", ShortTaskMs}};
    json next = step;
    next["Count"] = 1;
    next["After"] = {0};
    const bool isLimited = this->hasWorkspaces && this->keyRandom.below(2) == 0;
    this->submitTo(this->random.below(this->size.machines), ShortTaskMs, {step, next}, isLimited);
  }

  void submitLongJob() {
    if (Clock::now() < this->nextLongJob)
      return;
    this->nextLongJob = Clock::now() + LongJobPause;
    const std::size_t index = this->taskRandom.below(this->size.machines);
    const std::uint64_t count = 1 + this->taskRandom.below(4);
    const std::uint64_t taskMs =
        MinLongTaskMs + this->taskRandom.below(MaxLongTaskMs - MinLongTaskMs);
    const json step = {{"Count", count}, {"Cpu", 500}, {"EstimatedMs", taskMs}};
    this->submitTo(index, taskMs, {step}, false);
  }

  /// Each task takes `taskMs`; the stand-in reads it from the specification.
  void submitTo(std::size_t index, std::uint64_t taskMs, const std::vector<json> &steps,
                bool isLimited) {
    std::array<char, 17> digits = {};
    std::snprintf(digits.data(), digits.size(), "%016zx", ++this->lastJob);
    std::string id = digits.data();
    id.front() = isLimited ? soak::LimitedPrefix : soak::UnlimitedPrefix;
    const json body = {{"TaskSpec", std::to_string(taskMs)}, {"Steps", steps}};
    const bool isSettled = this->isSettled(id);
    const http::CallResult result = call(*this->client, "127.0.0.1", this->fronts[index]->port(),
                                         "POST", "/q/" + id, body.dump(), this->keyOf(id));
    if (result.verdict == base::Verdict::Ran && result.response.status == 200)
      this->jobs[id] = {Clock::now(), false};
    if (isSettled)
      this->checkAccepted(result, id);
  }

  /// Whether the key of a job's workspace has been in force for a while.
  bool isSettled(const std::string &id) const {
    return this->hasWorkspaces && this->keys.isSettled(id, Clock::now(), VisibleAfter);
  }

  /// Checks the answer to a request whose key was settled when it was sent.
  void checkAccepted(const http::CallResult &result, const std::string &id) {
    if (result.verdict == base::Verdict::Ran &&
        (result.response.status == 401 || result.response.status == 403))
      this->fail("a valid key is refused with " + std::to_string(result.response.status) + ": " +
                 id);
  }

  /// Asks about a job with a key that is not valid any more, or never was.
  void askWithInvalidKey(const std::string &id) {
    const std::optional<std::string> withdrawn =
        this->keyRandom.below(2) == 0 ? std::nullopt : this->keys.withdrawn(this->keyRandom.next());
    const std::string key = withdrawn.value_or("never-valid");
    const bool mustBeRefused = !withdrawn || this->keys.mustBeRefused(key, Clock::now());
    const http::CallResult result = this->callFront("GET", "/q/" + id, {}, key);
    if (mustBeRefused && result.verdict == base::Verdict::Ran && result.response.status == 200)
      this->fail("an invalid key is accepted: " + key);
  }

  bool askAbout(const std::string &id, AcceptedJob &job) {
    const bool mustBeKnown = Clock::now() - job.at > VisibleAfter;
    const bool isSettled = this->isSettled(id);
    const http::CallResult result = this->callFront("GET", "/q/" + id, {}, this->keyOf(id));
    if (isSettled)
      this->checkAccepted(result, id);
    if (result.verdict != base::Verdict::Ran)
      return false;
    if (mustBeKnown && (result.response.status == 410 || result.response.status == 404))
      this->fail("an accepted job is not known: " + id);
    if (result.response.status != 200)
      return false;
    const std::string state = json::parse(result.response.body).value("State", std::string());
    if (state == "failed" || state == "cancelled")
      this->fail("a job that nobody cancelled is shown as " + state + ": " + id);
    job.isDone = state == "done";
    return job.isDone;
  }

  void ask() {
    if (this->jobs.empty())
      return;
    auto position = this->jobs.begin();
    std::advance(position, static_cast<std::ptrdiff_t>(this->random.below(this->jobs.size())));
    if (this->hasWorkspaces && this->keyRandom.below(WithdrawnShare) == 0)
      this->askWithInvalidKey(position->first);
    else
      this->askAbout(position->first, position->second);
  }

  bool allDone() {
    for (auto &[id, job] : this->jobs) {
      if (!job.isDone && !this->askAbout(id, job))
        return false;
    }
    return true;
  }

  std::string firstOpenJob() const {
    for (const auto &[id, job] : this->jobs) {
      if (!job.isDone)
        return id;
    }
    return "none";
  }

  bool configure() {
    json body = {{"Version", ++this->lastVersion},
                 {"Routes",
                  {{{"Name", "q"},
                    {"Host", "127.0.0.1"},
                    {"PathPrefix", "/q/"},
                    {"TimeoutMs", 3000 + this->lastVersion},
                    {"Service", "svc"},
                    {"MaxAttempts", 2},
                    {"Stretch", 2.0},
                    {"Advice", {{"DecideMs", 5.0}, {"PeriodMs", 0.1}, {"ValidityMs", 2000}}}}}},
                 {"Services", {{{"Name", "svc"}}}}};
    if (this->hasWorkspaces)
      body["Tenants"] = this->keys.nextWorkspaces(this->keyRandom.below(2) == 0);
    json route = body["Routes"][0];
    for (std::size_t extra = 0; extra < this->extraRoutes; ++extra) {
      const std::string number = std::to_string(extra);
      route["Name"] = number + std::string(LargeNameBytes - number.size(), 'r');
      route["PathPrefix"] = "/r" + number + '/';
      body["Routes"].push_back(route);
    }
    const http::CallResult result = this->callControl("PUT", "/v1/config", body.dump());
    if (result.verdict != base::Verdict::Ran || result.response.status != 200)
      return false;
    this->acknowledged = this->lastVersion;
    this->acknowledgedAt = Clock::now();
    if (this->hasWorkspaces)
      this->keys.onAcknowledged(this->acknowledgedAt);
    return true;
  }

  void readConfiguration() {
    const bool mustBeInForce = Clock::now() - this->acknowledgedAt > VisibleAfter;
    const http::CallResult result = this->callControl("GET", "/v1/config");
    if (result.verdict != base::Verdict::Ran || result.response.status != 200 || !mustBeInForce)
      return;
    const int version = json::parse(result.response.body).value("Version", 0);
    if (version < this->acknowledged)
      this->fail("configuration " + std::to_string(version) + " is read after " +
                 std::to_string(this->acknowledged) + " was acknowledged");
  }

  /// Starts processes that have ended, as the platform does.
  void watch() {
    this->workerFaults.advance();
    const auto now = Clock::now();
    for (std::size_t index = 0; index < this->size.machines; ++index) {
      soak::Machine &machine = *this->machines[index];
      if (machine.isPaused && now >= this->resumeAt[index]) {
        machine.signal(SIGCONT);
        machine.isPaused = false;
        machine.upSince = now;
      }
      if (!machine.isAlive() && now >= this->resumeAt[index])
        machine.start(this->seeds, false);
      this->noteOwnEnd(index);
    }
  }

  void noteOwnEnd(std::size_t index) {
    if (this->machines[index]->endedByItself() && this->reported.insert(index).second)
      this->fail("process " + std::to_string(index) +
                 " ended by itself: " + this->machines[index]->ownEnd());
  }

  /// Whether so many other machines with a disk are lost, cut off or still catching up that no more
  /// may be lost.
  bool noMoreMayBeLost(std::size_t except) {
    return this->lostDisks(except) >= this->size.toleratedLosses;
  }

  std::size_t lostDisks(std::optional<std::size_t> except) {
    std::size_t lost = 0;
    for (std::size_t index = 0; index < this->size.disks; ++index) {
      soak::Machine &machine = *this->machines[index];
      if (this->peers[index]->isHarmed())
        machine.upSince = Clock::now();
      if (index != except &&
          (!machine.isAlive() || machine.isPaused || machine.isTold || machine.isDiskHarmed ||
           Clock::now() - machine.upSince < this->size.catchUp))
        ++lost;
    }
    return lost;
  }

  void harm() {
    if (Clock::now() < this->nextFault)
      return;
    this->nextFault = Clock::now() + milliseconds(this->random.below(MaxPauseMs));
    ++this->faults;
    const std::size_t index = this->random.below(this->size.machines);
    const auto fault = static_cast<soak::LinkFault>(this->random.below(6));
    switch (this->random.below(8)) {
    case 0:
      this->fronts[index]->setFault(fault);
      return;
    case 1:
      this->workers[this->random.below(Workers)]->setFault(fault);
      return;
    case 2:
      // A cut loses nothing that is stored, so it may meet any other fault.
      this->peers[index]->setFault(fault);
      return;
    default:
      break;
    }
    if (this->random.below(25) == 0) {
      // All processes at once; their disks stay.
      for (std::size_t each = 0; each < this->size.machines; ++each) {
        this->machines[each]->kill();
        this->resumeAt[each] = Clock::now() + milliseconds(500);
      }
      return;
    }
    soak::Machine &machine = *this->machines[index];
    if (!machine.isAlive() || machine.isPaused || machine.isTold ||
        (machine.hasDisk && this->noMoreMayBeLost(index)))
      return;
    this->resumeAt[index] = Clock::now() + milliseconds(100 + this->random.below(MaxDownMs));
    switch (this->random.below(5)) {
    case 0:
      machine.kill();
      return;
    case 1:
      machine.signal(SIGSTOP);
      machine.isPaused = true;
      return;
    case 2:
      machine.isTold = true;
      machine.signal(SIGTERM);
      return;
    case 3:
      machine.signal(SIGHUP);
      return;
    default:
      machine.kill();
      machine.wipeDisk();
      return;
    }
  }

  void harmDisks() {
    const auto now = Clock::now();
    for (std::size_t index = 0; index < this->size.disks; ++index) {
      if (this->machines[index]->isDiskHarmed && now >= this->diskHealsAt[index])
        this->machines[index]->healDisk();
    }
    if (now < this->nextDiskFault)
      return;
    this->nextDiskFault = now + milliseconds(this->diskRandom.below(MaxDiskPauseMs));
    const std::size_t index = this->diskRandom.below(this->size.disks);
    const bool fills = this->diskRandom.below(3) != 0;
    const milliseconds time(200 + this->diskRandom.below(fills ? MaxFullMs : MaxHangMs));
    soak::Machine &machine = *this->machines[index];
    if (!machine.isAlive() || machine.isPaused || machine.isTold || machine.isDiskHarmed ||
        this->noMoreMayBeLost(index))
      return;
    ++this->faults;
    this->diskHealsAt[index] = now + time;
    if (fills)
      machine.fillDisk();
    else
      machine.hangDisk();
  }

  void heal() {
    for (std::size_t index = 0; index < this->size.disks; ++index)
      this->machines[index]->healDisk();
    for (const auto *links : {&this->fronts, &this->peers, &this->workers}) {
      for (const auto &link : *links)
        link->setFault(soak::LinkFault::None);
    }
    this->workerFaults.stopHarm();
    this->resumeAt.assign(this->size.machines, {});
    this->watch();
  }

  /// Makes the configuration and the log large, so that a wiped machine copies megabytes.
  void growLog() {
    this->extraRoutes = LargeRoutes;
    std::size_t changes = 0;
    const bool isGrown = this->eventually(
        [&] {
          while (changes < LargeChanges && this->configure())
            ++changes;
          return changes == LargeChanges;
        },
        SettleTime);
    if (!isGrown)
      this->fail("only " + std::to_string(changes) + " large configurations were acknowledged");
  }

  /// Right after a configuration was acknowledged, the tolerated number of disks is lost, and all
  /// machines lose power. The settings name the machines that lost their disks.
  void lastFault() {
    if (this->isLogLarge)
      this->growLog();
    const bool isWhole = this->eventually(
        [this] { return this->lostDisks(std::nullopt) == 0 && this->configure(); }, SettleTime);
    if (!isWhole) {
      this->fail("no configuration was acknowledged before the last fault");
      return;
    }
    std::vector<std::size_t> disks(this->size.disks);
    std::iota(disks.begin(), disks.end(), std::size_t(0));
    this->seeds = {this->machines.back()->seedAddress()};
    const auto struck = Clock::now();
    for (std::size_t index = 0; index < this->size.machines; ++index)
      this->setLinks(index, soak::LinkFault::Unpowered);
    for (const auto &machine : this->machines)
      machine->signal(SIGKILL);
    for (const auto &machine : this->machines)
      machine->kill();
    for (std::size_t left = this->size.toleratedLosses; left > 0; --left) {
      const auto chosen =
          disks.begin() + static_cast<std::ptrdiff_t>(this->lastFaultRandom.below(disks.size()));
      this->machines[*chosen]->wipeDisk();
      this->seeds.push_back(this->machines[*chosen]->seedAddress());
      disks.erase(chosen);
    }
    for (Clock::time_point &resume : this->resumeAt)
      resume = struck + milliseconds(this->lastFaultRandom.below(MaxLastDownMs));
    ++this->faults;
    if (!this->eventually([this] { return this->allMachinesAreBack(); }, SettleTime))
      this->fail("not every process was back after the last fault");
    // Its open connections are silent.
    this->client = std::move(http::Client::start().value());
    this->checkEveryDaemon();
  }

  void setLinks(std::size_t index, soak::LinkFault fault) {
    this->fronts[index]->setFault(fault);
    this->peers[index]->setFault(fault);
  }

  bool allMachinesAreBack() {
    bool areBack = true;
    for (std::size_t index = 0; index < this->size.machines; ++index) {
      if (this->machines[index]->isAlive())
        this->setLinks(index, soak::LinkFault::None);
      else
        areBack = false;
    }
    return areBack;
  }

  /// Each daemon has to answer within the recovery time from now.
  void checkEveryDaemon() {
    const auto back = Clock::now();
    const std::string job = this->jobs.empty() ? "" : this->jobs.rbegin()->first;
    const int version = this->acknowledged;
    std::vector<std::future<std::optional<milliseconds>>> answers;
    for (std::size_t index = 0; index < this->size.machines; ++index)
      answers.push_back(std::async(std::launch::async, [this, index, back, &job, version] {
        return this->timeToAnswer(index, back, job, version);
      }));
    this->eventually(
        [&answers] {
          return std::all_of(answers.begin(), answers.end(), [](const auto &answer) {
            return answer.wait_for(seconds(0)) == std::future_status::ready;
          });
        },
        this->size.recovery + SettleTime);
    milliseconds longest(0);
    std::size_t slowest = 0;
    for (std::size_t index = 0; index < this->size.machines; ++index) {
      const std::optional<milliseconds> time = answers[index].get();
      if (!time)
        this->fail("daemon " + std::to_string(index) + " did not answer after the last fault");
      else if (*time >= longest)
        std::tie(longest, slowest) = std::tie(*time, index);
    }
    std::printf("slowest answer after the last fault: daemon %zu, %lld ms; %s log\n", slowest,
                static_cast<long long>(longest.count()), this->isLogLarge ? "large" : "small");
  }

  /// From `back` until the daemon has read the configuration and the job; nothing: it took too
  /// long. Thread-safe.
  std::optional<milliseconds> timeToAnswer(std::size_t index, Clock::time_point back,
                                           const std::string &job, int version) const {
    const auto ownClient = std::move(http::Client::start().value());
    bool isConfigured = false;
    bool isJobKnown = job.empty();
    while (true) {
      isConfigured =
          isConfigured ||
          isVersion(this->callControlOf(index, *ownClient, "GET", "/v1/config"), version);
      if (!isJobKnown) {
        const http::CallResult result = call(*ownClient, "127.0.0.1", this->fronts[index]->port(),
                                             "GET", "/q/" + job, {}, this->keyOf(job));
        isJobKnown = result.verdict == base::Verdict::Ran && result.response.status == 200;
      }
      const auto taken = std::chrono::duration_cast<milliseconds>(Clock::now() - back);
      if (taken > this->size.recovery)
        return std::nullopt;
      if (isConfigured && isJobKnown)
        return taken;
      std::this_thread::sleep_for(ProbePause);
    }
  }

  /// Whether it is an answer with this version of the configuration or a newer one.
  static bool isVersion(const http::CallResult &result, int version) {
    return result.verdict == base::Verdict::Ran && result.response.status == 200 &&
           json::parse(result.response.body).value("Version", 0) >= version;
  }

  const CellSize size;
  base::RandomSource random;
  base::RandomSource diskRandom;
  base::RandomSource lastFaultRandom;
  base::RandomSource taskRandom;
  base::RandomSource keyRandom;
  const bool hasWorkspaces;
  soak::Keys keys;
  const bool isLogLarge; ///< Before the last fault.
  std::filesystem::path folder;
  platform::test::FakePlatform users{Workers};
  std::vector<std::unique_ptr<soak::Machine>> machines;
  std::vector<std::unique_ptr<soak::Proxy>> fronts;
  std::vector<std::unique_ptr<soak::Proxy>> peers;
  std::vector<std::unique_ptr<soak::Proxy>> workers;
  soak::WorkerFaults workerFaults;
  std::vector<std::string> seeds;
  std::uint16_t control = 0;
  std::unique_ptr<http::Client> client;
  std::map<std::string, AcceptedJob> jobs;
  std::vector<Clock::time_point> resumeAt;
  std::vector<Clock::time_point> diskHealsAt;
  Clock::time_point nextDiskFault = Clock::now() + seconds(2);
  Clock::time_point nextFault = Clock::now() + seconds(2);
  Clock::time_point nextLongJob = Clock::now();
  std::set<std::size_t> reported;
  std::vector<std::string> broken;
  std::size_t faults = 0;
  std::size_t lastJob = 0;
  std::size_t nextWorker = 0;
  std::size_t extraRoutes = 0;
  int lastVersion = 0;
  int acknowledged = 0;
  Clock::time_point acknowledgedAt = Clock::now();
};

bool readNumber(const std::string &text, std::uint64_t &value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

} // namespace

int main(int argc, char **argv) {
  std::uint64_t seed = 0;
  std::uint64_t duration = 0;
  const std::map<std::string, CellSize> sizes = {
      {"", SmallCell}, {"workers", WorkersCell}, {"grown", GrownCell}, {"deployed", DeployedCell}};
  const auto size = sizes.find(argc == 5 ? argv[4] : "");
  if (argc < 4 || argc > 5 || size == sizes.end() || !readNumber(argv[1], seed) ||
      !readNumber(argv[2], duration)) {
    std::fprintf(stderr, "usage: soak SEED SECONDS PROGRAM [workers|grown|deployed]\n");
    return 2;
  }
  return Soak(seed, argv[3], size->second).run(seconds(duration));
}
