#include "banyanrill/daemon/PeerTask.h"

#include "banyanrill/wire/Codec.h"

#include <atomic>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <thread>

namespace banyanrill::daemon {

namespace {

/// Messages held for one peer; all protocols tolerate the loss of more.
constexpr int SendQueueMessages = 1024;

/// A snapshot chunk or a caller's body with room to spare.
constexpr std::size_t MaxMessageBytes = 16 * 1024 * 1024;

/// How often the receiving thread looks whether it must end: closing a socket does not reliably
/// wake a receive that begins at the same moment.
constexpr nng_duration StopCheckMs = 100;

constexpr nng_duration ReconnectMinMs = 50;
constexpr nng_duration ReconnectMaxMs = 1000;

std::string urlOf(const Peer &peer) {
  return "tcp://" + peer.address + ":" + std::to_string(peer.peerPort);
}

} // namespace

struct PeerTask::State {
  base::DaemonId self = base::NoDaemon;
  std::uint64_t incarnation = 0;
  std::function<void(wire::Envelope)> receive;
  nng_socket listener = NNG_SOCKET_INITIALIZER;
  std::map<base::DaemonId, nng_socket> senders;
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> received{0};
  std::atomic<bool> stopping{false};
  std::thread thread;

  void run() {
    void *data = nullptr;
    std::size_t size = 0;
    while (!this->stopping) {
      const int failure = nng_recv(this->listener, &data, &size, NNG_FLAG_ALLOC);
      if (failure == NNG_ETIMEDOUT)
        continue;
      if (failure != 0)
        return;
      this->received += size;
      base::Result<wire::Envelope> envelope =
          wire::decodeEnvelope({static_cast<const char *>(data), size});
      nng_free(data, size);
      if (envelope) {
        this->receive(std::move(envelope.value()));
        continue;
      }
      base::logEvent(base::Event::PeerMessageRejected, {{"reason", envelope.error().message}});
    }
  }
};

base::Result<std::unique_ptr<PeerTask>>
PeerTask::start(const Config &config, std::uint64_t incarnation,
                std::function<void(wire::Envelope)> receive) {
  auto state = std::make_unique<State>();
  state->self = config.daemon;
  state->incarnation = incarnation;
  state->receive = std::move(receive);
  nng_pull0_open(&state->listener);
  nng_socket_set_size(state->listener, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  nng_socket_set_ms(state->listener, NNG_OPT_RECVTIMEO, StopCheckMs);
  const std::string own = urlOf(config.self());
  if (const int failure = nng_listen(state->listener, own.c_str(), nullptr, 0); failure != 0) {
    nng_close(state->listener);
    return base::Error{base::Errc::Unavailable, own, nng_strerror(failure)};
  }
  for (const Peer &peer : config.peers) {
    if (peer.daemon == config.daemon)
      continue;
    nng_socket &sender = state->senders[peer.daemon];
    nng_push0_open(&sender);
    nng_socket_set_int(sender, NNG_OPT_SENDBUF, SendQueueMessages);
    nng_socket_set_ms(sender, NNG_OPT_RECONNMINT, ReconnectMinMs);
    nng_socket_set_ms(sender, NNG_OPT_RECONNMAXT, ReconnectMaxMs);
    nng_dial(sender, urlOf(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
  State *started = state.get();
  started->thread = std::thread([started] { started->run(); });
  return std::unique_ptr<PeerTask>(new PeerTask(std::move(state)));
}

PeerTask::PeerTask(std::unique_ptr<State> owned) : state(std::move(owned)) {}

PeerTask::~PeerTask() {
  this->state->stopping = true;
  this->state->thread.join();
  nng_close(this->state->listener);
  for (auto &[daemon, sender] : this->state->senders)
    nng_close(sender);
}

void PeerTask::send(base::DaemonId to, wire::Body body) {
  const auto sender = this->state->senders.find(to);
  if (sender == this->state->senders.end())
    return;
  std::string bytes = wire::encode(
      wire::Envelope{this->state->self, to, this->state->incarnation, std::move(body)});
  if (nng_send(sender->second, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) == 0)
    this->state->sent += bytes.size();
}

std::uint64_t PeerTask::bytesSent() const { return this->state->sent; }

std::uint64_t PeerTask::bytesReceived() const { return this->state->received; }

} // namespace banyanrill::daemon
