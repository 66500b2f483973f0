// Calls to the first server that can answer.
#pragma once

#include "banyanrill/cli/Program.h"
#include "banyanrill/http/Client.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace banyanrill::cli {

struct Address {
  std::string host;
  std::uint16_t port = 0;
};

struct SessionOptions {
  std::vector<Address> servers; ///< Tried in this order.
  std::string token;            ///< Empty: none.
  std::string authority;        ///< PEM file; empty: no TLS.
  std::chrono::milliseconds timeout = std::chrono::seconds(10);
};

using Query = std::vector<std::pair<std::string, std::string>>;

/// Outcome of a call. `code` is ExitOk if and only if the status is 2xx.
struct Reply {
  ExitCode code = ExitOk;
  int status = 0; ///< 0: no answer.
  nlohmann::json body;
};

/// Parses "HOST:PORT" or "[HOST]:PORT" with a numeric host; port 0 if it is malformed.
Address parseAddress(const std::string &text);

/// Not thread-safe.
class Session {
public:
  Session(SessionOptions options, std::unique_ptr<http::Client> client, std::ostream &errors);

  /// Reads; any server may be asked again. Refusals are not yet reported, see `report`.
  /// `patience` is added to the time limit, for long polls.
  Reply get(const std::string &path, const Query &query,
            std::chrono::milliseconds patience = std::chrono::milliseconds::zero());

  /// Sends a change. The body carries the change identifier, so it is safe to send it again after a
  /// lost answer: the server returns the first outcome.
  Reply postChange(const nlohmann::json &body);

  /// Writes the reason of a failed reply to the error stream and returns its code.
  ExitCode report(const Reply &reply);

  /// Writes a message to the error stream and returns the code.
  ExitCode fail(ExitCode code, const std::string &message);

private:
  struct Attempt {
    base::Verdict verdict = base::Verdict::DidNotRun;
    Reply reply;
  };

  Attempt attempt(const Address &server, const http::Request &request,
                  std::chrono::milliseconds limit);

  SessionOptions options;
  std::unique_ptr<http::Client> client;
  std::ostream &errors;
  std::string lastFailure;
};

} // namespace banyanrill::cli
