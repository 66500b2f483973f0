// One daemon as a process of its own, with lowered limits, and what the kernel tells of it.
#pragma once

#include <array>
#include <cstdint>
#include <filesystem>
#include <string>
#include <sys/types.h>

namespace banyanrill::crowd {

enum class Listener { Callers, Control, Peers };

struct Limits {
  std::size_t memoryMb = 0;
  std::size_t descriptors = 0;
};

/// Not thread-safe.
class CrowdDaemon {
public:
  CrowdDaemon(const std::string &program, Limits limits);
  ~CrowdDaemon();
  CrowdDaemon(const CrowdDaemon &) = delete;
  CrowdDaemon &operator=(const CrowdDaemon &) = delete;

  bool isAlive();
  std::uint16_t port(Listener listener) const;
  std::size_t residentKb() const;
  /// Since the last call of `resetPeak`.
  std::size_t peakKb() const;
  void resetPeak() const;
  std::size_t descriptors() const;

  /// Sets a configuration with one queue; `padding` blanks make it larger. False: not accepted.
  bool configure(int version, std::size_t padding);
  /// Sends one ordinary request of this listener until it is answered as in calm, at most for some
  /// seconds.
  bool answers(Listener listener);

private:
  int statusOf(Listener listener, const std::string &request) const;
  std::size_t statusField(const std::string &name) const;

  std::filesystem::path folder;
  std::array<std::uint16_t, 5> ports = {};
  pid_t pid = 0;
  int lastJob = 0;
};

/// Connects to a port of 127.0.0.1. -1: refused. With `receiveBytes` the kernel keeps no more of
/// the answer.
int connectTo(std::uint16_t port, int receiveBytes = 0);

} // namespace banyanrill::crowd
