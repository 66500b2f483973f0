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

/// libwebsockets composes the head in its service buffer (LoopBuffers in Loop.cpp) without a
/// complete check of its length.
constexpr std::size_t MaxRequestHeadBytes = 16 * 1024;

constexpr std::size_t WritePieceBytes = 64 * 1024;

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

std::optional<std::uint64_t> parseLength(const std::string &text) {
  if (text.empty() || text.size() > 15 ||
      !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return std::nullopt;
  return std::stoull(text);
}

} // namespace

struct CallTable::PendingCall {
  lws_sorted_usec_list_t timer = {}; ///< First member: `onDeadline` converts its address.
  CallTable *table = nullptr;
  CallId id = 0;
  Call call;
  lws *wsi = nullptr;
  bool requestStarted = false; ///< A byte of the request may have been written.
  bool headReceived = false;
  std::size_t bodyWritten = 0;
  std::optional<std::uint64_t> responseLength;
  bool chunked = false;
  Response response;
};

CallTable::CallTable(lws_context *lwsContext, const lws_protocols *lwsProtocols,
                     const LoopOptions &loopOptions, const LoopHandlers &loopHandlers)
    : context(lwsContext), protocols(lwsProtocols), options(loopOptions), handlers(loopHandlers) {}

CallTable::~CallTable() = default;

lws_vhost *CallTable::vhostFor(const Call &call) {
  const std::string authority = call.tls ? call.tlsAuthority : std::string();
  const std::string key = (call.tls ? "tls:" : "plain:") + authority;
  const auto found = this->vhosts.find(key);
  if (found != this->vhosts.end())
    return found->second;
  if (this->vhosts.size() >= MaxAuthorities)
    return nullptr;

  lws_context_creation_info info = {};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = this->protocols;
  info.vhost_name = key.c_str();
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
  this->vhosts.emplace(key, vhost);
  return vhost;
}

void CallTable::start(CallId id, Call call) {
  auto owned = std::make_unique<PendingCall>();
  PendingCall &pending = *owned;
  pending.table = this;
  pending.id = id;
  pending.call = std::move(call);
  this->calls.emplace(id, std::move(owned));
  if (const char *fault = findFault(pending.call)) {
    this->finish(pending, false, fault);
    return;
  }
  if (this->calls.size() > MaxCalls) {
    this->finish(pending, false, "too many calls are in progress");
    return;
  }
  lws_vhost *vhost = this->vhostFor(pending.call);
  if (vhost == nullptr) {
    this->finish(pending, false, "the TLS authority cannot be used");
    return;
  }
  lws_sul_schedule(this->context, 0, &pending.timer, &CallTable::onDeadline,
                   pending.call.timeout.count());
  this->connect(pending, vhost);
}

bool CallTable::connect(PendingCall &pending, lws_vhost *vhost) {
  const Request &request = pending.call.request;
  std::string path = encodePath(request.path);
  if (!request.query.empty())
    path += '?' + request.query;
  const std::string host = pending.call.host.find(':') == std::string::npos
                               ? pending.call.host + ':' + std::to_string(pending.call.port)
                               : '[' + pending.call.host + "]:" + std::to_string(pending.call.port);
  lws_client_connect_info info = {};
  info.context = this->context;
  info.vhost = vhost;
  info.address = pending.call.host.c_str();
  info.port = pending.call.port;
  info.path = path.c_str();
  info.host = host.c_str();
  info.method = request.method.c_str();
  info.local_protocol_name = this->protocols[0].name;
  info.opaque_user_data = &pending;
  info.alpn = "http/1.1";
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
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
    return false; // Reported from within the call above.
  if (wsi == nullptr) {
    this->finish(*found->second, false, "the connection failed");
    return false;
  }
  found->second->wsi = wsi;
  return true;
}

void CallTable::finish(PendingCall &pending, bool complete, std::string failure) {
  lws_sul_cancel(&pending.timer);
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
  const CallId id = pending.id;
  this->calls.erase(id);
  if (this->handlers.onCallResult)
    this->handlers.onCallResult(id, std::move(result));
}

void CallTable::abandon(PendingCall &pending, std::string failure) {
  lws *wsi = pending.wsi;
  this->finish(pending, false, std::move(failure));
  if (wsi != nullptr)
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void CallTable::onDeadline(lws_sorted_usec_list_t *timer) {
  auto *pending = reinterpret_cast<PendingCall *>(timer);
  pending->table->abandon(*pending, "the time limit has passed");
}

void CallTable::cancel(CallId id) {
  const auto found = this->calls.find(id);
  if (found != this->calls.end())
    this->abandon(*found->second, "the call was cancelled");
}

void CallTable::stop() {
  while (!this->calls.empty())
    this->abandon(*this->calls.begin()->second, "the client stopped");
}

int CallTable::onEvent(lws *wsi, lws_callback_reasons reason, void *input, std::size_t length) {
  auto *pending = static_cast<PendingCall *>(lws_get_opaque_user_data(wsi));
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
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
    std::array<char, LWS_PRE + 16384> buffer;
    char *data = buffer.data() + LWS_PRE;
    int space = static_cast<int>(buffer.size() - LWS_PRE);
    return lws_http_client_read(wsi, &data, &space) < 0 ? -1 : 0;
  }
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
  case LWS_CALLBACK_WSI_DESTROY:
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
    if (*pending.responseLength == 0) {
      this->finish(pending, true, {});
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

int CallTable::onResponseEnd(PendingCall &pending) {
  // An answer with neither a length nor chunks ends with the connection; a failure of the server
  // could not be told from its end.
  const bool complete = pending.responseLength
                            ? pending.response.body.size() == *pending.responseLength
                            : pending.chunked;
  this->finish(pending, complete, complete ? "" : "the answer is incomplete");
  return -1;
}

} // namespace banyanrill::http
