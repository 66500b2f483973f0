#include "banyanrill/daemon/PeerTask.h"

#include "banyanrill/wire/Codec.h"

#include <atomic>
#include <map>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace banyanrill::daemon {

namespace {

/// Messages held for one peer; all protocols tolerate the loss of more.
constexpr int SendQueueMessages = 1024;

/// A snapshot chunk or a caller's body with room to spare.
constexpr std::size_t MaxMessageBytes = std::size_t(16) << 20;

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
  nng_aio *receiving = nullptr;

  ~State() {
    if (this->receiving) {
      // Cancels the operation and waits for a callback that is running. A thread blocked in
      // nng_recv did not always return here, neither by nng_close nor by a receive timeout
      // (nng 1.5.2).
      nng_aio_stop(this->receiving);
      nng_aio_free(this->receiving);
    }
    nng_close(this->listener);
    for (auto &[daemon, sender] : this->senders)
      nng_close(sender);
  }

  void onReceived() {
    if (nng_aio_result(this->receiving) != 0)
      return;
    nng_msg *message = nng_aio_get_msg(this->receiving);
    const std::size_t size = nng_msg_len(message);
    this->received += size;
    base::Result<wire::Envelope> envelope =
        wire::decodeEnvelope({static_cast<const char *>(nng_msg_body(message)), size});
    nng_msg_free(message);
    if (envelope)
      this->receive(std::move(envelope.value()));
    else
      base::logEvent(base::Event::PeerMessageRejected, {{"reason", envelope.error().message}});
    nng_recv_aio(this->listener, this->receiving);
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
  const std::string own = urlOf(config.self());
  if (const int failure = nng_listen(state->listener, own.c_str(), nullptr, 0); failure != 0)
    return base::Error{base::Errc::Unavailable, own, nng_strerror(failure)};
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
  const auto onReceived = [](void *owner) { static_cast<State *>(owner)->onReceived(); };
  if (const int failure = nng_aio_alloc(&state->receiving, onReceived, state.get()); failure != 0)
    return base::Error{base::Errc::Unavailable, own, nng_strerror(failure)};
  nng_recv_aio(state->listener, state->receiving);
  return std::unique_ptr<PeerTask>(new PeerTask(std::move(state)));
}

PeerTask::PeerTask(std::unique_ptr<State> owned) : state(std::move(owned)) {}

PeerTask::~PeerTask() = default;

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
