// Callers that send a seeded list of requests at an open-loop rate.
#pragma once

#include "Address.h"
#include "Journal.h"

#include "banyanrill/base/Mailbox.h"
#include "banyanrill/base/RandomSource.h"
#include "banyanrill/http/Loop.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanrill::standins {

struct CallerOperation {
  std::string name;
  bool repeatable = true;
  std::uint64_t weight = 1; ///< Share of the requests, in relation to the other operations.
  std::size_t bodyBytes = 0;
};

struct CallersOptions {
  std::vector<Address> entries;
  std::string team;
  std::string service;
  std::vector<CallerOperation> operations;
  double ratePerSecond = 0;
  base::Duration duration{};
  base::Duration timeout{};
  std::int64_t deadlineMs = 0;  ///< Sent as a header if it is not zero.
  double resendShare = 0;       ///< Of the requests that may not be repeated.
  base::Duration resendAfter{}; ///< Longest time between a request and its resend.
  std::uint64_t seed = 0;
  std::string output;
  bool planned = false;            ///< No connection may end without an answer; see Check.
  base::Duration healthInterval{}; ///< Entries that fail their health check are avoided; zero: off.
  std::optional<std::string> direct; ///< Upstream instance that listens at the entries itself.
};

/// Throws std::exception with the broken rule.
CallersOptions readCallersOptions(const nlohmann::json &config);

/// One request of the plan.
struct PlannedRequest {
  base::Duration at{}; ///< Since the start.
  std::size_t operation = 0;
  std::size_t entry = 0;
  std::string key;
  std::optional<std::int64_t> resendOf; ///< Number of the first request with this key.
};

/// All requests in the order in which they are sent; the same for the same options.
std::vector<PlannedRequest> planRequests(const CallersOptions &options);

/// Whether a complete answer belongs to the request. Empty if it has no body that could tell:
/// a refusal, or an outcome that was recorded without its body.
std::optional<bool> isOwnAnswer(const http::Response &response, const std::string &operation,
                                const std::string &sentBody, bool recorded);

/// Sends the plan, waits for all results and writes one line for each. Single use.
class Callers {
public:
  /// Throws std::runtime_error if the output or the client cannot be opened.
  explicit Callers(CallersOptions options);

  /// Returns the number of requests sent.
  std::size_t run();

private:
  struct Result {
    http::CallId call = 0;
    http::CallResult result;
    base::TimePoint received;
  };

  struct Open {
    std::size_t number = 0;
    std::string body;
    base::TimePoint sent;
    std::size_t entry = 0;
  };

  struct EntryHealth {
    bool healthy = true;
    http::CallId check = 0; ///< In flight; zero: none.
    base::TimePoint nextCheck;
  };

  void send(std::size_t number);
  void receive(base::TimePoint until);
  void checkEntries(base::TimePoint now);
  std::size_t healthyEntry(std::size_t planned) const;
  void write(const Open &open, const Result &result);

  CallersOptions options;
  std::vector<PlannedRequest> plan;
  Journal output;
  std::vector<EntryHealth> health;
  base::Mailbox<Result> mailbox;
  std::unordered_map<http::CallId, Open> open;
  std::unique_ptr<http::Loop> loop; ///< Last: its thread uses the mailbox.
};

} // namespace banyanrill::standins
