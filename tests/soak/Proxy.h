// A TCP proxy on loopback that harms the connections through it.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace banyanrill::soak {

enum class LinkFault : int {
  None,
  Delayed,    ///< Bytes wait 150 ms.
  Reset,      ///< Open connections are reset; new ones work.
  NoAnswers,  ///< Bytes towards the caller are held back.
  NoRequests, ///< Bytes towards the server are held back.
  Silent,     ///< Open connections carry nothing any more, for good; new ones work.
  Unpowered,  ///< The end of a side is not passed on: the connection is silent for good. A
              ///< connection that the server does not take is silent as well.
};

/// Forwards one port of a loopback address to one server. All member functions are thread-safe.
class Proxy {
public:
  /// `port` 0: chosen by the kernel.
  Proxy(const std::string &listenAddress, std::uint16_t port, std::string serverAddress,
        std::uint16_t serverPort);
  ~Proxy();
  Proxy(const Proxy &) = delete;
  Proxy &operator=(const Proxy &) = delete;

  std::uint16_t port() const { return this->listenPort; }
  void setFault(LinkFault next) { this->fault = next; }
  /// Resets the connections that are open now, with all that they hold back.
  void breakConnections() { this->isBreaking = true; }
  bool isHarmed() const { return this->fault.load() != LinkFault::None; }

private:
  void run();

  std::string address;
  std::uint16_t target;
  int listener = -1;
  std::uint16_t listenPort = 0;
  std::atomic<LinkFault> fault = LinkFault::None;
  std::atomic<bool> isBreaking = false;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

} // namespace banyanrill::soak
