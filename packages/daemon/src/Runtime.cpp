#include "banyanrill/daemon/Runtime.h"

#include "banyanrill/base/Mailbox.h"
#include "banyanrill/daemon/Core.h"
#include "banyanrill/daemon/PeerTask.h"
#include "banyanrill/daemon/Replies.h"
#include "banyanrill/daemon/StorageTask.h"

#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>

namespace banyanrill::daemon {

namespace {

/// Events waiting for the core; beyond it requests get 503 and peers' messages are dropped.
constexpr std::size_t MailboxCapacity = 65536;

/// Granularity of all timers; it also bounds what an idle core costs.
constexpr base::Duration TickInterval = std::chrono::milliseconds(20);

std::int64_t wallClockMs() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::uint64_t systemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// All tasks of one daemon.
class Runtime {
public:
  explicit Runtime(const Config &settingsFile) : config(settingsFile), mailbox(MailboxCapacity) {}

  base::Status start();
  void run(const std::atomic<bool> &stopRequested);

  /// Ends the process. Closing nng 1.5.2 sockets that carry traffic sometimes blocks for ever, so
  /// they are left to the operating system.
  [[noreturn]] void exitProcess() {
    this->storage.reset();
    this->http.reset();
    base::logEvent(base::Event::DaemonStopped, {});
    std::_Exit(EXIT_SUCCESS);
  }

private:
  base::Status startStorage(std::optional<consensus::StoredState> &stored);
  base::Status startHttp();
  void execute(std::vector<Action> actions);
  void execute(SendMessage &action) { this->peers->send(action.to, std::move(action.body)); }
  void execute(RespondExchange &action) {
    this->http->respond(action.exchange, std::move(action.response));
  }
  void execute(StartCall &action);
  void execute(StoreBatch &action) { this->storage->post(std::move(action)); }
  void onCallResult(http::CallId call, http::CallResult result);
  void waitForFlush();

  const Config &config;
  base::Mailbox<CoreEvent> mailbox;
  std::unique_ptr<Core> core;
  std::unique_ptr<StorageTask> storage;
  std::unique_ptr<http::Loop> http;
  std::unique_ptr<PeerTask> peers;
  /// Results can arrive on the HTTP thread before `call` has returned its identifier here.
  std::mutex callsMutex;
  std::map<http::CallId, CallToken> calls;
  std::map<http::CallId, http::CallResult> earlyResults;
};

base::Status Runtime::startStorage(std::optional<consensus::StoredState> &stored) {
  base::Result<DataFolder> folder = openDataFolder(this->config);
  if (!folder)
    return folder.error();
  stored = std::move(folder.value().stored);
  this->storage = std::make_unique<StorageTask>(
      std::move(folder.value().store), [this] { return openDataFolder(this->config); },
      [this](CoreEvent event) { this->mailbox.post(std::move(event)); });
  return std::monostate{};
}

base::Status Runtime::startHttp() {
  http::LoopOptions options;
  options.listenAddress = this->config.self().address;
  options.port = this->config.self().httpPort;
  options.tls = this->config.tls;
  http::LoopHandlers handlers;
  handlers.onRequest = [this](http::ExchangeId exchange, http::Request request) {
    if (this->mailbox.post(RequestEvent{exchange, std::move(request)}))
      return;
    this->http->respond(exchange,
                        refusal(503, base::Verdict::DidNotRun,
                                {base::Errc::LimitReached, "", "the daemon is overloaded"}));
  };
  handlers.onDisconnect = [this](http::ExchangeId exchange) {
    this->mailbox.post(DisconnectEvent{exchange});
  };
  handlers.onCallResult = [this](http::CallId call, http::CallResult result) {
    this->onCallResult(call, std::move(result));
  };
  base::Result<std::unique_ptr<http::Loop>> loop =
      http::Loop::start(std::move(options), std::move(handlers));
  if (!loop)
    return loop.error();
  this->http = std::move(loop.value());
  return std::monostate{};
}

base::Status Runtime::start() {
  std::optional<consensus::StoredState> stored;
  if (this->config.self().replica) {
    if (const base::Status status = this->startStorage(stored); !status)
      return status.error();
  }
  base::Result<std::unique_ptr<Core>> created =
      Core::create(this->config, std::move(stored), systemSeed(),
                   static_cast<std::uint64_t>(wallClockMs()), base::steadyNow());
  if (!created)
    return created.error();
  this->core = std::move(created.value());
  base::Result<std::unique_ptr<PeerTask>> started =
      PeerTask::start(this->config, this->core->ownIncarnation(), [this](wire::Envelope envelope) {
        this->mailbox.post(PeerEvent{std::move(envelope)});
      });
  if (!started)
    return started.error();
  this->peers = std::move(started.value());
  return this->startHttp();
}

void Runtime::run(const std::atomic<bool> &stopRequested) {
  base::TimePoint nextTick = base::steadyNow();
  while (true) {
    this->core->reportPeerBytes(this->peers->bytesSent(), this->peers->bytesReceived());
    for (CoreEvent &event : this->mailbox.receive(nextTick))
      this->execute(this->core->handle(std::move(event), base::steadyNow(), wallClockMs()));
    if (stopRequested && !this->core->isStopping())
      this->execute(this->core->handle(StopEvent{}, base::steadyNow(), wallClockMs()));
    // After each round of events as well, so that commands are appended without waiting for the
    // timer.
    this->execute(this->core->tick(base::steadyNow(), wallClockMs()));
    nextTick = base::steadyNow() + TickInterval;
    if (this->core->isStopping() && this->core->finished())
      break;
  }
  this->waitForFlush();
}

void Runtime::waitForFlush() {
  constexpr base::Duration FlushTimeout = std::chrono::seconds(5);
  this->http->drain();
  const base::TimePoint deadline = base::steadyNow() + FlushTimeout;
  while (this->http->openExchanges() > 0 && base::steadyNow() < deadline)
    std::this_thread::sleep_for(TickInterval);
}

void Runtime::execute(std::vector<Action> actions) {
  for (Action &action : actions)
    std::visit([this](auto &typed) { this->execute(typed); }, action);
}

void Runtime::execute(StartCall &action) {
  const http::CallId call = this->http->call(std::move(action.call));
  std::lock_guard lock(this->callsMutex);
  const auto early = this->earlyResults.find(call);
  if (early == this->earlyResults.end()) {
    this->calls[call] = action.token;
    return;
  }
  this->mailbox.post(CallEvent{action.token, std::move(early->second)});
  this->earlyResults.erase(early);
}

void Runtime::onCallResult(http::CallId call, http::CallResult result) {
  std::lock_guard lock(this->callsMutex);
  const auto known = this->calls.find(call);
  if (known == this->calls.end()) {
    this->earlyResults[call] = std::move(result);
    return;
  }
  this->mailbox.post(CallEvent{known->second, std::move(result)});
  this->calls.erase(known);
}

} // namespace

base::Status runDaemon(const Config &config, const std::atomic<bool> &stopRequested) {
  Runtime runtime(config);
  if (const base::Status status = runtime.start(); !status)
    return status.error();
  base::logEvent(base::Event::DaemonStarted,
                 {{"cell", config.cell}, {"data_centre", config.self().dataCentre}});
  runtime.run(stopRequested);
  runtime.exitProcess();
}

} // namespace banyanrill::daemon
