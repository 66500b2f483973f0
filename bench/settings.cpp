// Changes settings through random daemons and watches on every daemon when they become visible.
//
// bench_settings FILE with {"servers":["host:port"],"token":"...","writers":N,"changes":N,
// "interval_ms":N,"seconds":N,"prefix":"...","seed":N}. Each writer sets a number at a path of its
// own, one higher with each change, and sends a change again until it is accepted. It ends after
// `changes` per writer or, if that is 0, after `seconds`. Prints one line of JSON.
//
// bench_settings FILE catchup HOST:PORT REVISION prints the milliseconds until that daemon shows
// the revision.
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/base/Time.h"
#include "banyanrill/http/Client.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace banyanrill;
using nlohmann::json;

// A call to a paused daemon must not hide that another one accepts changes.
constexpr base::Duration AttemptTimeout = std::chrono::milliseconds(400);
// Bounds a run in which no daemon accepts anything.
constexpr base::Duration ChangeLimit = std::chrono::seconds(30);
// The limit within which a change must be in force everywhere.
constexpr base::Duration SettleLimit = std::chrono::seconds(13);
constexpr std::int64_t WatchMs = 1000;

struct Options {
  std::vector<std::pair<std::string, std::uint16_t>> servers;
  std::string token;
  std::string prefix;
  std::size_t writers = 1;
  std::int64_t changes = 0;
  base::Duration interval{};
  base::Duration length{};
  std::uint64_t seed = 1;
};

/// A change: its writer and its number.
using Key = std::pair<std::size_t, std::int64_t>;

std::pair<std::string, std::uint16_t> parseServer(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

Options readOptions(const std::string &file) {
  std::ifstream stream(file);
  const json config = json::parse(stream);
  Options options;
  for (const json &server : config.at("servers"))
    options.servers.push_back(parseServer(server.get<std::string>()));
  options.token = config.at("token").get<std::string>();
  options.prefix = config.value("prefix", std::string("bench"));
  options.writers = config.value("writers", std::size_t{1});
  options.changes = config.value("changes", std::int64_t{0});
  options.interval = std::chrono::milliseconds(config.value("interval_ms", 0));
  options.length = std::chrono::seconds(config.value("seconds", 0));
  options.seed = config.value("seed", std::uint64_t{1});
  return options;
}

class Bench {
public:
  Bench(Options settings, http::Client &sharedClient)
      : options(std::move(settings)), client(sharedClient), seen(this->options.servers.size()),
        latest(this->options.servers.size()) {}

  json run();

  json ask(std::size_t server, const std::string &method, const std::string &path,
           const std::string &query, const json &body, base::Duration timeout) {
    http::Call call;
    call.host = this->options.servers[server].first;
    call.port = this->options.servers[server].second;
    call.timeout = timeout;
    call.request.method = method;
    call.request.path = path;
    call.request.query = query;
    call.request.headers = {{"authorization", "Bearer " + this->options.token}};
    if (!body.is_null()) {
      call.request.headers.emplace_back("content-type", "application/json");
      call.request.body = body.dump();
    }
    const http::CallResult result = this->client.call(std::move(call));
    if (result.verdict != base::Verdict::Ran || result.response.status != 200)
      return nullptr;
    const json answer = json::parse(result.response.body, nullptr, false);
    return answer.is_object() ? answer : json(nullptr);
  }

private:
  std::string pathOf(std::size_t writer) const {
    return "/teams/bench/operations/" + this->options.prefix + ".w" + std::to_string(writer);
  }

  void write(std::size_t writer);
  void watch(std::size_t server);
  void observe(std::size_t server, const std::string &path, const json &value);
  bool settled();
  json report();

  Options options;
  http::Client &client;
  std::mutex mutex; ///< Guards the members below.
  std::map<Key, base::TimePoint> sent;
  std::map<Key, base::TimePoint> accepted;
  std::vector<std::map<Key, base::TimePoint>> seen;        ///< By server.
  std::vector<std::map<std::size_t, std::int64_t>> latest; ///< By server and writer.
  std::int64_t reverted = 0;
  std::int64_t firstRevision = 0;
  std::int64_t lastRevision = 0;
  std::atomic<bool> stopping{false};
};

void Bench::write(std::size_t writer) {
  base::RandomSource random(this->options.seed * 1000 + writer);
  const base::TimePoint start = base::steadyNow();
  for (std::int64_t number = 1;; ++number) {
    if (this->options.changes > 0 ? number > this->options.changes
                                  : base::steadyNow() - start >= this->options.length)
      return;
    const base::TimePoint begin = base::steadyNow();
    {
      const std::lock_guard lock(this->mutex);
      this->sent[{writer, number}] = begin;
    }
    const json value = {{"repeatable", true}, {"memory_mib", number}, {"millicores", 100}};
    const json body = {
        {"change_id", this->options.prefix + "-" + std::to_string(this->options.seed) + "-" +
                          std::to_string(writer) + "-" + std::to_string(number)},
        {"edits", json::array({{{"path", this->pathOf(writer)}, {"value", value}}})}};
    for (;;) {
      const std::size_t server = random.below(this->options.servers.size());
      const json answer = this->ask(server, "POST", "/v1/changes", "", body, AttemptTimeout);
      const base::TimePoint now = base::steadyNow();
      if (!answer.is_null()) {
        const std::lock_guard lock(this->mutex);
        this->accepted[{writer, number}] = now;
        this->lastRevision =
            std::max(this->lastRevision, answer.value("revision", std::int64_t{0}));
        break;
      }
      if (now - begin >= ChangeLimit)
        return;
      // Without a pause, refusals during an election would load all daemons.
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    std::this_thread::sleep_until(begin + this->options.interval);
  }
}

void Bench::observe(std::size_t server, const std::string &path, const json &value) {
  const std::string own = this->pathOf(0).substr(0, this->pathOf(0).size() - 1);
  if (path.rfind(own, 0) != 0 || !value.is_object())
    return;
  const std::size_t writer = std::stoull(path.substr(own.size()));
  const auto number = value.value("memory_mib", std::int64_t{0});
  std::int64_t &newest = this->latest[server][writer];
  if (number < newest)
    ++this->reverted;
  // A daemon that shows a newer value has applied the older changes too.
  const base::TimePoint now = base::steadyNow();
  for (std::int64_t shown = newest + 1; shown <= number; ++shown)
    this->seen[server].try_emplace({writer, shown}, now);
  newest = number;
}

void Bench::watch(std::size_t server) {
  std::int64_t revision = this->firstRevision;
  while (!this->stopping) {
    const json answer =
        this->ask(server, "GET", "/v1/changes",
                  "from=" + std::to_string(revision) + "&wait_ms=" + std::to_string(WatchMs),
                  nullptr, std::chrono::milliseconds(2 * WatchMs));
    if (!answer.is_null()) {
      const std::lock_guard lock(this->mutex);
      for (const json &change : answer.at("changes"))
        this->observe(server, change.at("path").get<std::string>(), change.at("value"));
      revision = std::max(revision, answer.at("revision").get<std::int64_t>());
      continue;
    }
    // The changes are beyond the daemon's history, or it does not answer.
    const json values = this->ask(server, "GET", "/v1/settings/teams/bench", "recursive=1", nullptr,
                                  AttemptTimeout);
    if (values.is_null()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    const std::lock_guard lock(this->mutex);
    for (const json &value : values.at("values"))
      this->observe(server, value.at("path").get<std::string>(), value.at("value"));
    // A daemon that is behind would otherwise be asked again at once.
    revision = std::max(revision, values.at("revision").get<std::int64_t>());
  }
}

/// Whether every accepted change has been seen on every daemon.
bool Bench::settled() {
  const std::lock_guard lock(this->mutex);
  return std::all_of(this->seen.begin(), this->seen.end(), [this](const auto &onServer) {
    return std::all_of(this->accepted.begin(), this->accepted.end(),
                       [&onServer](const auto &entry) { return onServer.count(entry.first) != 0; });
  });
}

json Bench::run() {
  for (std::size_t i = 0; i < this->options.servers.size() && this->firstRevision == 0; ++i) {
    const json answer =
        this->ask(i, "GET", "/v1/changes", "", nullptr, std::chrono::milliseconds(2 * WatchMs));
    if (!answer.is_null())
      this->firstRevision = answer.at("revision").get<std::int64_t>();
  }
  std::vector<std::thread> watchers;
  for (std::size_t i = 0; i < this->options.servers.size(); ++i)
    watchers.emplace_back([this, i] { this->watch(i); });
  std::vector<std::thread> writers;
  for (std::size_t i = 0; i < this->options.writers; ++i)
    writers.emplace_back([this, i] { this->write(i); });
  for (std::thread &writer : writers)
    writer.join();
  const base::TimePoint end = base::steadyNow() + SettleLimit;
  while (!this->settled() && base::steadyNow() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  this->stopping = true;
  for (std::thread &watcher : watchers)
    watcher.join();
  return this->report();
}

json quantile(const std::vector<double> &sorted, double share) {
  if (sorted.empty())
    return nullptr;
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

json Bench::report() {
  const std::lock_guard lock(this->mutex);
  const auto milliseconds = [](base::Duration time) {
    return std::round(std::chrono::duration<double, std::milli>(time).count() * 10) / 10;
  };
  std::vector<double> inForce;
  std::vector<double> fromSending;
  std::vector<base::TimePoint> acceptances;
  std::int64_t unseen = 0;
  std::map<std::size_t, std::int64_t> highest;
  for (const auto &[key, time] : this->accepted) {
    highest[key.first] = std::max(highest[key.first], key.second);
    acceptances.push_back(time);
    base::TimePoint visible = time; // A change can be visible before its writer has the answer.
    bool everywhere = true;
    for (const auto &onServer : this->seen) {
      const auto found = onServer.find(key);
      everywhere = everywhere && found != onServer.end();
      if (found != onServer.end())
        visible = std::max(visible, found->second);
    }
    if (!everywhere) {
      ++unseen;
      continue;
    }
    inForce.push_back(milliseconds(visible - time));
    fromSending.push_back(milliseconds(visible - this->sent.at(key)));
  }
  // A daemon that has a newer value of the path has not lost the older ones.
  json lost = this->accepted.empty() ? json(nullptr) : json(0);
  for (const auto &values : this->latest) {
    for (const auto &[writer, number] : highest) {
      const auto found = values.find(writer);
      if (found == values.end() || found->second < number)
        lost = lost.get<std::int64_t>() + 1;
    }
  }
  std::sort(inForce.begin(), inForce.end());
  std::sort(fromSending.begin(), fromSending.end());
  std::sort(acceptances.begin(), acceptances.end());
  base::Duration gap{};
  for (std::size_t i = 1; i < acceptances.size(); ++i)
    gap = std::max(gap, acceptances[i] - acceptances[i - 1]);
  const bool complete = this->accepted.size() == this->sent.size() && !this->accepted.empty();
  return {
      {"in_force_p50_ms", unseen == 0 ? quantile(inForce, 0.5) : json(nullptr)},
      {"in_force_p99_ms", unseen == 0 ? quantile(inForce, 0.99) : json(nullptr)},
      {"in_force_max_ms", unseen == 0 ? quantile(inForce, 1) : json(nullptr)},
      {"from_sending_p99_ms", unseen == 0 ? quantile(fromSending, 0.99) : json(nullptr)},
      {"changes", this->sent.size()},
      {"accepted", this->accepted.size()},
      {"not_seen_everywhere", unseen},
      {"lost", lost},
      {"reverted", this->accepted.empty() ? json(nullptr) : json(this->reverted)},
      {"max_gap_ms", complete && acceptances.size() > 1 ? json(milliseconds(gap)) : json(nullptr)},
      {"revision", this->lastRevision}};
}

/// Prints the time until the only server of the options shows the revision.
int catchUp(Bench &bench, std::int64_t revision) {
  const base::TimePoint start = base::steadyNow();
  constexpr base::Duration Limit = std::chrono::seconds(60);
  while (base::steadyNow() - start < Limit) {
    const json answer =
        bench.ask(0, "GET", "/v1/settings/none", "recursive=1", nullptr, AttemptTimeout);
    if (!answer.is_null() && answer.at("revision").get<std::int64_t>() >= revision) {
      const auto taken = base::steadyNow() - start;
      std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(taken).count() << '\n';
      return 0;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::cout << "null\n";
  return 1;
}

} // namespace

int main(int argc, char **argv) {
  constexpr int UsageError = 2;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const bool catching = arguments.size() == 4 && arguments[1] == "catchup";
  if (arguments.size() != 1 && !catching) {
    std::cerr << "usage: bench_settings FILE [catchup HOST:PORT REVISION]\n";
    return UsageError;
  }
  try {
    Options options = readOptions(arguments[0]);
    if (catching)
      options.servers = {parseServer(arguments[2])};
    auto client = http::Client::start();
    if (!client)
      throw std::runtime_error(client.error().message);
    Bench bench(std::move(options), *client.value());
    if (catching)
      return catchUp(bench, std::stoll(arguments[3]));
    std::cout << bench.run().dump() << '\n';
  } catch (const std::exception &error) {
    std::cerr << arguments[0] << ": " << error.what() << '\n';
    return UsageError;
  }
  return 0;
}
