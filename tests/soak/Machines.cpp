#include "Machines.h"

#include "Keys.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sys/ptrace.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace banyanrill::soak {

namespace {

/// An address on loopback of this process alone, so that several runs do not meet.
std::string addressIn(std::size_t machine, int host) {
  constexpr int FirstNet = 16;
  constexpr int Nets = 200;
  return "127." + std::to_string(FirstNet + getpid() % Nets) + '.' + std::to_string(machine) + '.' +
         std::to_string(host);
}

} // namespace

Machine::Machine(std::string daemonProgram, std::filesystem::path ownFolder, std::size_t number,
                 bool withDisk, Ports allPorts, std::string advisoryService,
                 std::size_t toleratedDiskLosses)
    : hasDisk(withDisk), program(std::move(daemonProgram)), folder(std::move(ownFolder)),
      index(number), ports(allPorts), advice(std::move(advisoryService)),
      toleratedLosses(toleratedDiskLosses) {
  std::filesystem::create_directories(this->folder / "data");
}

Machine::~Machine() {
  this->kill();
  this->joinLog();
}

std::string Machine::ip() const { return addressIn(this->index, 1); }

std::string Machine::peerIp() const { return addressIn(this->index, 2); }

std::string Machine::seedAddress() const {
  return this->peerIp() + ':' + std::to_string(this->ports.control);
}

void Machine::start(const std::vector<std::string> &seeds, bool firstStart) {
  const std::filesystem::path settings = this->folder / "settings";
  {
    std::ofstream file(settings);
    file << "NodeName=node-" << this->index << "\nZone=z" << this->index % 3
         << "\nRegion=r\nIp=" << this->ip() << "\nListenAddresses.Front=" << this->ip() << ':'
         << this->ports.front << "\nListenAddresses.Ready=" << this->ip() << ':'
         << this->ports.ready << "\nListenAddresses.Control=" << this->ip() << ':'
         << this->ports.control << "\nInternalPortRange=" << this->ports.peer << ','
         << this->ports.peer + 3 << "\nFaultTolerance.Machines=" << this->toleratedLosses
         << "\nBounds.StrictRevocation=true\nBounds.RevokeMs=" << RevocationTime.count()
         << "\nAdvice=" << this->advice << "\nBootstrap=" << (firstStart ? "true" : "false")
         << "\nSeedNodes=";
    for (std::size_t seed = 0; seed < seeds.size(); ++seed)
      file << (seed > 0 ? "," : "") << seeds[seed];
    file << '\n';
    if (this->hasDisk)
      file << "DataDirectory=" << (this->folder / "data").string() << '\n';
  }
  this->joinLog();
  std::array<int, 2> output = {-1, -1};
  if (pipe2(output.data(), O_CLOEXEC) != 0)
    return;
  std::string advertised = this->peerIp() + ':' + std::to_string(this->ports.peer);
  const std::string variable = "BANYANRILL_SETTINGS=" + settings.string();
  this->pid = fork();
  if (this->pid == 0) {
    dup2(output[1], STDOUT_FILENO);
    dup2(output[1], STDERR_FILENO);
    if (this->isDiskFull) {
      constexpr rlimit None = {0, RLIM_INFINITY};
      setrlimit(RLIMIT_FSIZE, &None);
    }
    char *const arguments[] = {this->program.data(), const_cast<char *>("--platform"),
                               const_cast<char *>("--advertise"), advertised.data(), nullptr};
    char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
    execve(this->program.c_str(), arguments, environment);
    _exit(127);
  }
  close(output[1]);
  this->logCopier = std::thread([this, input = output[0]] { this->copyLog(input); });
  this->isTold = false;
  this->isPaused = false;
  this->upSince = std::chrono::steady_clock::now();
}

void Machine::copyLog(int input) const {
  std::ofstream log(this->folder / "log", std::ios::binary | std::ios::app);
  std::array<char, 65536> buffer = {};
  while (true) {
    const ssize_t count = read(input, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR)
      continue;
    if (count <= 0)
      break;
    log.write(buffer.data(), count);
  }
  close(input);
}

void Machine::joinLog() {
  if (this->logCopier.joinable())
    this->logCopier.join();
}

void Machine::limitFiles(bool isFull) const {
  const rlimit limit = {isFull ? 0 : RLIM_INFINITY, RLIM_INFINITY};
  if (this->pid > 0)
    prlimit(this->pid, RLIMIT_FSIZE, &limit, nullptr);
}

void Machine::fillDisk() {
  this->isDiskHarmed = true;
  this->isDiskFull = true;
  this->limitFiles(true);
}

pid_t Machine::storageThread() const {
  // The daemon starts it first, before the loop of its connections.
  std::set<pid_t> threads;
  std::error_code code;
  const std::string tasks = "/proc/" + std::to_string(this->pid) + "/task";
  for (const auto &entry : std::filesystem::directory_iterator(tasks, code))
    threads.insert(static_cast<pid_t>(std::stol(entry.path().filename().string())));
  return threads.size() < 2 ? 0 : *std::next(threads.begin());
}

void Machine::hangDisk() {
  const pid_t thread = this->pid > 0 ? this->storageThread() : 0;
  if (thread == 0 || ptrace(PTRACE_SEIZE, thread, nullptr, nullptr) != 0)
    return;
  this->isDiskHarmed = true;
  this->hungThread = thread;
  ptrace(PTRACE_INTERRUPT, thread, nullptr, nullptr);
  int status = 0;
  waitpid(thread, &status, __WALL);
}

void Machine::healDisk() {
  if (std::exchange(this->isDiskFull, false))
    this->limitFiles(false);
  if (this->hungThread != 0 && ptrace(PTRACE_DETACH, this->hungThread, nullptr, nullptr) != 0) {
    int status = 0;
    waitpid(this->hungThread, &status, __WALL); // The process has ended.
  }
  this->hungThread = 0;
  this->isDiskHarmed = false;
  this->upSince = std::chrono::steady_clock::now();
}

void Machine::signal(int number) const {
  if (this->pid > 0)
    ::kill(this->pid, number);
}

bool Machine::isAlive() {
  if (this->pid <= 0)
    return false;
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) != this->pid)
    return true;
  this->pid = 0;
  const bool isClean = this->isTold && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  this->noteEnd(status, isClean);
  return false;
}

void Machine::kill() {
  if (this->pid <= 0)
    return;
  ::kill(this->pid, SIGKILL);
  int status = 0;
  // The end of a traced thread is reported first.
  if (const pid_t thread = std::exchange(this->hungThread, 0); thread != 0)
    waitpid(thread, &status, __WALL);
  waitpid(this->pid, &status, 0);
  this->pid = 0;
  const bool isKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  const bool isClean = this->isTold && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  this->noteEnd(status, isKilled || isClean);
}

void Machine::noteEnd(int status, bool isExpected) {
  if (isExpected || this->endedByItself())
    return;
  const auto upTime = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - this->upSince);
  this->unexpectedEnd = (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                             : "code " + std::to_string(WEXITSTATUS(status))) +
                        ", noticed after " + std::to_string(upTime.count()) + " ms";
}

void Machine::wipeDisk() const {
  std::filesystem::remove_all(this->folder / "data");
  std::filesystem::create_directories(this->folder / "data");
}

} // namespace banyanrill::soak
