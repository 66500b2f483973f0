#include "CallTable.h"

#include "HeaderReader.h"
#include "PercentEncoding.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cassert>
#include <cstring>
#include <utility>
#include <vector>

namespace banyanrill::http {

namespace {

/// Calls in progress at most; a daemon has 64 connections to each of 48 instances at most.
constexpr std::size_t MaxCalls = 8192;

/// Each authority needs a TLS context of its own, and processes use one or two.
constexpr std::size_t MaxAuthorities = 16;

/// An instance accepts 64 connections. Calls beyond it use connections that are not kept.
constexpr std::size_t MaxLanes = 64;

/// Every lane with TLS has a copy of the authority's certificates.
constexpr std::size_t MaxTlsLanes = 8;

/// Idle connections are closed after this time, in seconds; well before servers close them, since a
/// request that meets such a close ends as MayHaveRun.
constexpr unsigned short IdleSeconds = 5;

/// libwebsockets composes the head in its service buffer (LoopBuffers in Loop.cpp) without a
/// complete check of its length.
constexpr std::size_t MaxRequestHeadBytes = std::size_t(16) * 1024;

/// How often the library's own timeout of a call is cleared. It is LibraryTimeoutSeconds in
/// Loop.cpp and would end long polls; the limit of a call is its own deadline.
constexpr base::Duration TimeoutClearInterval = std::chrono::seconds(5);

constexpr std::size_t WritePieceBytes = std::size_t(64) * 1024;

bool isNumericAddress(const std::string &host) {
  in6_addr address;
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

bool isToken(const std::string &text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
    return character > ' ' && character < 127 && character != ':';
  });
}

/// Why the request cannot be sent; null if it can.
const char *findFault(const Call &call) {
  if (!isNumericAddress(call.host) || call.port == 0)
    return "the address is not numeric";
  const Request &request = call.request;
  if (!isToken(request.method) || request.path.empty() || request.path.front() != '/')
    return "the method or path is malformed";
  std::size_t size = request.path.size() * 3 + request.query.size();
  for (const char character : request.query) {
    if (character <= ' ' || character == 127 || character == '#')
      return "the query is not encoded";
  }
  for (const auto &[name, value] : request.headers) {
    if (!isToken(name) || value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
      return "a header is malformed";
    size += name.size() + value.size() + 4;
  }
  return size > MaxRequestHeadBytes ? "the head of the request is too large" : nullptr;
}

bool hasCloseOption(std::string connection) {
  std::transform(connection.begin(), connection.end(), connection.begin(),
                 [](char character) { return static_cast<char>(character | 0x20); });
  return connection.find("close") != std::string::npos;
}

std::optional<std::uint64_t> parseLength(const std::string &text) {
  if (text.empty() || text.size() > 15 ||
      !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return std::nullopt;
  return std::stoull(text);
}

} // namespace

struct CallTable::PendingCall {
  CallId id = 0;
  Call call;
  base::TimePoint deadline;
  lws *wsi = nullptr;
  std::string address; ///< Key of the lane; empty: no lane.
  std::size_t lane = 0;
  bool requestStarted = false; ///< A byte of the request may have been written.
  bool headReceived = false;
  std::size_t bodyWritten = 0;
  std::optional<std::uint64_t> responseLength;
  bool chunked = false;
  bool serverCloses = false;   ///< The server closes the connection after the answer.
  bool keepConnection = false; ///< The call has ended and its connection can be used again.
  bool reading = false;        ///< Inside of lws_http_client_read.
  bool ended = false; ///< libwebsockets has reported the end of the answer during the read.
  Response response;
};

CallTable::CallTable(lws_context *lwsContext, const lws_protocols *lwsProtocols,
                     const LoopOptions &loopOptions, const LoopHandlers &loopHandlers)
    : context(lwsContext), protocols(lwsProtocols), options(loopOptions), handlers(loopHandlers),
      deadlines(lwsContext, [this](CallId id) { this->onTimer(id); }) {}

CallTable::~CallTable() = default;

std::string CallTable::tlsKey(const Call &call) {
  return call.tls ? "tls:" + call.tlsAuthority : std::string("plain");
}

std::size_t CallTable::takeLane(const std::string &address, std::size_t lanes) {
  for (std::size_t lane = 1; lane <= lanes; ++lane) {
    if (this->busyLanes.emplace(address, lane).second)
      return lane;
  }
  return 0;
}

lws_vhost *CallTable::vhostFor(const Call &call, std::size_t lane) {
  const std::string key = tlsKey(call);
  const auto found = this->vhosts.find({key, lane});
  if (found != this->vhosts.end())
    return found->second;
  if (this->authorities.size() >= MaxAuthorities && this->authorities.count(key) == 0)
    return nullptr;

  const std::string &authority = call.tlsAuthority;
  const std::string &name = this->vhostNames.emplace_back(key + '#' + std::to_string(lane));
  lws_context_creation_info info = {};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = this->protocols;
  info.vhost_name = name.c_str();
  info.timeout_secs = 0;
  info.alpn = "http/1.1";
  lws_vhost *vhost = lws_create_vhost(this->context, &info);
  if (vhost == nullptr)
    return nullptr;
  if (call.tls) {
    lws_context_creation_info tls = {};
    tls.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    if (!authority.empty()) {
      tls.options |= LWS_SERVER_OPTION_DISABLE_OS_CA_CERTS;
      tls.client_ssl_ca_filepath = authority.c_str();
    }
    if (lws_init_vhost_client_ssl(&tls, vhost) != 0) {
      lws_vhost_destroy(vhost);
      return nullptr;
    }
  }
  this->authorities.insert(key);
  this->vhosts.emplace(LaneKey(key, lane), vhost);
  return vhost;
}

void CallTable::start(CallId id, Call call) {
  auto owned = std::make_unique<PendingCall>();
  PendingCall &pending = *owned;
  pending.id = id;
  pending.call = std::move(call);
  this->calls.emplace(id, std::move(owned));
  if (const char *fault = findFault(pending.call)) {
    this->finish(pending, false, fault);
    return;
  }
  if (this->refusing) {
    this->finish(pending, false, "the client stopped");
    return;
  }
  if (this->calls.size() > MaxCalls) {
    this->finish(pending, false, "too many calls are in progress");
    return;
  }
  pending.address =
      tlsKey(pending.call) + '@' + pending.call.host + ' ' + std::to_string(pending.call.port);
  pending.lane = this->takeLane(pending.address, pending.call.tls ? MaxTlsLanes : MaxLanes);
  lws_vhost *vhost = this->vhostFor(pending.call, pending.lane);
  if (vhost == nullptr) {
    this->finish(pending, false, "the TLS authority cannot be used");
    return;
  }
  pending.deadline = base::steadyNow() + pending.call.timeout;
  this->scheduleTimer(pending);
  this->connect(pending, vhost);
}

void CallTable::connect(PendingCall &pending, lws_vhost *vhost) {
  const Request &request = pending.call.request;
  std::string path = encodePath(request.path);
  if (!request.query.empty())
    path += '?' + request.query;
  // Copies, since the call may end within lws_client_connect_via_info, which still reads them.
  const std::string host = pending.call.host;
  const std::string method = request.method;
  lws_client_connect_info info = {};
  info.context = this->context;
  info.vhost = vhost;
  info.address = host.c_str();
  info.port = pending.call.port;
  info.path = path.c_str();
  // libwebsockets compares `host` with `address` when it looks for a connection to reuse.
  info.host = info.address;
  info.method = method.c_str();
  info.local_protocol_name = this->protocols[0].name;
  info.opaque_user_data = &pending;
  info.alpn = "http/1.1";
  info.keep_warm_secs = IdleSeconds;
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  if (pending.lane != 0)
    info.ssl_connection |= LCCSCF_PIPELINE;
  if (pending.call.tls) {
    info.ssl_connection |= LCCSCF_USE_SSL;
    // An authority of the cell signs only its own servers, whose certificates name no address.
    if (!pending.call.tlsAuthority.empty())
      info.ssl_connection |= LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
  }
  const CallId id = pending.id;
  lws *wsi = lws_client_connect_via_info(&info);
  const auto found = this->calls.find(id);
  if (found == this->calls.end())
    return; // Reported from within the call above.
  if (wsi == nullptr)
    this->finish(*found->second, false, "the connection failed");
  else
    found->second->wsi = wsi;
}

void CallTable::finish(PendingCall &pending, bool complete, std::string failure) {
  this->deadlines.cancel(pending.id);
  if (pending.wsi != nullptr)
    lws_set_opaque_user_data(pending.wsi, nullptr);
  CallResult result;
  if (complete) {
    result.verdict = base::Verdict::Ran;
    result.response = std::move(pending.response);
  } else {
    result.verdict = pending.requestStarted ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun;
    result.failure = std::move(failure);
  }
  if (pending.lane != 0) {
    LaneKey lane(pending.address, pending.lane);
    if (pending.keepConnection || pending.wsi == nullptr)
      this->busyLanes.erase(lane);
    else
      this->closingLanes.emplace(pending.wsi, std::move(lane));
  }
  const CallId id = pending.id;
  this->calls.erase(id);
  if (this->handlers.onCallResult)
    this->handlers.onCallResult(id, std::move(result));
}

void CallTable::abandon(PendingCall &pending, std::string failure) {
  lws *wsi = pending.wsi;
  this->finish(pending, false, std::move(failure));
  if (wsi != nullptr)
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

void CallTable::scheduleTimer(PendingCall &pending) {
  const base::Duration remaining = pending.deadline - base::steadyNow();
  this->deadlines.set(pending.id, std::min(remaining, TimeoutClearInterval));
}

void CallTable::onTimer(CallId id) {
  PendingCall &pending = *this->calls.at(id);
  if (base::steadyNow() >= pending.deadline) {
    this->abandon(pending, "the time limit has passed");
    return;
  }
  if (pending.wsi != nullptr)
    lws_set_timeout(pending.wsi, NO_PENDING_TIMEOUT, 0);
  this->scheduleTimer(pending);
}

void CallTable::cancel(CallId id) {
  const auto found = this->calls.find(id);
  if (found != this->calls.end())
    this->abandon(*found->second, "the call was cancelled");
}

void CallTable::stop() {
  this->refuse();
  while (!this->calls.empty())
    this->abandon(*this->calls.begin()->second, "the client stopped");
  this->deadlines.stop();
}

void CallTable::onDestroyed(lws *wsi) {
  const auto found = this->closingLanes.find(wsi);
  if (found == this->closingLanes.end())
    return;
  this->busyLanes.erase(found->second);
  this->closingLanes.erase(found);
}

int CallTable::onEvent(lws *wsi, lws_callback_reasons reason, void *input, std::size_t length) {
  auto *pending = static_cast<PendingCall *>(lws_get_opaque_user_data(wsi));
  if (reason == LWS_CALLBACK_WSI_DESTROY) {
    if (pending != nullptr)
      this->finish(*pending, false, "the connection was lost");
    this->onDestroyed(wsi);
    return 0;
  }
  if (pending == nullptr)
    return reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                   reason == LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP ||
                   reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE ||
                   reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
                   reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ ||
                   reason == LWS_CALLBACK_COMPLETED_CLIENT_HTTP
               ? -1
               : 0;
  pending->wsi = wsi;
  switch (reason) {
  case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
    return this->appendHead(*pending, static_cast<unsigned char **>(input), length);
  case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
    return this->writeBody(*pending);
  case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    return this->onResponseHead(*pending);
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
    return this->readResponse(*pending);
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    return this->onResponseData(*pending, static_cast<const char *>(input), length);
  case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    return this->onResponseEnd(*pending);
  case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    this->finish(*pending, false,
                 input == nullptr ? "the connection failed"
                                  : std::string(static_cast<const char *>(input), length));
    return 0;
  case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    this->finish(*pending, false, "the connection closed before the end of the answer");
    return 0;
  default:
    return 0;
  }
}

int CallTable::appendHead(PendingCall &pending, unsigned char **position, std::size_t space) {
  pending.requestStarted = true;
  const Request &request = pending.call.request;
  std::string head;
  for (const auto &[name, value] : request.headers) {
    if (name == "host" || name == "content-length" || name == "connection" ||
        name == "transfer-encoding")
      continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  const bool mayHaveBody =
      request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
  if (mayHaveBody || !request.body.empty())
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
  if (head.size() >= space)
    return -1;
  std::memcpy(*position, head.data(), head.size());
  *position += head.size();
  if (!request.body.empty()) {
    lws_client_http_body_pending(pending.wsi, 1);
    lws_callback_on_writable(pending.wsi);
  }
  return 0;
}

int CallTable::writeBody(PendingCall &pending) {
  const std::string &body = pending.call.request.body;
  if (pending.bodyWritten == body.size())
    return 0;
  const std::size_t taken = std::min(body.size() - pending.bodyWritten, WritePieceBytes);
  std::string piece(LWS_PRE, '\0');
  piece.append(body, pending.bodyWritten, taken);
  pending.bodyWritten += taken;
  const bool last = pending.bodyWritten == body.size();
  if (last)
    lws_client_http_body_pending(pending.wsi, 0);
  auto *start = reinterpret_cast<unsigned char *>(piece.data()) + LWS_PRE;
  if (lws_write(pending.wsi, start, taken, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
    return -1;
  if (!last)
    lws_callback_on_writable(pending.wsi);
  return 0;
}

int CallTable::onResponseHead(PendingCall &pending) {
  pending.headReceived = true;
  pending.response.status = static_cast<int>(lws_http_client_http_response(pending.wsi));
  pending.response.headers = readHeaders(pending.wsi, this->options.customHeaders);
  const Headers &headers = pending.response.headers;
  const std::string length = findHeader(headers, "content-length");
  pending.chunked = !findHeader(headers, "transfer-encoding").empty();
  pending.serverCloses = hasCloseOption(findHeader(headers, "connection")) ||
                         lws_hdr_total_length(pending.wsi, WSI_TOKEN_HTTP1_0) > 0;
  const int status = pending.response.status;
  if (pending.call.request.method == "HEAD" || status == 204 || status == 304) {
    this->finish(pending, true, {});
    return -1;
  }
  if (!length.empty()) {
    pending.responseLength = parseLength(length);
    if (!pending.responseLength) {
      this->finish(pending, false, "the answer has a malformed length");
      return -1;
    }
    if (*pending.responseLength > pending.call.maxResponseBytes) {
      this->finish(pending, false, "the answer is too large");
      return -1;
    }
  }
  return 0;
}

int CallTable::onResponseData(PendingCall &pending, const char *data, std::size_t length) {
  pending.response.body.append(data, length);
  if (pending.response.body.size() > pending.call.maxResponseBytes) {
    this->finish(pending, false, "the answer is too large");
    return -1;
  }
  return 0;
}

int CallTable::endResponse(PendingCall &pending, bool complete) {
  // libwebsockets would reuse a connection until it has read the server's close.
  const bool keep = complete && !pending.serverCloses;
  pending.keepConnection = keep;
  this->finish(pending, complete, complete ? "" : "the answer is incomplete");
  return keep ? 0 : -1;
}

int CallTable::readResponse(PendingCall &pending) {
  std::array<char, LWS_PRE + 16384> buffer;
  char *data = buffer.data() + LWS_PRE;
  int space = static_cast<int>(buffer.size() - LWS_PRE);
  lws *wsi = pending.wsi;
  pending.reading = true;
  const int outcome = lws_http_client_read(wsi, &data, &space);
  // The callbacks of the read may have ended the call.
  if (lws_get_opaque_user_data(wsi) != &pending)
    return outcome < 0 ? -1 : 0;
  pending.reading = false;
  if (!pending.ended)
    return outcome < 0 ? -1 : 0;
  const bool complete =
      outcome >= 0 && (pending.chunked || pending.responseLength == pending.response.body.size());
  return this->endResponse(pending, complete);
}

int CallTable::onResponseEnd(PendingCall &pending) {
  // libwebsockets reports an end also when the connection closes; only the result of the read tells
  // it from a last chunk.
  if (pending.reading) {
    pending.ended = true;
    return 0;
  }
  // An answer with neither a length nor chunks ends with the connection; a failure of the server
  // could not be told from its end.
  const bool complete = pending.responseLength == pending.response.body.size();
  return this->endResponse(pending, complete);
}

} // namespace banyanrill::http
