// Many workers and upstream instances in one process.
#pragma once

#include "Journal.h"
#include "Worker.h"

#include "banyanrill/base/Mailbox.h"
#include "banyanrill/http/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace banyanrill::standins {

struct CellOptions {
  std::string name; ///< Prefix of the identifiers of workers and upstream instances.
  std::string listenAddress;
  std::vector<Address> entries;
  std::string dataCentre;
  std::size_t rackSize = 8;
  std::size_t workers = 0;
  std::size_t upstreams = 0; ///< Instance i runs on worker i modulo `workers`.
  base::Resources capacity;
  std::string team;
  std::string service;
  std::int32_t slots = 0;
  std::int32_t connections = 0;
  std::map<std::string, base::Duration> serviceTimes; ///< By operation.
  std::vector<std::size_t> failingWorkers;            ///< Every task that these start fails.
  base::Duration usageLag{};
  base::Duration drainTimeout{};
  base::Duration lateWatch{}; ///< Instances that have left stay open for this long.
  base::Duration latency{};   ///< One way, between an instance and its callers.
  std::uint64_t seed = 0;
  std::string journal;
};

/// Throws std::exception with the broken rule.
CellOptions readCellOptions(const nlohmann::json &config);

/// All member functions belong to one thread; the loop's thread only posts to the mailbox.
class Cell {
public:
  explicit Cell(CellOptions options);

  /// Runs until `stopping` returns true and the instances have left and finished their requests.
  void run(const std::function<bool()> &stopping);

private:
  struct Event {
    http::ExchangeId exchange = 0;
    http::Request request;
    http::CallId call = 0; ///< Zero: an exchange.
    http::CallResult result;
  };

  struct HostedWorker {
    Worker worker;
    base::Resources requests; ///< Demand of the requests in progress.
    http::CallId poll = 0;    ///< In flight; zero: none.
    base::TimePoint pollSent;
    base::TimePoint nextPoll;
    bool hasNews = false; ///< An ended task that no poll has carried yet.
  };

  struct Upstream {
    std::string id;
    std::size_t worker = 0;
    std::optional<Address> owner;
    std::string ownerToken; ///< Issued by the daemon at `owner`; empty: none.
    /// Requests in progress and their demand, by the token of the owner that dispatched them.
    std::map<std::string, std::pair<std::int32_t, base::Resources>> byToken;
    std::size_t nextEntry = 0;
    std::int32_t inProgress = 0;
    http::CallId call = 0; ///< Announcement or departure in flight.
    Address callAddress;
    base::TimePoint nextAnnouncement;
    bool departing = false; ///< The call in flight, or the latest one, is the departure.
    bool left = false;
    bool departureSent = false;
  };

  struct Execution {
    http::ExchangeId exchange = 0;
    std::size_t upstream = 0;
    std::string requestId;
    std::string key;
    std::string operation;
    std::string body;
    std::string ownerToken;
    base::Resources demand;
    base::TimePoint started;
  };

  using CallHandler = std::function<void(const http::CallResult &)>;

  void tick(base::TimePoint now);
  void drivePolls(std::size_t index, base::TimePoint now);
  void announce(std::size_t index, base::TimePoint now);
  nlohmann::json slowRequests(std::size_t index, base::TimePoint now) const;
  void onPollResult(std::size_t index, const http::CallResult &result);
  void onAnnounceResult(std::size_t index, const http::CallResult &result);
  void onRequest(http::ExchangeId exchange, const http::Request &request, base::TimePoint now);
  void finish(const Execution &execution, base::TimePoint now);
  void answerDue(base::TimePoint now);
  void record(std::size_t worker, const std::vector<TaskChange> &changes, base::TimePoint now);
  void checkWorker(std::size_t index, base::TimePoint now);
  void checkUpstream(const Upstream &upstream, base::TimePoint now);
  void reject(http::ExchangeId exchange, int status, const std::string &reason);
  http::CallId send(const Address &target, const std::string &method, const std::string &path,
                    const nlohmann::json &body, base::Duration timeout, CallHandler handler);
  bool isDrained() const;

  CellOptions options;
  Journal journal;
  base::RandomSource random;
  base::Mailbox<Event> mailbox;
  std::vector<HostedWorker> workers;
  std::vector<Upstream> upstreams;
  std::unordered_map<std::string, std::size_t> upstreamById;
  std::unordered_map<http::CallId, CallHandler> calls;
  std::multimap<base::TimePoint, Execution> executions; ///< By end.
  /// Answers on their way to the daemon, by arrival.
  std::multimap<base::TimePoint, std::pair<http::ExchangeId, http::Response>> answers;
  bool leaving = false;
  std::unique_ptr<http::Loop> loop; ///< Last: its thread uses the mailbox.
};

} // namespace banyanrill::standins
