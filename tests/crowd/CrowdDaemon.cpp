#include "CrowdDaemon.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace banyanrill::crowd {

namespace {

constexpr int Attempts = 150;
constexpr std::chrono::milliseconds AttemptPause(100);

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Returns the first of `count` adjoining ports that were free at the time of the call.
std::uint16_t freePorts(std::uint16_t count) {
  for (std::uint16_t first = static_cast<std::uint16_t>(20000 + getpid() % 8000);; first += count) {
    bool free = true;
    for (std::uint16_t port = first; port < first + count && free; ++port) {
      const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = loopback(port);
      free = bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
      close(handle);
    }
    if (free)
      return first;
  }
}

} // namespace

int connectTo(std::uint16_t port, int receiveBytes) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBytes > 0)
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
  const sockaddr_in address = loopback(port);
  if (connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
    close(handle);
    return -1;
  }
  return handle;
}

CrowdDaemon::CrowdDaemon(const std::string &program, Limits limits) {
  char name[] = "/tmp/banyanrill-crowd-XXXXXX";
  this->folder = mkdtemp(name);
  std::filesystem::create_directory(this->folder / "data");
  const std::uint16_t first = freePorts(static_cast<std::uint16_t>(this->ports.size()));
  for (std::size_t index = 0; index < this->ports.size(); ++index)
    this->ports[index] = static_cast<std::uint16_t>(first + index);
  const std::filesystem::path settings = this->folder / "settings";
  {
    std::ofstream file(settings);
    const auto at = [this](std::size_t index) {
      return "127.0.0.1:" + std::to_string(this->ports[index]) + '\n';
    };
    file << "NodeName=crowd\nZone=z\nRegion=r\nIp=127.0.0.1\nListenAddresses.Front=" << at(0)
         << "ListenAddresses.Control=" << at(1) << "InternalPortRange=" << this->ports[2] << ','
         << this->ports[3] << "\nListenAddresses.Ready=" << at(4) << "SeedNodes=" << at(1)
         << "Bootstrap=true\nFaultTolerance.Machines=0\nDataDirectory="
         << (this->folder / "data").string() << "\nLimits.MemoryMb=" << limits.memoryMb
         << "\nLimits.FileDescriptors=" << limits.descriptors << '\n';
  }
  const std::string variable = "BANYANRILL_SETTINGS=" + settings.string();
  const std::string log = this->folder / "log";
  std::string path = program;
  this->pid = fork();
  if (this->pid == 0) {
    const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char *const arguments[] = {path.data(), const_cast<char *>("--platform"), nullptr};
    char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
    execve(path.c_str(), arguments, environment);
    _exit(127);
  }
}

CrowdDaemon::~CrowdDaemon() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
  std::filesystem::remove_all(this->folder);
}

bool CrowdDaemon::isAlive() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid)
    this->pid = 0;
  return this->pid > 0;
}

std::uint16_t CrowdDaemon::port(Listener listener) const {
  return this->ports[static_cast<std::size_t>(listener)];
}

std::size_t CrowdDaemon::statusField(const std::string &name) const {
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, name.size() + 1, name + ':') == 0)
      return std::stoul(line.substr(name.size() + 1));
  }
  return 0;
}

std::size_t CrowdDaemon::residentKb() const { return this->statusField("VmRSS"); }

std::size_t CrowdDaemon::peakKb() const { return this->statusField("VmHWM"); }

void CrowdDaemon::resetPeak() const {
  std::ofstream("/proc/" + std::to_string(this->pid) + "/clear_refs") << "5";
}

std::size_t CrowdDaemon::descriptors() const {
  std::error_code code;
  const std::string files = "/proc/" + std::to_string(this->pid) + "/fd";
  std::size_t count = 0;
  for (const auto &entry : std::filesystem::directory_iterator(files, code)) {
    (void)entry;
    ++count;
  }
  return count;
}

int CrowdDaemon::statusOf(Listener listener, const std::string &request) const {
  const int handle = connectTo(this->port(listener));
  if (handle < 0)
    return 0;
  constexpr timeval Timeout = {3, 0};
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
  setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof Timeout);
  std::size_t sent = 0;
  while (sent < request.size()) {
    const ssize_t count = send(handle, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      break;
    sent += static_cast<std::size_t>(count);
  }
  std::string answer;
  std::array<char, 65536> buffer = {};
  while (answer.size() < 12) {
    const ssize_t count = recv(handle, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      break;
    answer.append(buffer.data(), static_cast<std::size_t>(count));
  }
  close(handle);
  return answer.size() < 12 ? 0 : std::atoi(answer.c_str() + 9);
}

bool CrowdDaemon::configure(int version, std::size_t padding) {
  const nlohmann::json body = {{"Version", version},
                               {"Routes",
                                {{{"Name", "q"},
                                  {"Host", "127.0.0.1"},
                                  {"PathPrefix", "/q/"},
                                  {"TimeoutMs", 3000},
                                  {"Service", "svc"},
                                  {"MaxAttempts", 2},
                                  {"Stretch", 2.0}}}},
                               {"Services", {{{"Name", "svc"}}}}};
  const std::string text = body.dump() + std::string(padding, ' ');
  const std::string request = "PUT /v1/config HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                              std::to_string(text.size()) + "\r\n\r\n" + text;
  for (int attempt = 0; attempt < Attempts; ++attempt) {
    if (this->statusOf(Listener::Control, request) == 200)
      return true;
    std::this_thread::sleep_for(AttemptPause);
  }
  return false;
}

bool CrowdDaemon::answers(Listener listener) {
  std::string request;
  int expected = 200;
  if (listener == Listener::Callers) {
    std::string job = std::to_string(++this->lastJob);
    job.insert(0, 16 - job.size(), '0');
    const std::string body =
        R"({"TaskSpec":"t","Steps":[{"Count":1,"Cpu":1000,"EstimatedMs":150}]})";
    request = "POST /q/" + job +
              " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " + std::to_string(body.size()) +
              "\r\n\r\n" + body;
  } else if (listener == Listener::Control) {
    request = "GET /v1/config HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  } else {
    // No message of a peer; it is read whole, and refused.
    request = "POST /peer HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 1\r\n\r\nx";
    expected = 400;
  }
  for (int attempt = 0; attempt < Attempts; ++attempt) {
    if (this->statusOf(listener, request) == expected)
      return true;
    std::this_thread::sleep_for(AttemptPause);
  }
  return false;
}

} // namespace banyanrill::crowd
