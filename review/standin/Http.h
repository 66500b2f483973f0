// Small blocking HTTP/1.1 server and client for the stand-ins.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

/// One thread for each connection. The handler runs on these threads.
class Server {
public:
  using Handler = std::function<Response(const Request &)>;

  Server(const std::string &address, Handler requestHandler);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  std::uint16_t port() const { return this->listenPort; }

  /// From now on new connections get no answer at all, as from a machine that is cut off.
  void ignoreConnections();

private:
  void accept();
  void serve(int connection);

  Handler handler;
  int listener = -1;
  std::uint16_t listenPort = 0;
  std::atomic<bool> stopping = false;
  std::atomic<bool> ignoring = false;
  std::mutex mutex;
  std::set<int> connections;
  std::set<int> fillers; ///< Connections that keep the queue of the listener full.
  std::atomic<int> threads = 0;
  std::thread acceptor;
};

struct CallResult {
  int status = 0; ///< 0: no answer.
  std::string body;
  std::string location;
};

/// Sends one request on a connection of its own. `address` is host:port; `host` is the value of the
/// Host header, empty: the address.
CallResult call(const std::string &address, const std::string &method, const std::string &path,
                const std::string &body, int timeoutMs, const std::string &host = {});

/// The same, and follows up to two redirects.
CallResult callAndFollow(const std::string &address, const std::string &method,
                         const std::string &path, const std::string &body, int timeoutMs);

/// A connection that is opened first and carries one request later, without waiting for an answer.
class Channel {
public:
  explicit Channel(const std::string &serverAddress);
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  bool send(const std::string &method, const std::string &path);

private:
  std::string address;
  int socket = -1;
};

/// Returns a port that is free on all the addresses.
std::uint16_t freePort(const std::set<std::string> &addresses);

} // namespace review
