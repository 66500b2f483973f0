#include "banyanrill/http/Loop.h"

#include "CallTable.h"
#include "DeadlineQueue.h"
#include "DeferredFrees.h"
#include "Server.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <exception>
#include <fstream>
#include <libwebsockets.h>
#include <malloc.h>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

namespace banyanrill::http {

namespace {

/// Commands waiting for the loop. A sender that finds the queue full waits; the loop never waits
/// for a sender.
constexpr std::size_t MaxCommands = 16384;

/// Heads being parsed at once, in addition to those of open exchanges.
constexpr unsigned SpareHeads = 9216;

/// The library's own limit for steps of a connection, such as the end of a close. Server and
/// CallTable have timers of their own for callers and calls.
constexpr unsigned LibraryTimeoutSeconds = 15;

/// The library's own limit of an idle connection. Server clears it at once and has a timer of its
/// own; a short one is cheap to insert into the library's sorted list.
constexpr int LibraryKeepAliveSeconds = 1;

/// Buffer of libwebsockets for one read and for the head of an outgoing request.
constexpr unsigned ServiceBufferBytes = 64 * 1024;

/// Blocks of this size and more are mapped on their own, so that their memory is given back when
/// they are freed. glibc would raise its threshold to 32 MiB with the first large block that is
/// freed, and then 60 bodies of 4 MiB left 175 to 251 MB of fragments resident.
constexpr int MappedBlockBytes = 128 * 1024;

/// Creation and destruction of contexts touch global state of libwebsockets and OpenSSL.
std::mutex &contextMutex() {
  static std::mutex mutex;
  return mutex;
}

void logLibraryMessage(int /*level*/, const char *line) {
  std::string_view text = line;
  while (!text.empty() && (text.back() == '\n' || text.back() == ' '))
    text.remove_suffix(1);
  base::logEvent(base::Event::HttpLoopFailed, {{"message", std::string(text)}});
}

bool isReadable(const std::string &file) { return std::ifstream(file).good(); }

int roundUpToSeconds(base::Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
  return static_cast<int>(std::clamp<std::int64_t>(seconds, 1, 86400));
}

/// Runs one event. An exception costs that event only, never the process.
template <typename Function> bool runGuarded(const char *source, Function function) {
  try {
    function();
    return true;
  } catch (const std::exception &failure) {
    base::logEvent(base::Event::EventHandlerFailed,
                   {{"source", source}, {"message", failure.what()}});
    return false;
  }
}

/// Wraps the handlers, since exceptions must not pass through the frames of libwebsockets.
LoopHandlers guarded(const LoopHandlers &handlers) {
  LoopHandlers result = handlers;
  if (handlers.onDisconnect)
    result.onDisconnect = [inner = handlers.onDisconnect](ExchangeId exchange) {
      runGuarded("disconnect", [&] { inner(exchange); });
    };
  if (handlers.onCallResult)
    result.onCallResult = [inner = handlers.onCallResult](CallId id, CallResult answer) {
      runGuarded("call", [&] { inner(id, std::move(answer)); });
    };
  if (handlers.onWake)
    result.onWake = [inner = handlers.onWake] { runGuarded("timer", inner); };
  return result;
}

base::Error unavailable(const std::string &message) {
  return {base::Errc::Unavailable, "http", message};
}

} // namespace

struct Loop::State {
  LoopOptions options;
  LoopHandlers handlers;
  std::array<lws_protocols, 2> protocols = {};
  lws_context *context = nullptr;
  std::optional<Server> server;
  std::optional<CallTable> calls;
  std::optional<DeadlineQueue> alarm;
  /// libwebsockets keeps pointers to the names of its virtual hosts; a deque does not move them.
  std::deque<std::string> listenerNames;
  std::uint16_t port = 0;
  std::atomic<CallId> lastCall = 0;

  std::mutex mutex;
  std::condition_variable spaceFreed;
  std::deque<std::function<void()>> commands;
  bool stopping = false;
  std::thread thread;

  base::Status open();
  base::Status listen();
  base::Status listenMore();
  /// Answers a request whose handler failed.
  void onRequestFailed(ExchangeId exchange);
  void post(std::function<void()> command);
  bool isLoopThread();
  void run();
  void runCommands();
  static int onEvent(lws *wsi, lws_callback_reasons reason, void *user, void *input,
                     std::size_t length);
};

int Loop::State::onEvent(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *input,
                         std::size_t length) {
  if (wsi == nullptr)
    return 0;
  auto *state = static_cast<State *>(lws_context_user(lws_get_context(wsi)));
  switch (reason) {
  case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
  case LWS_CALLBACK_HTTP:
  case LWS_CALLBACK_HTTP_BODY:
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
  case LWS_CALLBACK_HTTP_WRITEABLE:
  case LWS_CALLBACK_CLOSED_HTTP:
  case LWS_CALLBACK_RAW_ADOPT:
  case LWS_CALLBACK_RAW_WRITEABLE:
  case LWS_CALLBACK_RAW_CLOSE:
    return state->server ? state->server->onEvent(wsi, reason, input, length) : 0;
  case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
  case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
  case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
  case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
  case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
  case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    return state->calls ? state->calls->onEvent(wsi, reason, input, length) : 0;
  case LWS_CALLBACK_WSI_DESTROY:
    if (state->server)
      state->server->onEvent(wsi, reason, input, length);
    if (state->calls)
      state->calls->onEvent(wsi, reason, input, length);
    return 0;
  case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
  case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
    return -1; // Neither WebSocket nor HTTP/2 is offered.
  default:
    return 0;
  }
}

base::Status Loop::State::open() {
  static std::once_flag prepared;
  std::call_once(prepared, [] {
    lws_set_log_level(LLL_ERR, &logLibraryMessage);
    DeferredFrees::install();
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  });

  this->protocols[0].name = "http";
  this->protocols[0].callback = &State::onEvent;

  lws_context_creation_info info = {};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
  info.user = this;
  info.pt_serv_buf_size = ServiceBufferBytes;
  // Larger than the limit on heads, so that a head slightly above it is answered with 431.
  info.max_http_header_data2 = static_cast<unsigned>(this->options.maxHeadBytes) * 2;
  info.max_http_header_pool2 =
      static_cast<unsigned>(this->options.serve ? this->options.maxExchanges : 0) + SpareHeads;
  info.timeout_secs_ah_idle = static_cast<unsigned>(roundUpToSeconds(this->options.receiveTimeout));
  info.timeout_secs = LibraryTimeoutSeconds;
  std::lock_guard lock(contextMutex());
  this->context = lws_create_context(&info);
  if (this->context == nullptr)
    return unavailable("The event loop cannot be created.");
  this->calls.emplace(this->context, this->protocols.data(), this->options, this->handlers);
  this->alarm.emplace(this->context, [this](DeadlineQueue::Key) {
    if (this->handlers.onWake)
      this->handlers.onWake();
  });
  if (!this->options.serve)
    return std::monostate();
  const base::Status listening = this->listen();
  return listening ? this->listenMore() : listening;
}

base::Status Loop::State::listenMore() {
  std::uint16_t index = 0;
  for (const Listener &listener : this->options.moreListeners) {
    ++index;
    const std::string &name = this->listenerNames.emplace_back("server" + std::to_string(index));
    lws_context_creation_info info = {};
    info.vhost_name = name.c_str();
    info.iface = listener.address.c_str();
    info.port = listener.port;
    info.protocols = this->protocols.data();
    info.keepalive_timeout = LibraryKeepAliveSeconds;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = this->protocols[0].name;
    lws_vhost *vhost = lws_create_vhost(this->context, &info);
    if (vhost == nullptr)
      return unavailable("Cannot listen on " + listener.address + ':' +
                         std::to_string(listener.port) + '.');
    this->server->addListener(
        vhost, index, listener.maxBodyBytes.value_or(this->options.maxBodyBytes), listener.receive);
  }
  return std::monostate();
}

base::Status Loop::State::listen() {
  const TlsFiles &tls = this->options.tls;
  for (const std::string *file : {&tls.certificate, &tls.privateKey, &tls.clientAuthority}) {
    if (!file->empty() && !isReadable(*file))
      return base::Error{base::Errc::Malformed, *file, "The TLS file cannot be read."};
  }
  if (tls.certificate.empty() != tls.privateKey.empty())
    return base::Error{base::Errc::Malformed, tls.certificate + tls.privateKey,
                       "TLS needs a certificate and a private key."};

  this->server.emplace(this->context, this->options, this->handlers);
  lws_context_creation_info info = {};
  info.vhost_name = "server";
  info.iface = this->options.listenAddress.c_str();
  info.port = this->options.port;
  info.protocols = this->protocols.data();
  info.keepalive_timeout = LibraryKeepAliveSeconds;
  // Input that is not HTTP is passed on as raw data, so that it gets an answer with a verdict.
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                 LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = this->protocols[0].name;
  if (this->options.listenAddress.find(':') == std::string::npos)
    info.options |= LWS_SERVER_OPTION_DISABLE_IPV6;
  if (!tls.certificate.empty()) {
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.alpn = "http/1.1"; // Otherwise HTTP/2 would be offered.
    info.ssl_cert_filepath = tls.certificate.c_str();
    info.ssl_private_key_filepath = tls.privateKey.c_str();
    if (!tls.clientAuthority.empty()) {
      info.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT;
      info.ssl_ca_filepath = tls.clientAuthority.c_str();
    }
  }
  lws_vhost *vhost = lws_create_vhost(this->context, &info);
  if (vhost == nullptr && !tls.certificate.empty()) {
    // The library does not say what failed; without TLS only the address can.
    info.options =
        info.options & ~std::uint64_t(LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT);
    info.ssl_cert_filepath = info.ssl_private_key_filepath = info.ssl_ca_filepath = nullptr;
    info.vhost_name = "address-check";
    if (lws_create_vhost(this->context, &info) != nullptr)
      return base::Error{base::Errc::Malformed, tls.certificate,
                         "The certificate, private key or authority is not usable."};
  }
  if (vhost == nullptr)
    return unavailable("Cannot listen on " + this->options.listenAddress + ':' +
                       std::to_string(this->options.port) + '.');
  this->server->addListener(vhost, 0, this->options.maxBodyBytes, this->options.receive);
  this->port = static_cast<std::uint16_t>(lws_get_vhost_listen_port(vhost));
  return std::monostate();
}

void Loop::State::onRequestFailed(ExchangeId exchange) {
  this->post([this, exchange] {
    if (this->server)
      this->server->respond(exchange, {500, {}, {}});
  });
}

void Loop::State::post(std::function<void()> command) {
  {
    std::unique_lock lock(this->mutex);
    const bool onLoop = std::this_thread::get_id() == this->thread.get_id();
    if (!onLoop)
      this->spaceFreed.wait(
          lock, [this] { return this->commands.size() < MaxCommands || this->stopping; });
    this->commands.push_back(std::move(command));
    if (onLoop)
      return; // The loop runs commands after each round of events, so it needs no wake-up.
  }
  lws_cancel_service(this->context);
}

bool Loop::State::isLoopThread() {
  const std::lock_guard lock(this->mutex);
  return std::this_thread::get_id() == this->thread.get_id();
}

void Loop::State::runCommands() {
  std::deque<std::function<void()>> taken;
  for (;;) {
    {
      std::lock_guard lock(this->mutex);
      if (this->commands.empty())
        return;
      taken.swap(this->commands);
    }
    this->spaceFreed.notify_all();
    for (const std::function<void()> &command : taken)
      runGuarded("command", command);
    taken.clear();
  }
}

void Loop::State::run() {
  bool stop = false;
  while (!stop) {
    const DeferredFrees round;
    if (lws_service(this->context, 0) < 0) {
      base::logEvent(base::Event::HttpLoopFailed, {{"message", "The event loop ended."}});
      break;
    }
    this->runCommands();
    std::lock_guard lock(this->mutex);
    stop = this->stopping;
  }
  const DeferredFrees lastRound;
  if (this->server)
    this->server->stop();
  // Before the last commands, so that these open no connection that nothing would serve.
  this->calls->refuse();
  this->runCommands();
  // libwebsockets does not free a call that is ended while it waits for an idle connection; one
  // more round of events gives it the connection.
  lws_cancel_service(this->context);
  if (lws_service(this->context, 0) < 0)
    base::logEvent(base::Event::HttpLoopFailed, {{"message", "The last round of events failed."}});
  this->calls->stop();
  this->alarm.reset();
  std::lock_guard lock(contextMutex());
  lws_context_destroy(this->context);
}

Loop::Loop(std::unique_ptr<State> owned) : state(std::move(owned)) {}

base::Result<std::unique_ptr<Loop>> Loop::start(LoopOptions options, LoopHandlers handlers) {
  auto state = std::make_unique<State>();
  state->options = std::move(options);
  state->handlers = guarded(handlers);
  if (handlers.onRequest)
    state->handlers.onRequest = [owner = state.get(), inner = std::move(handlers.onRequest)](
                                    ExchangeId exchange, Request request) {
      if (!runGuarded("request", [&] { inner(exchange, std::move(request)); }))
        owner->onRequestFailed(exchange);
    };
  const base::Status opened = state->open();
  if (!opened) {
    std::lock_guard lock(contextMutex());
    if (state->context != nullptr)
      lws_context_destroy(state->context);
    return opened.error();
  }
  State *running = state.get();
  {
    // `post` compares with the thread's identifier under this lock.
    std::lock_guard lock(running->mutex);
    running->thread = std::thread([running] { running->run(); });
  }
  return std::unique_ptr<Loop>(new Loop(std::move(state)));
}

Loop::~Loop() {
  {
    std::lock_guard lock(this->state->mutex);
    this->state->stopping = true;
  }
  this->state->spaceFreed.notify_all();
  lws_cancel_service(this->state->context);
  this->state->thread.join();
}

std::uint16_t Loop::port() const { return this->state->port; }

void Loop::respond(ExchangeId exchange, Response response) {
  State *target = this->state.get();
  // Before the answer waits among the commands: many large ones may be made in one event.
  if (target->server && target->isLoopThread())
    response = target->server->admitAnswer(exchange, std::move(response));
  target->post([target, exchange, answer = std::move(response)]() mutable {
    if (target->server)
      target->server->respond(exchange, std::move(answer));
  });
}

void Loop::abort(ExchangeId exchange) {
  State *target = this->state.get();
  target->post([target, exchange] {
    if (target->server)
      target->server->abort(exchange);
  });
}

CallId Loop::call(Call call) {
  State *target = this->state.get();
  const CallId id = ++target->lastCall;
  target->post([target, id, request = std::move(call)]() mutable {
    target->calls->start(id, std::move(request));
  });
  return id;
}

void Loop::cancel(CallId call) {
  State *target = this->state.get();
  target->post([target, call] { target->calls->cancel(call); });
}

void Loop::run(std::function<void()> function) { this->state->post(std::move(function)); }

void Loop::wakeAt(base::TimePoint time) {
  constexpr DeadlineQueue::Key OnlyKey = 0;
  this->state->alarm->set(OnlyKey, time - base::steadyNow());
}

void Loop::closeAfterAnswers() {
  State *target = this->state.get();
  target->post([target] {
    if (target->server)
      target->server->closeAfterAnswers();
  });
}

void Loop::drain() {
  State *target = this->state.get();
  target->post([target] {
    if (target->server)
      target->server->drain();
  });
}

std::size_t Loop::openExchanges() const {
  return this->state->server ? this->state->server->openExchanges() : 0;
}

std::vector<ReceiveUsage> Loop::receiveUsage() const {
  return this->state->server ? this->state->server->receiveUsage() : std::vector<ReceiveUsage>();
}

} // namespace banyanrill::http
