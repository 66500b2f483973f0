// The machines of the soak: one process of the daemon each, on an address of its own.
#pragma once

#include <chrono>
#include <filesystem>
#include <string>
#include <sys/types.h>
#include <vector>

namespace banyanrill::soak {

struct Ports {
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t peer = 0; ///< The next one serves metrics.
};

/// Not thread-safe.
class Machine {
public:
  Machine(std::string daemonProgram, std::filesystem::path ownFolder, std::size_t number,
          bool withDisk, Ports allPorts, std::string advisoryService);
  ~Machine();
  Machine(const Machine &) = delete;
  Machine &operator=(const Machine &) = delete;

  void start(const std::vector<std::string> &seeds, bool firstStart);
  void signal(int number) const;
  /// Whether the process runs; notices its end.
  bool isAlive();
  void kill();
  void wipeDisk() const;

  std::string ip() const;
  /// Where other machines find it: a proxy before its peer listener.
  std::string peerIp() const;
  /// As other machines are told it; their adapter takes only the address from it.
  std::string seedAddress() const;
  /// Whether it has ended without being killed or told to stop.
  bool endedByItself() const { return this->unexpectedEnd; }

  const bool hasDisk;
  bool isTold = false; ///< Has been told to stop.
  bool isPaused = false;
  std::chrono::steady_clock::time_point upSince; ///< Of the process, or since it was woken.

private:
  std::string program;
  std::filesystem::path folder;
  std::size_t index;
  Ports ports;
  std::string advice;
  pid_t pid = 0;
  bool unexpectedEnd = false;
};

} // namespace banyanrill::soak
