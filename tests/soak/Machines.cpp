#include "Machines.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
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
                 bool withDisk, Ports allPorts, std::string advisoryService)
    : hasDisk(withDisk), program(std::move(daemonProgram)), folder(std::move(ownFolder)),
      index(number), ports(allPorts), advice(std::move(advisoryService)) {
  std::filesystem::create_directories(this->folder / "data");
}

Machine::~Machine() { this->kill(); }

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
         << this->ports.peer + 3 << "\nFaultTolerance.Machines=1\nAdvice=" << this->advice
         << "\nBootstrap=" << (firstStart ? "true" : "false") << "\nSeedNodes=";
    for (std::size_t seed = 0; seed < seeds.size(); ++seed)
      file << (seed > 0 ? "," : "") << seeds[seed];
    file << '\n';
    if (this->hasDisk)
      file << "DataDirectory=" << (this->folder / "data").string() << '\n';
  }
  const std::string log = (this->folder / "log").string();
  std::string advertised = this->peerIp() + ':' + std::to_string(this->ports.peer);
  const std::string variable = "BANYANRILL_SETTINGS=" + settings.string();
  this->pid = fork();
  if (this->pid == 0) {
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char *const arguments[] = {this->program.data(), const_cast<char *>("--platform"),
                               const_cast<char *>("--advertise"), advertised.data(), nullptr};
    char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
    execve(this->program.c_str(), arguments, environment);
    _exit(127);
  }
  this->isTold = false;
  this->isPaused = false;
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
  this->unexpectedEnd = this->unexpectedEnd || !isClean;
  return false;
}

void Machine::kill() {
  if (this->pid <= 0)
    return;
  ::kill(this->pid, SIGKILL);
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->pid = 0;
  const bool isKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  const bool isClean = this->isTold && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  this->unexpectedEnd = this->unexpectedEnd || !(isKilled || isClean);
}

void Machine::wipeDisk() const {
  std::filesystem::remove_all(this->folder / "data");
  std::filesystem::create_directories(this->folder / "data");
}

} // namespace banyanrill::soak
