#include "Http.h"

#include "Record.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const std::string &host, std::uint16_t port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
    throw std::runtime_error("not a numeric address: " + host);
  return address;
}

/// Waits until the socket is ready for `events`. Returns false at the deadline.
bool waitFor(int socket, short events, std::int64_t deadlineMs) {
  const std::int64_t left = deadlineMs - nowMs();
  pollfd entry = {socket, events, 0};
  return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int socket, const std::string &data, std::int64_t deadlineMs) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    if (!waitFor(socket, POLLOUT, deadlineMs))
      return false;
    const ssize_t count =
        ::send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

struct Head {
  std::string firstLine;
  std::map<std::string, std::string> headers;
};

Head parseHead(const std::string &text) {
  Head head;
  std::size_t position = text.find("\r\n");
  head.firstLine = text.substr(0, position);
  while (position != std::string::npos && position + 2 < text.size()) {
    const std::size_t start = position + 2;
    position = text.find("\r\n", start);
    const std::string line = text.substr(start, position - start);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    head.headers[lowerCase(line.substr(0, colon))] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  return head;
}

/// Reads one message with a Content-Length. `buffer` keeps what follows it.
std::optional<std::pair<Head, std::string>> readMessage(int socket, std::string &buffer,
                                                        std::int64_t deadlineMs) {
  const auto readMore = [&] {
    char piece[16384];
    if (!waitFor(socket, POLLIN, deadlineMs))
      return false;
    const ssize_t count = ::recv(socket, piece, sizeof piece, MSG_DONTWAIT);
    if (count <= 0)
      return false;
    buffer.append(piece, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!readMore())
      return std::nullopt;
    end = buffer.find("\r\n\r\n");
  }
  Head head = parseHead(buffer.substr(0, end));
  const auto length = head.headers.find("content-length");
  const std::size_t size =
      length == head.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
  while (buffer.size() < end + 4 + size) {
    if (!readMore())
      return std::nullopt;
  }
  std::string body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return std::make_pair(std::move(head), std::move(body));
}

constexpr std::int64_t Forever = std::int64_t(1) << 40;

} // namespace

Server::Server(const std::string &address, Handler requestHandler)
    : handler(std::move(requestHandler)) {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in own = socketAddress(address, 0);
  socklen_t size = sizeof own;
  if (::bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0 ||
      ::listen(this->listener, 256) != 0 ||
      ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size) != 0)
    throw std::runtime_error("cannot listen on " + address);
  this->listenPort = ntohs(own.sin_port);
  this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server() {
  this->stopping = true;
  this->acceptor.join();
  ::close(this->listener);
  for (const int filler : this->fillers)
    ::close(filler);
  {
    const std::lock_guard lock(this->mutex);
    for (const int connection : this->connections)
      ::shutdown(connection, SHUT_RDWR);
  }
  while (this->threads.load() > 0)
    sleepMs(1);
}

void Server::ignoreConnections() {
  this->ignoring = true;
  // With a full queue the system drops the opening packets.
  ::listen(this->listener, 0);
  sockaddr_in own = {};
  socklen_t size = sizeof own;
  ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size);
  constexpr int Fillers = 4;
  for (int index = 0; index < Fillers; ++index) {
    const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    ::connect(filler, reinterpret_cast<const sockaddr *>(&own), sizeof own);
    this->fillers.insert(filler);
  }
}

void Server::accept() {
  while (!this->stopping) {
    if (this->ignoring) {
      sleepMs(50);
      continue;
    }
    if (!waitFor(this->listener, POLLIN, nowMs() + 100))
      continue;
    const int connection = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0)
      continue;
    const int one = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    {
      const std::lock_guard lock(this->mutex);
      this->connections.insert(connection);
    }
    ++this->threads;
    std::thread([this, connection] {
      this->serve(connection);
      {
        const std::lock_guard lock(this->mutex);
        this->connections.erase(connection);
      }
      ::close(connection);
      --this->threads;
    }).detach();
  }
}

void Server::serve(int connection) {
  std::string buffer;
  while (!this->stopping) {
    auto message = readMessage(connection, buffer, Forever);
    if (!message)
      return;
    Request request;
    const std::string &line = message->first.firstLine;
    const std::size_t space = line.find(' ');
    request.method = line.substr(0, space);
    request.path = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    request.headers = std::move(message->first.headers);
    request.body = std::move(message->second);
    const Response response = this->handler(request);
    const std::string head = "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\ncontent-type: application/json\r\ncontent-length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n";
    if (!sendAll(connection, head + response.body, nowMs() + 5000))
      return;
  }
}

CallResult call(const std::string &address, const std::string &method, const std::string &path,
                const std::string &body, int timeoutMs, const std::string &host) {
  CallResult result;
  const std::int64_t deadline = nowMs() + timeoutMs;
  const std::size_t colon = address.rfind(':');
  const sockaddr_in target =
      socketAddress(address.substr(0, colon),
                    static_cast<std::uint16_t>(std::strtoul(&address[colon + 1], nullptr, 10)));
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int error = 0;
  socklen_t size = sizeof error;
  const bool connected =
      (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0 ||
       errno == EINPROGRESS) &&
      waitFor(socket, POLLOUT, deadline) &&
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  const std::string head =
      method + ' ' + path + " HTTP/1.1\r\nhost: " + (host.empty() ? address : host) +
      "\r\ncontent-type: application/json\r\nx-deadline-ms: " + std::to_string(timeoutMs) +
      "\r\nconnection: close\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n";
  std::string buffer;
  if (connected && sendAll(socket, head + body, deadline)) {
    if (auto message = readMessage(socket, buffer, deadline)) {
      result.status = static_cast<int>(std::strtol(
          message->first.firstLine.substr(std::min<std::size_t>(message->first.firstLine.size(), 9))
              .c_str(),
          nullptr, 10));
      result.body = std::move(message->second);
      result.location = message->first.headers["location"];
    }
  }
  ::close(socket);
  return result;
}

CallResult callAndFollow(const std::string &address, const std::string &method,
                         const std::string &path, const std::string &body, int timeoutMs) {
  CallResult result = call(address, method, path, body, timeoutMs);
  for (int hop = 0; hop < 2 && result.status == 307; ++hop) {
    const std::size_t start = result.location.find("://") + 3;
    const std::size_t slash = result.location.find('/', start);
    result = call(result.location.substr(start, slash - start), method,
                  result.location.substr(slash), body, timeoutMs);
  }
  return result;
}

Channel::Channel(const std::string &serverAddress) : address(serverAddress) {
  const std::size_t colon = this->address.rfind(':');
  const sockaddr_in target = socketAddress(
      this->address.substr(0, colon),
      static_cast<std::uint16_t>(std::strtoul(&this->address[colon + 1], nullptr, 10)));
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(this->socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
    throw std::runtime_error("cannot connect to " + this->address);
}

Channel::~Channel() { ::close(this->socket); }

bool Channel::send(const std::string &method, const std::string &path) {
  return sendAll(this->socket,
                 method + ' ' + path + " HTTP/1.1\r\nhost: " + this->address + "\r\n\r\n",
                 nowMs() + 1000);
}

std::uint16_t freePort(const std::set<std::string> &addresses) {
  constexpr int Lowest = 20000;
  constexpr int Count = 12000;
  while (true) {
    const auto port = static_cast<std::uint16_t>(Lowest + randomBelow(Count));
    bool isFree = true;
    for (const std::string &address : addresses) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in own = socketAddress(address, port);
      isFree = isFree && ::bind(socket, reinterpret_cast<const sockaddr *>(&own), sizeof own) == 0;
      ::close(socket);
    }
    if (isFree)
      return port;
  }
}

} // namespace review
