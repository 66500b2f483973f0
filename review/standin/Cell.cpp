#include "Cell.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

Daemon::Daemon(std::string ownFolder, std::string ownName, std::string ownIp, bool withDisk,
               Ports allPorts)
    : folder(std::move(ownFolder)), daemonName(std::move(ownName)), ip(std::move(ownIp)),
      hasDisk(withDisk), ports(allPorts) {
  std::filesystem::create_directories(this->folder + "/data");
}

Daemon::~Daemon() { this->kill(); }

std::string Daemon::front() const { return this->ip + ':' + std::to_string(this->ports.front); }

std::string Daemon::control() const { return this->ip + ':' + std::to_string(this->ports.control); }

void Daemon::start(const std::vector<std::string> &seeds, bool bootstrap) {
  const std::string settings = this->folder + "/settings";
  {
    std::ofstream file(settings, std::ios::trunc);
    const auto at = [&](std::uint16_t port) { return this->ip + ':' + std::to_string(port); };
    file << "NodeName=" << this->daemonName << "\nRole=node\nMachineClass=front\n"
         << "Serves=front,control\nIp=" << this->ip << "\nZone=z1\nRegion=r1\nZones.z1=r1\n"
         << "ListenAddresses.Front=" << at(this->ports.front)
         << "\nListenAddresses.Ready=" << at(this->ports.ready)
         << "\nListenAddresses.Control=" << at(this->ports.control)
         << "\nInternalPortRange=" << this->ports.internal << ',' << this->ports.internal + 3
         << "\nBootstrap=" << (bootstrap ? "true" : "false")
         << "\nCountsAsLoss=" << (this->hasDisk ? "true" : "false")
         << "\nDiscovery=registry\nEntryPoint=vip\nHeartbeatMs=1500\n"
         << "Contracts=base,drain,config,cost,recover,sched\nFaultTolerance.Machines=1\n"
         << "Bounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\nBounds.CatchUpS=4\n"
         << "Bounds.DrainMs=2500\nBounds.GraceS=6\nBounds.ConfigApplyMs=2500\n"
         << "Bounds.RecoveryS=12\nBounds.HoldMaxMs=10000\nBounds.StopGraceMs=200\n"
         << "Bounds.GangTimeoutMs=3000\nBounds.cancel_ms=3000\nBounds.visible_ms=3000\n"
         << "Bounds.finish_s=14\nBounds.status_s=120\nconfig_mode=highest\nOrders=call\n"
         << "Advice=" << this->ip << ":1\nSeedNodes=";
    for (std::size_t seed = 0; seed < seeds.size(); ++seed)
      file << (seed > 0 ? "," : "") << seeds[seed];
    file << '\n';
    if (this->hasDisk)
      file << "DataDirectory=" << this->folder << "/data\n";
  }
  const std::string log = this->folder + "/log";
  const std::string variable = "BANYANRILL_SETTINGS=" + settings;
  this->pid = fork();
  if (this->pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL); // No daemon outlives the case.
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  char program[] = "target/banyanrilld";
  char option[] = "--platform";
  char *const arguments[] = {program, option, nullptr};
  char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
  execve(program, arguments, environment);
  _exit(127);
}

void Daemon::kill() {
  if (this->pid <= 0)
    return;
  ::kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->pid = 0;
}

bool Daemon::isAlive() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid)
    this->pid = 0;
  return this->pid > 0;
}

bool Daemon::leads() const {
  const std::string address = this->ip + ':' + std::to_string(this->ports.internal + 1);
  const CallResult result = call(address, "GET", "/metrics", "", 100);
  return result.body.find("banyanrill_leads 1") != std::string::npos;
}

Cell::Cell(const std::string &folder, Record &caseRecord) : record(caseRecord) {
  const std::string net = "127." + std::to_string(20 + getpid() % 200) + '.';
  std::set<std::string> addresses;
  for (std::size_t index = 0; index < Machines; ++index)
    addresses.insert(net + std::to_string(index) + ".1");
  const Ports ports{freePort(addresses), freePort(addresses), freePort(addresses),
                    freePort(addresses)};
  for (std::size_t index = 0; index < Machines; ++index) {
    const std::string name = "daemon-" + std::to_string(index);
    this->daemons.push_back(std::make_unique<Daemon>(
        folder + '/' + name, name, net + std::to_string(index) + ".1", index < Disks, ports));
  }
  for (std::size_t index = 0; index < Disks; ++index)
    this->seeds.push_back(this->daemons[index]->control());
}

bool Cell::start() {
  for (const std::unique_ptr<Daemon> &daemon : this->daemons)
    daemon->start(this->seeds, true);
  return this->waitForLeader(20000).has_value();
}

void Cell::restart(std::size_t index) { this->daemons.at(index)->start(this->seeds, false); }

std::optional<std::size_t> Cell::leader() const {
  for (std::size_t index = 0; index < Disks; ++index) {
    if (this->daemons[index]->isAlive() && this->daemons[index]->leads())
      return index;
  }
  return std::nullopt;
}

std::optional<std::size_t> Cell::waitForLeader(std::int64_t timeoutMs,
                                               std::optional<std::size_t> former) const {
  const std::int64_t deadline = nowMs() + timeoutMs;
  while (nowMs() < deadline) {
    const std::optional<std::size_t> found = this->leader();
    if (found && found != former)
      return found;
    sleepMs(10);
  }
  return std::nullopt;
}

std::vector<std::string> Cell::controls() const {
  std::vector<std::string> addresses;
  for (const std::unique_ptr<Daemon> &daemon : this->daemons)
    addresses.push_back(daemon->control());
  return addresses;
}

bool Cell::configure(std::int64_t version, int maxAttempts) {
  const json body = {{"Version", version},
                     {"Routes",
                      {{{"Name", "r-gauge"},
                        {"Host", Host},
                        {"PathPrefix", Prefix},
                        {"Kind", "unsafe"},
                        {"TimeoutMs", 3000},
                        {"TargetLatencyMs", 1200},
                        {"Priority", 0},
                        {"Service", Service},
                        {"MaxAttempts", maxAttempts},
                        {"Stretch", 4.0}}}},
                     {"Services",
                      {{{"Name", Service},
                        {"HealthPath", "/health"},
                        {"MaxConnections", 64},
                        {"Protocol", "h1"},
                        {"Tls", false},
                        {"AdmissionCheck", false},
                        {"Spare", false}}}},
                     {"Limits",
                      {{"MaxHeaderBytes", 16384},
                       {"MaxBodyBytes", 262144},
                       {"HeaderTimeoutMs", 3000},
                       {"IdleTimeoutMs", 15000}}}};
  for (std::size_t attempt = 0; attempt < 30; ++attempt) {
    const std::string control = this->daemons[attempt % Machines]->control();
    const CallResult result = callAndFollow(control, "PUT", "/v1/config", body.dump(), 1000);
    this->record.line("config " + std::to_string(version) + " at " + control + " answer " +
                      std::to_string(result.status));
    if (result.status == 200)
      return true;
    sleepMs(200);
  }
  return false;
}

std::string Cell::frontAt(std::size_t attempt) const {
  return this->daemons[attempt % Machines]->front();
}

int Cell::submit(const std::string &job, const json &body, std::int64_t timeoutMs) {
  const std::int64_t deadline = nowMs() + timeoutMs;
  std::size_t attempt = randomBelow(Machines);
  int status = 0;
  while (nowMs() < deadline) {
    const CallResult result =
        call(this->frontAt(attempt++), "POST", Prefix + job, body.dump(), 2000, Host);
    status = result.status;
    this->record.line("submit " + job + " answer " + std::to_string(status));
    if (status != 0 && status < 500 && status != 429)
      return status;
    sleepMs(100);
  }
  return status;
}

std::string Cell::stateOf(const std::string &job) {
  const CallResult result =
      call(this->frontAt(randomBelow(Machines)), "GET", Prefix + job, "", 2000, Host);
  if (result.status == 410)
    return "gone";
  const json body = json::parse(result.body, nullptr, false);
  return result.status == 200 && body.is_object() ? body.value("State", "") : "";
}

int Cell::cancel(const std::string &job, std::int64_t timeoutMs) {
  const std::int64_t deadline = nowMs() + timeoutMs;
  std::size_t attempt = randomBelow(Machines);
  int status = 0;
  while (nowMs() < deadline) {
    status = call(this->frontAt(attempt++), "DELETE", Prefix + job, "", 2000, Host).status;
    this->record.line("cancel " + job + " answer " + std::to_string(status));
    if (status / 100 == 2 || status == 410)
      return status;
    sleepMs(100);
  }
  return status;
}

json jobOf(int tasks, std::int64_t durationMs, std::int64_t cpu, bool gang) {
  json step = {{"Count", tasks}, {"Cpu", cpu}, {"MemMb", 256}, {"EstimatedMs", durationMs}};
  if (gang)
    step["Gang"] = true;
  return {{"TaskSpec", std::to_string(durationMs)}, {"Steps", json::array({step})}};
}

} // namespace review
