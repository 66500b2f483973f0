#include "banyanrill/http/Client.h"

#include <condition_variable>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace banyanrill::http {

struct Client::State {
  std::mutex mutex;
  std::condition_variable arrived;
  std::unordered_map<CallId, CallResult> results;
  std::unique_ptr<Loop> loop; ///< Last member: destroyed first, since its thread adds results.
};

Client::Client(std::shared_ptr<State> shared) : state(std::move(shared)) {}

Client::~Client() {
  // Ends the calls in progress. Each holds the state until it has taken its result.
  this->state->loop.reset();
}

base::Result<std::unique_ptr<Client>> Client::start() {
  auto state = std::make_shared<State>();
  LoopOptions options;
  options.serve = false;
  LoopHandlers handlers;
  handlers.onCallResult = [target = state.get()](CallId id, CallResult result) {
    {
      std::lock_guard lock(target->mutex);
      target->results.emplace(id, std::move(result));
    }
    target->arrived.notify_all();
  };
  auto loop = Loop::start(std::move(options), std::move(handlers));
  if (!loop)
    return loop.error();
  state->loop = std::move(loop.value());
  return std::unique_ptr<Client>(new Client(std::move(state)));
}

CallResult Client::call(Call call) {
  const std::shared_ptr<State> held = this->state;
  const CallId id = held->loop->call(std::move(call));
  std::unique_lock lock(held->mutex);
  held->arrived.wait(lock, [&held, id] { return held->results.count(id) != 0; });
  CallResult result = std::move(held->results.at(id));
  held->results.erase(id);
  return result;
}

} // namespace banyanrill::http
