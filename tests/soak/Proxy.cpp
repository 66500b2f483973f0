#include "Proxy.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <deque>
#include <fcntl.h>
#include <list>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace banyanrill::soak {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds Delay(150);
constexpr int PollMs = 10;

struct Chunk {
  Clock::time_point due;
  std::string bytes;
};

/// One direction of a connection.
struct Stream {
  int from = -1;
  int to = -1;
  std::deque<Chunk> waiting;
  bool ended = false;
};

struct Connection {
  Stream request;
  Stream answer;
  bool isSilent = false;
  bool isBroken = false;
};

sockaddr_in addressOf(const std::string &host, std::uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

void closeBoth(const Connection &connection, bool withReset) {
  for (const int descriptor : {connection.request.from, connection.request.to}) {
    const linger now = {1, 0};
    if (withReset)
      setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(descriptor);
  }
}

/// Reads what is there. False: the connection has failed.
bool receive(Stream &stream, bool isDelayed) {
  std::array<char, 16384> buffer;
  const ssize_t count = recv(stream.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count > 0)
    stream.waiting.push_back({Clock::now() + (isDelayed ? Delay : Delay * 0),
                              std::string(buffer.data(), static_cast<std::size_t>(count))});
  else if (count == 0)
    stream.ended = true;
  return count >= 0 || errno == EAGAIN;
}

/// Sends what is due. False: the connection has ended.
bool forward(Stream &stream) {
  while (!stream.waiting.empty() && stream.waiting.front().due <= Clock::now()) {
    std::string &bytes = stream.waiting.front().bytes;
    const ssize_t count = send(stream.to, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0)
      return errno == EAGAIN;
    bytes.erase(0, static_cast<std::size_t>(count));
    if (bytes.empty())
      stream.waiting.pop_front();
  }
  return !stream.ended || !stream.waiting.empty();
}

} // namespace

Proxy::Proxy(const std::string &listenAddress, std::uint16_t port, std::string serverAddress,
             std::uint16_t serverPort)
    : address(std::move(serverAddress)), target(serverPort) {
  this->listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in own = addressOf(listenAddress, port);
  bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own);
  listen(this->listener, SOMAXCONN);
  socklen_t length = sizeof own;
  getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &length);
  this->listenPort = ntohs(own.sin_port);
  this->thread = std::thread([this] { this->run(); });
}

Proxy::~Proxy() {
  this->stopping = true;
  this->thread.join();
  close(this->listener);
}

void Proxy::run() {
  std::list<Connection> connections;
  LinkFault last = LinkFault::None;
  while (!this->stopping) {
    const LinkFault current = this->fault;
    std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
    for (const Connection &connection : connections) {
      if (connection.isSilent)
        continue;
      polled.push_back({connection.request.from, POLLIN, 0});
      polled.push_back({connection.request.to, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), PollMs);
    if ((polled[0].revents & POLLIN) != 0) {
      const int caller = accept(this->listener, nullptr, nullptr);
      const int server = socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in remote = addressOf(this->address, this->target);
      if (connect(server, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) == 0) {
        connections.push_back({{caller, server, {}, false}, {server, caller, {}, false}});
      } else if (this->fault == LinkFault::Unpowered) {
        connections.push_back({{caller, server, {}, false}, {server, caller, {}, false}, true});
      } else {
        close(caller);
        close(server);
      }
    }
    const bool isNew = current != last;
    last = current;
    const bool isReset = this->isBreaking.exchange(false) || (isNew && current == LinkFault::Reset);
    for (Connection &connection : connections) {
      connection.isSilent = connection.isSilent || (isNew && current == LinkFault::Silent);
      connection.isBroken = isReset;
      if (connection.isSilent || connection.isBroken)
        continue;
      const bool isDelayed = current == LinkFault::Delayed;
      bool isOpen = receive(connection.request, isDelayed) && receive(connection.answer, isDelayed);
      if (current != LinkFault::NoRequests)
        isOpen = isOpen && forward(connection.request);
      if (current != LinkFault::NoAnswers)
        isOpen = isOpen && forward(connection.answer);
      // Read again: the fault is set before the processes end.
      if (!isOpen && this->fault == LinkFault::Unpowered)
        connection.isSilent = true;
      else
        connection.isBroken = connection.isBroken || !isOpen;
    }
    connections.remove_if([&](const Connection &connection) {
      if (connection.isBroken)
        closeBoth(connection, isReset || current == LinkFault::Reset);
      return connection.isBroken;
    });
  }
  for (const Connection &connection : connections)
    closeBoth(connection, true);
}

} // namespace banyanrill::soak
