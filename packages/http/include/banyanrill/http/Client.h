// Blocking HTTP client for command-line programs.
#pragma once

#include "banyanrill/http/Loop.h"

namespace banyanrill::http {

/// Runs a client-only event loop. All member functions are thread-safe.
class Client {
public:
  /// Errors: Unavailable.
  static base::Result<std::unique_ptr<Client>> start();
  /// Ends calls in progress, which return as MayHaveRun or DidNotRun. Precondition: no call begins
  /// any more.
  ~Client();

  /// Sends a request and waits for its result, at most the call's timeout.
  CallResult call(Call call);

private:
  struct State;
  explicit Client(std::shared_ptr<State> state);
  std::shared_ptr<State> state; ///< Shared with the calls in progress.
};

} // namespace banyanrill::http
