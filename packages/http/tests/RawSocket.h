// Plain sockets for tests: a caller that sends any bytes, and a stand-in for a server.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace banyanrill::http::test {

/// Owns a socket. Every read has a limit of 5 s, so that a fault ends the test.
class RawSocket {
public:
  explicit RawSocket(int descriptor) : fd(descriptor) {}
  RawSocket(RawSocket &&other) noexcept : fd(std::exchange(other.fd, -1)) {}
  RawSocket &operator=(RawSocket &&) = delete;
  ~RawSocket() { this->close(); }

  static RawSocket connectTo(std::uint16_t port) {
    RawSocket result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(result.fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
      result.close();
    return result;
  }

  void close() {
    if (this->fd >= 0)
      ::close(std::exchange(this->fd, -1));
  }

  bool send(std::string_view bytes) const {
    return ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  /// Reads until the received text contains `end`, or the peer closes, or the limit passes.
  std::string receiveUntil(std::string_view end,
                           std::chrono::milliseconds limit = std::chrono::seconds(5)) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::string received;
    this->closedByPeer = false;
    while (end.empty() || received.find(end) == std::string::npos) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          deadline - std::chrono::steady_clock::now());
      pollfd event = {this->fd, POLLIN, 0};
      if (left.count() <= 0 || ::poll(&event, 1, static_cast<int>(left.count())) <= 0)
        break;
      char buffer[16384];
      const ssize_t count = ::recv(this->fd, buffer, sizeof buffer, 0);
      if (count <= 0) {
        this->closedByPeer = true;
        break;
      }
      received.append(buffer, static_cast<std::size_t>(count));
    }
    return received;
  }

  std::string receiveAll() { return this->receiveUntil({}); }

  bool closedByPeer = false;
  int fd;
};

/// Accepts connections one after the other and runs the script for each.
class StandIn {
public:
  explicit StandIn(std::function<void(RawSocket &)> onConnection)
      : script(std::move(onConnection)),
        listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(this->listener.fd, reinterpret_cast<sockaddr *>(&address), size);
    ::listen(this->listener.fd, 16);
    ::getsockname(this->listener.fd, reinterpret_cast<sockaddr *>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->run(); });
  }

  ~StandIn() {
    this->stopping = true;
    this->thread.join();
  }

  std::uint16_t port = 0;
  std::atomic<int> connections = 0;
  std::atomic<int> requests = 0; ///< For the script's use.

private:
  void run() {
    while (!this->stopping) {
      pollfd event = {this->listener.fd, POLLIN, 0};
      if (::poll(&event, 1, 20) <= 0)
        continue;
      RawSocket accepted(::accept(this->listener.fd, nullptr, nullptr));
      ++this->connections;
      this->script(accepted);
    }
  }

  std::function<void(RawSocket &)> script;
  RawSocket listener;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

} // namespace banyanrill::http::test
