// Crowds of clients that are not trusted, against one daemon with lowered limits. Checked are that
// the process lives, that its resident memory stays under a bound during and after each crowd, that
// its descriptors do, and that an ordinary request is answered afterwards; no times. The lowered
// limits make a crowd of some dozens to hundreds of connections as harmful as one of thousands.
//
// Usage: crowd DAEMON CASE [LISTENER]; without a listener, all three one after another.
#include "CrowdDaemon.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace banyanrill::crowd;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;

/// `Limits.MemoryMb` of the daemon, and the bound of its resident memory during a crowd. It needs
/// about 14 MB when idle.
constexpr std::size_t MemoryMb = 64;

/// Bound of the resident memory when a crowd has gone.
constexpr std::size_t RestMb = 40;

/// `Limits.FileDescriptors` where the crowd is about memory, and where it is about descriptors.
constexpr std::size_t ManyDescriptors = 4100;
constexpr std::size_t FewDescriptors = 400;

constexpr int Crowds = 3;

/// A crowd that has sent what it can is watched for this long.
constexpr std::chrono::milliseconds HoldTime(500);

/// A crowd that sends nothing more for this long has sent what it can.
constexpr std::chrono::milliseconds StallTime(1500);

/// Longest crowd; one that is still sending then is ended.
constexpr std::chrono::seconds MaxCrowdTime(30);

/// Longest wait for the daemon to give memory back.
constexpr std::chrono::seconds MaxRestTime(20);

/// Bodies of the sizes that docs/hard-load.md permits, and as many of them as hold 80 to 96 MB. The
/// limits of the listeners are 1, 4 and 10 MiB.
struct Legal {
  std::size_t bytes;
  std::size_t connections;
};

Legal legalOf(Listener listener) {
  switch (listener) {
  case Listener::Callers:
    return {256 * KiB, 320};
  case Listener::Control:
    return {4 * MiB, 24};
  case Listener::Peers:
    return {8 * MiB, 12};
  }
  return {0, 0};
}

/// What every connection of a crowd sends: `once`, then `unit` again and again, then `end`.
struct Script {
  std::size_t connections = 0;
  std::string once;
  std::string unit;
  std::size_t units = 0;
  std::string end;
  std::size_t dripBytes = 0; ///< The last bytes are sent one by one, with pauses.
  std::size_t stopShort = 0; ///< Last bytes that are not sent.
  bool reads = true;
  std::size_t descriptors = ManyDescriptors;

  std::size_t size() const {
    return this->once.size() + this->unit.size() * this->units + this->end.size() - this->stopShort;
  }
};

std::string headOf(Listener listener, const std::string &more) {
  std::string line = "POST /peer";
  if (listener == Listener::Callers)
    line = "POST /q/00000000000000ff";
  if (listener == Listener::Control)
    line = "PUT /v1/config";
  return line + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + more + "\r\n";
}

Script withLength(Listener listener, std::size_t stopShort) {
  const Legal legal = legalOf(listener);
  Script script;
  script.connections = legal.connections;
  script.once = headOf(listener, "Content-Length: " + std::to_string(legal.bytes) + "\r\n");
  script.unit = std::string(KiB, 'x');
  script.units = legal.bytes / KiB;
  script.stopShort = stopShort;
  return script;
}

Script inChunks(Listener listener, std::size_t chunkBytes, std::size_t stopShort) {
  const Legal legal = legalOf(listener);
  Script script;
  script.connections = legal.connections;
  script.once = headOf(listener, "Transfer-Encoding: chunked\r\n");
  std::array<char, 16> size = {};
  std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
  script.unit = size.data() + std::string(chunkBytes, 'x') + "\r\n";
  script.units = legal.bytes / chunkBytes;
  script.end = "0\r\n\r\n";
  script.stopShort = stopShort;
  return script;
}

Script announcedOver(Listener listener) {
  Script script;
  script.connections = 40;
  script.once = headOf(listener, "Content-Length: 1073741824\r\n");
  script.unit = std::string(KiB, 'x');
  script.units = 8 * KiB;
  return script;
}

Script sentOver(Listener listener) {
  Script script = inChunks(listener, 32 * KiB, 0);
  script.connections = 24;
  script.units = 1024;
  return script;
}

Script drips(Listener listener) {
  Script script = withLength(listener, 0);
  constexpr std::size_t DripBytes = 40;
  script.dripBytes = DripBytes;
  script.stopShort = 1;
  return script;
}

Script silent(Listener /*listener*/) {
  Script script;
  script.connections = 600;
  script.descriptors = FewDescriptors;
  return script;
}

/// A head of `MaxHeaderBytes` nearly; its body does not come.
Script largeHeads(Listener listener) {
  constexpr std::size_t HeadBytes = 16000;
  Script script;
  script.connections = 1600;
  const std::string length = "Content-Length: 10\r\nCookie: ";
  const std::size_t rest = headOf(listener, length + "\r\n").size();
  script.once = headOf(listener, length + std::string(HeadBytes - rest, 'c') + "\r\n");
  return script;
}

/// As `largeHeads`, without the end of the head.
Script openHeads(Listener listener) {
  Script script = largeHeads(listener);
  script.connections = 3200;
  script.stopShort = 3;
  return script;
}

/// Requests whose answers nobody reads; those of the operators' listener have 3 MiB.
Script unread(Listener listener) {
  Script script;
  script.connections = 32;
  script.reads = false;
  if (listener == Listener::Control) {
    script.once = "GET /v1/config HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
    return script;
  }
  script.unit = headOf(listener, "Content-Length: 1\r\n") + 'x';
  script.units = 2000;
  return script;
}

using MakeScript = Script (*)(Listener);

const std::map<std::string, MakeScript> Cases = {
    {"length_short", [](Listener listener) { return withLength(listener, 1); }},
    {"length_whole", [](Listener listener) { return withLength(listener, 0); }},
    {"chunks_32k_short", [](Listener listener) { return inChunks(listener, 32 * KiB, 1); }},
    {"chunks_32k_whole", [](Listener listener) { return inChunks(listener, 32 * KiB, 0); }},
    {"chunks_16_short", [](Listener listener) { return inChunks(listener, 16, 1); }},
    {"announced_over", announcedOver},
    {"sent_over", sentOver},
    {"drips", drips},
    {"silent", silent},
    {"large_heads", largeHeads},
    {"open_heads", openHeads},
    {"unread_answers", unread},
};

/// The connections of one crowd.
class Crowd {
public:
  Crowd(const Script &what, std::uint16_t toPort) : script(what), port(toPort) {
    // Large pieces, so that the crowd itself needs little processor time.
    while (this->piece.size() < 64 * KiB && !this->script.unit.empty())
      this->piece += this->script.unit;
  }
  ~Crowd() {
    for (const Client &client : this->clients) {
      if (client.handle >= 0)
        close(client.handle);
    }
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  template <typename Observer> void run(Observer observe) {
    using Clock = std::chrono::steady_clock;
    constexpr int SmallBuffer = 4096;
    for (std::size_t index = 0; index < this->script.connections; ++index) {
      const int handle = connectTo(this->port, this->script.reads ? 0 : SmallBuffer);
      if (handle >= 0)
        fcntl(handle, F_SETFL, O_NONBLOCK);
      this->clients.push_back({handle, 0});
      if (index % 50 == 0)
        observe();
    }
    const Clock::time_point begin = Clock::now();
    Clock::time_point lastProgress = begin;
    // All but the last bytes of every connection first, so that all are held at once.
    for (const std::size_t goal :
         {this->script.size() - std::min(this->script.size(), this->script.dripBytes + 1),
          this->script.size() - this->script.dripBytes}) {
      while (Clock::now() - lastProgress < StallTime && Clock::now() - begin < MaxCrowdTime) {
        const Progress progress = this->advance(goal);
        if (progress.sent > 0)
          lastProgress = Clock::now();
        observe();
        if (progress.open == 0)
          break;
      }
    }
    for (std::size_t drip = this->script.dripBytes; drip > 0; --drip) {
      this->advance(this->script.size() - drip + 1);
      observe();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const Clock::time_point sent = Clock::now();
    while (Clock::now() - sent < HoldTime) {
      this->advance(this->script.size());
      observe();
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

private:
  struct Client {
    int handle = -1;
    std::size_t sent = 0;
  };

  struct Progress {
    std::size_t sent = 0;
    std::size_t open = 0; ///< Connections that have not reached the goal and were not closed.
  };

  std::string_view at(std::size_t position) const {
    const std::size_t unitsEnd =
        this->script.once.size() + this->script.unit.size() * this->script.units;
    if (position < this->script.once.size())
      return std::string_view(this->script.once).substr(position);
    if (position >= unitsEnd)
      return std::string_view(this->script.end).substr(position - unitsEnd);
    const std::size_t inUnits = position - this->script.once.size();
    return std::string_view(this->piece)
        .substr(inUnits % this->script.unit.size())
        .substr(0, unitsEnd - position);
  }

  Progress advance(std::size_t goal) {
    Progress progress;
    for (Client &client : this->clients) {
      if (client.handle < 0)
        continue;
      this->receive(client);
      if (client.handle < 0 || client.sent >= goal)
        continue;
      std::string_view next = this->at(client.sent);
      next = next.substr(0, goal - client.sent);
      const ssize_t count = send(client.handle, next.data(), next.size(), MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN) {
        close(std::exchange(client.handle, -1));
        continue;
      }
      if (count > 0) {
        client.sent += static_cast<std::size_t>(count);
        progress.sent += static_cast<std::size_t>(count);
      }
      if (client.sent < goal)
        ++progress.open;
    }
    if (progress.sent == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return progress;
  }

  void receive(Client &client) const {
    if (!this->script.reads)
      return;
    std::array<char, 4096> buffer = {};
    while (true) {
      const ssize_t count = recv(client.handle, buffer.data(), buffer.size(), 0);
      if (count > 0)
        continue;
      if (count == 0 || errno != EAGAIN)
        close(std::exchange(client.handle, -1));
      return;
    }
  }

  const Script &script;
  std::uint16_t port;
  std::string piece;
  std::vector<Client> clients;
};

bool isKept(bool condition, const char *rule) {
  if (!condition)
    std::printf("  BROKEN: %s\n", rule);
  return condition;
}

bool play(const std::string &program, const std::string &name, Listener listener) {
  static const std::array<const char *, 3> Names = {"callers", "control", "peers"};
  const char *listenerName = Names.at(static_cast<std::size_t>(listener));
  const Script script = Cases.at(name)(listener);
  CrowdDaemon daemon(program, {MemoryMb, script.descriptors});
  const bool hasLargeAnswers = name == "unread_answers" && listener == Listener::Control;
  if (!isKept(daemon.configure(1, hasLargeAnswers ? 3 * MiB : 0), "the daemon takes its settings"))
    return false;
  daemon.resetPeak();
  const std::size_t before = daemon.residentKb();
  std::size_t files = 0;
  std::size_t peak = 0;
  std::vector<std::size_t> after;
  bool kept = true;
  for (int crowd = 0; crowd < Crowds && daemon.isAlive(); ++crowd) {
    {
      Crowd clients(script, daemon.port(listener));
      std::chrono::steady_clock::time_point next;
      clients.run([&] {
        if (std::chrono::steady_clock::now() < next)
          return;
        next = std::chrono::steady_clock::now() + std::chrono::milliseconds(20);
        files = std::max(files, daemon.descriptors());
        peak = std::max(peak, daemon.peakKb());
      });
      peak = std::max(peak, daemon.peakKb());
    }
    const auto gone = std::chrono::steady_clock::now();
    while (daemon.isAlive() && daemon.residentKb() > RestMb * KiB &&
           std::chrono::steady_clock::now() - gone < MaxRestTime)
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    after.push_back(daemon.residentKb());
    peak = std::max(peak, daemon.peakKb());
  }
  const std::size_t rest = after.empty() ? 0 : *std::max_element(after.begin(), after.end());
  std::printf("%s %s: resident %zu MB before, %zu MB at most, %zu MB after a crowd; %zu files\n",
              name.c_str(), listenerName, before / KiB, peak / KiB, rest / KiB, files);
  kept = isKept(daemon.isAlive(), "the process lives") && kept;
  kept = isKept(peak <= MemoryMb * KiB, "resident memory during a crowd") && kept;
  kept = isKept(rest <= RestMb * KiB, "resident memory after a crowd") && kept;
  kept = isKept(files <= script.descriptors, "open descriptors") && kept;
  for (const Listener each : {Listener::Callers, Listener::Control, Listener::Peers})
    kept =
        isKept(daemon.isAlive() && daemon.answers(each), "an ordinary request is answered") && kept;
  std::fflush(stdout);
  return kept;
}

} // namespace

int main(int count, char **arguments) {
  if (count < 3 || Cases.count(arguments[2]) == 0) {
    std::fprintf(stderr, "usage: crowd DAEMON CASE [LISTENER]\ncases:");
    for (const auto &[name, make] : Cases)
      std::fprintf(stderr, " %s", name.c_str());
    std::fprintf(stderr, "\n");
    return 2;
  }
  rlimit files = {};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
  setrlimit(RLIMIT_NOFILE, &files);
  bool kept = true;
  for (const Listener listener : {Listener::Callers, Listener::Control, Listener::Peers}) {
    if (count > 3 && std::atoi(arguments[3]) != static_cast<int>(listener))
      continue;
    kept = play(arguments[1], arguments[2], listener) && kept;
  }
  return kept ? 0 : 1;
}
