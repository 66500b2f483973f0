// Blocking HTTP client for command-line programs.
#pragma once

#include "banyanrill/http/Loop.h"

namespace banyanrill::http {

/// Runs a client-only event loop. All member functions are thread-safe.
class Client {
public:
  /// Errors: Unavailable.
  static base::Result<std::unique_ptr<Client>> start();
  ~Client();

  /// Sends a request and waits for its result, at most the call's timeout.
  CallResult call(Call call);

private:
  struct State;
  explicit Client(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

} // namespace banyanrill::http
