#include "Server.h"

#include "HeaderReader.h"
#include "banyanrill/base/EventLog.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <malloc.h>
#include <poll.h>
#include <utility>
#include <vector>

namespace banyanrill::http {

namespace {

/// Large bodies are written in pieces of this size, so that one caller cannot delay the others.
constexpr std::size_t WritePieceBytes = std::size_t(64) * 1024;

/// How long a caller that was answered before it had sent its whole body may take to close; a
/// close by this side with unread bytes would reset the connection and could destroy the answer.
constexpr base::Duration LingerTimeout = std::chrono::seconds(2);

/// How often open exchanges are searched for callers that have gone. libwebsockets does not read
/// from a connection while a request without a body waits for its answer.
constexpr base::Duration DisconnectInterval = std::chrono::milliseconds(500);

/// Key of that search among the numbers of connections.
constexpr std::uint64_t DisconnectKey = 0;

/// Key of the task that gives memory back to the kernel.
constexpr std::uint64_t TrimKey = std::numeric_limits<std::uint64_t>::max();

/// Memory is given back when so much less is held than at the peak. Ordinary load stays below it.
constexpr std::size_t TrimBytes = std::size_t(4) * 1024 * 1024;

constexpr base::Duration TrimDelay = std::chrono::seconds(1);

/// Of one listener.
constexpr base::Duration LimitLogInterval = std::chrono::seconds(1);

/// What libwebsockets and this class hold for a connection beside its head, and a small answer.
constexpr std::size_t ConnectionBytes = std::size_t(4) * 1024;

/// Bytes of a refused request that are read and dropped, so that its sender gets to the answer.
constexpr std::size_t MaxDiscardedBytes = std::size_t(4) * 1024 * 1024;

std::optional<std::uint64_t> parseLength(std::string_view text) {
  if (text.empty() || text.size() > 15)
    return std::nullopt;
  std::uint64_t value = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9')
      return std::nullopt;
    value = value * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  return value;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return (a | 0x20) == (b | 0x20); });
}

std::size_t sizeOf(const Request &request) {
  std::size_t size = request.method.size() + request.path.size() + request.query.size();
  for (const auto &[name, value] : request.headers)
    size += name.size() + value.size() + 4;
  return size;
}

/// True if the caller has closed its side, even if bytes of it are unread.
bool hasHungUp(lws *wsi) {
  pollfd event = {lws_get_socket_fd(wsi), POLLRDHUP, 0};
  return poll(&event, 1, 0) > 0 && (event.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/// True if the caller has sent more than its request, or closed its side, before the answer.
bool hasMoreInput(lws *wsi) {
  pollfd event = {lws_get_socket_fd(wsi), POLLIN, 0};
  return poll(&event, 1, 0) > 0;
}

std::string_view reasonPhrase(int status) {
  switch (status) {
  case 200:
    return "OK";
  case 201:
    return "Created";
  case 202:
    return "Accepted";
  case 204:
    return "No Content";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 403:
    return "Forbidden";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 409:
    return "Conflict";
  case 410:
    return "Gone";
  case 413:
    return "Content Too Large";
  case 422:
    return "Unprocessable Content";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

bool isHttp1(lws *wsi) {
  char version[16] = {};
  return lws_hdr_copy(wsi, version, sizeof version, WSI_TOKEN_HTTP) > 0 &&
         std::string_view(version).substr(0, 7) == "HTTP/1.";
}

bool hasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

Response refusalOf(int status, std::string_view code, std::string_view message,
                   std::string_view verdict = "did-not-run") {
  Response response;
  response.status = status;
  response.headers = {{"content-type", "application/json"},
                      {"banyanrill-verdict", std::string(verdict)}};
  if (status == 503)
    response.headers.emplace_back("retry-after", "1");
  response.body.append(R"({"error":{"code":")").append(code).append(R"(","message":")");
  response.body.append(message).append(R"("},"verdict":")").append(verdict).append(R"("})");
  return response;
}

} // namespace

Server::Server(lws_context *context, const LoopOptions &loopOptions,
               const LoopHandlers &loopHandlers)
    : options(loopOptions), handlers(loopHandlers),
      deadlines(context, [this](std::uint64_t number) { this->onDeadline(number); }) {}

void Server::addListener(lws_vhost *vhost, std::uint16_t number, std::size_t maxBodyBytes,
                         ReceiveLimits receive) {
  this->listeners[vhost] = {number, maxBodyBytes};
  this->budget.setLimits(number, receive);
  this->limitRecords[number].port = lws_get_vhost_listen_port(vhost);
}

int Server::onEvent(lws *wsi, lws_callback_reasons reason, void *input, std::size_t length) {
  switch (reason) {
  case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
    // libwebsockets reports the connection of a call in the same way as a new caller, even when it
    // has ended already; then it has no virtual host any more.
    if (this->listeners.count(lws_get_vhost(wsi)) == 0)
      return 0;
    if (this->admit(this->connectionOf(wsi)))
      this->deadlines.set(this->connectionOf(wsi).number, this->options.receiveTimeout);
    return 0;
  case LWS_CALLBACK_HTTP:
    return this->onHead(this->connectionOf(wsi));
  case LWS_CALLBACK_HTTP_BODY:
    return this->onBody(this->connectionOf(wsi), {static_cast<const char *>(input), length});
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    return this->onBodyComplete(this->connectionOf(wsi));
  case LWS_CALLBACK_HTTP_WRITEABLE:
    return this->onWritable(this->connectionOf(wsi));
  case LWS_CALLBACK_RAW_ADOPT:
    lws_callback_on_writable(wsi);
    return 0;
  case LWS_CALLBACK_RAW_WRITEABLE:
    return this->onRawWritable(this->connectionOf(wsi));
  case LWS_CALLBACK_CLOSED_HTTP:
  case LWS_CALLBACK_RAW_CLOSE:
  case LWS_CALLBACK_WSI_DESTROY:
    this->onClosed(wsi);
    return 0;
  default:
    return 0;
  }
}

Server::Connection &Server::connectionOf(lws *wsi) {
  std::unique_ptr<Connection> &connection = this->connections[wsi];
  if (!connection) {
    connection = std::make_unique<Connection>();
    connection->wsi = wsi;
    connection->number = ++this->lastConnection;
    this->byNumber.emplace(connection->number, connection.get());
  }
  return *connection;
}

int Server::onHead(Connection &connection) {
  assert(connection.exchange == 0);
  if (connection.ending)
    return -1;
  lws *wsi = connection.wsi;
  const std::uint64_t number = connection.number;
  connection = Connection();
  connection.wsi = wsi;
  connection.number = number;
  this->deadlines.set(connection.number, this->options.receiveTimeout);

  std::optional<Request> request = readRequestHead(wsi, this->options.customHeaders);
  if (!request) {
    this->refuse(connection, 400, "malformed", "The method is not supported.");
    return 0;
  }
  connection.request = std::move(*request);
  if (const auto found = this->listeners.find(lws_get_vhost(wsi)); found != this->listeners.end()) {
    connection.request.listener = connection.listener = found->second.number;
    connection.maxBodyBytes = found->second.maxBodyBytes;
  }
  if (!isHttp1(wsi)) {
    this->refuse(connection, 400, "malformed", "The version of HTTP is not 1.0 or 1.1.");
    return 0;
  }
  const Headers &headers = connection.request.headers;
  const std::string lengthText = findHeader(headers, "content-length");
  const std::string coding = findHeader(headers, "transfer-encoding");
  const std::string &method = connection.request.method;
  const bool mayHaveBody = method == "POST" || method == "PUT" || method == "PATCH";

  connection.headBytes = sizeOf(connection.request);
  if (connection.headBytes > this->options.maxHeadBytes) {
    this->refuse(connection, 431, "too-large", "The head of the request is too large.");
    return 0;
  }
  if (!coding.empty()) {
    // libwebsockets reads a body without a length only after these methods; after others the chunks
    // would be taken for the next request.
    if (!mayHaveBody || !lengthText.empty() || !equalsIgnoringCase(coding, "chunked")) {
      this->refuse(connection, 400, "malformed",
                   "Transfer-Encoding must be chunked, without Content-Length, and the method "
                   "POST, PUT or PATCH.");
      return 0;
    }
    connection.bodyKind = BodyKind::Chunked;
    connection.closeAfterResponse = true;
  } else if (!lengthText.empty()) {
    const std::optional<std::uint64_t> bodyLength = parseLength(lengthText);
    if (!bodyLength) {
      this->refuse(connection, 400, "malformed", "Content-Length is not a number.");
      return 0;
    }
    if (*bodyLength > connection.maxBodyBytes) {
      this->refuse(connection, 413, "too-large", "The body of the request is too large.");
      return 0;
    }
    connection.bodyLength = *bodyLength;
  } else if (mayHaveBody) {
    // There is no body, but libwebsockets waits for one until the connection closes.
    connection.closeAfterResponse = true;
  }
  if (this->draining) {
    this->refuse(connection, 503, "unavailable", "This instance is stopping.");
    return 0;
  }
  if (this->openCount.load() >= this->options.maxExchanges) {
    this->refuse(connection, 503, "limit-reached", "Too many requests are open.");
    return 0;
  }
  if (!this->hold(connection, ReceiveBudget::Phase::Receiving, connection.headBytes)) {
    this->refuseForBudget(connection);
    return 0;
  }
  if (connection.bodyKind == BodyKind::Length && connection.bodyLength == 0) {
    this->deliver(connection);
    return 0;
  }
  if (equalsIgnoringCase(findHeader(headers, "expect"), "100-continue")) {
    std::string interim = std::string(LWS_PRE, '\0') + "HTTP/1.1 100 Continue\r\n\r\n";
    auto *start = reinterpret_cast<unsigned char *>(interim.data()) + LWS_PRE;
    if (lws_write(wsi, start, interim.size() - LWS_PRE, LWS_WRITE_HTTP_HEADERS) < 0)
      return -1;
  }
  return 0;
}

int Server::onBody(Connection &connection, std::string_view input) {
  if (connection.bodyKind == BodyKind::Discarded || connection.ending) {
    connection.discardedBytes += input.size();
    return connection.discardedBytes > MaxDiscardedBytes ? -1 : 0;
  }
  if (!connection.receiving || !this->growBody(connection, input.size()))
    return 0;
  std::string &body = connection.request.body;
  if (connection.bodyKind == BodyKind::Length) {
    body.append(input);
    assert(body.size() <= connection.maxBodyBytes);
    return 0;
  }
  const ChunkedDecoder::State state = connection.decoder.feed(input, body);
  if (state == ChunkedDecoder::State::Malformed)
    this->refuse(connection, 400, "malformed", "The chunked body is malformed.");
  else if (body.size() > connection.maxBodyBytes)
    this->refuse(connection, 413, "too-large", "The body of the request is too large.");
  else if (state == ChunkedDecoder::State::Complete)
    this->deliver(connection);
  return 0;
}

int Server::onBodyComplete(Connection &connection) {
  if (connection.bodyKind == BodyKind::Length && connection.receiving)
    this->deliver(connection);
  return 0;
}

void Server::deliver(Connection &connection) {
  connection.receiving = false;
  // Until it is answered: the request is forwarded or waits for the leader, and is as large.
  this->hold(connection, ReceiveBudget::Phase::Serving,
             connection.headBytes + connection.bodyCapacity);
  this->deadlines.cancel(connection.number);
  // A long poll may stay open for any time; the caller of `respond` bounds it.
  lws_set_timeout(connection.wsi, NO_PENDING_TIMEOUT, 0);
  // Otherwise libwebsockets polls for input that it does not read, in a busy loop.
  lws_rx_flow_control(connection.wsi, 0);
  if (this->exchanges.empty())
    this->deadlines.set(DisconnectKey, DisconnectInterval);
  connection.exchange = ++this->lastExchange;
  this->exchanges.emplace(connection.exchange, &connection);
  ++this->openCount;
  if (this->stopped || !this->handlers.onRequest)
    return;
  // The method is kept: the answer to HEAD has no body.
  Request request = std::move(connection.request);
  connection.request = Request();
  connection.request.method = request.method;
  this->handlers.onRequest(connection.exchange, std::move(request));
}

void Server::refuse(Connection &connection, int status, std::string_view code,
                    std::string_view message) {
  connection.bodyKind = BodyKind::Discarded;
  connection.closeAfterResponse = true;
  // Assignment of an empty request would keep the buffer of the body.
  Request dropped;
  std::swap(dropped, connection.request);
  connection.request.method = std::move(dropped.method);
  this->hold(connection, ReceiveBudget::Phase::Receiving, 0);
  if (status == 413 || status == 431)
    ++this->limitRecords[connection.listener].counted.tooLarge;
  this->send(connection, refusalOf(status, code, message));
}

void Server::refuseForBudget(Connection &connection) {
  ++this->limitRecords[connection.listener].counted.refused;
  this->refuse(connection, 503, "limit-reached", "Clients of this listener hold too much memory.");
  this->logLimits(connection.listener);
}

void Server::send(Connection &connection, Response response) {
  connection.response = std::move(response);
  // libwebsockets does not report a connection as writable while its input is held back.
  lws_rx_flow_control(connection.wsi, 1);
  this->deadlines.set(connection.number, this->options.receiveTimeout);
  lws_callback_on_writable(connection.wsi);
}

void Server::respond(ExchangeId exchange, Response response) {
  const auto found = this->exchanges.find(exchange);
  if (found == this->exchanges.end() || found->second->response)
    return;
  // While an answer waits to be read, libwebsockets polls for the input behind it in a busy loop,
  // so that callers who send on without reading would take the whole thread.
  if (this->closing || this->draining || hasMoreInput(found->second->wsi))
    found->second->closeAfterResponse = true;
  this->send(*found->second, this->admitAnswer(exchange, std::move(response)));
}

Response Server::admitAnswer(ExchangeId exchange, Response response) {
  const auto found = this->exchanges.find(exchange);
  if (found == this->exchanges.end() || std::exchange(found->second->answerAdmitted, true))
    return response;
  return this->chargeAnswer(*found->second, std::move(response));
}

void Server::abort(ExchangeId exchange) {
  const auto found = this->exchanges.find(exchange);
  if (found == this->exchanges.end())
    return;
  Connection &connection = *found->second;
  this->closeExchange(connection);
  connection.response.reset();
  lws_set_timeout(connection.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void Server::drain() { this->draining = true; }

void Server::stop() {
  this->stopped = true;
  this->deadlines.stop();
}

std::string Server::composeHead(const Connection &connection) const {
  const Response &response = *connection.response;
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
  head.append(reasonPhrase(response.status)).append("\r\n");
  for (const auto &[name, value] : response.headers) {
    if (name == "content-length" || name == "connection" || name == "transfer-encoding")
      continue;
    // A line break would let a value forge headers.
    if (hasLineBreak(name) || hasLineBreak(value))
      continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  head += "content-length: " + std::to_string(response.body.size()) + "\r\n";
  if (connection.closeAfterResponse)
    head += "connection: close\r\n";
  return head + "\r\n";
}

int Server::onWritable(Connection &connection) {
  if (!connection.response || connection.lingering || connection.ending)
    return 0;
  const std::string &body = connection.response->body;
  const std::size_t bodySize = connection.request.method == "HEAD" ? 0 : body.size();
  if (connection.headWritten && connection.bodyWritten == bodySize)
    return this->onResponseWritten(connection);

  std::string piece(LWS_PRE, '\0');
  if (!connection.headWritten)
    piece += this->composeHead(connection);
  const std::size_t taken = std::min(bodySize - connection.bodyWritten, WritePieceBytes);
  piece.append(body, connection.bodyWritten, taken);
  connection.headWritten = true;
  connection.bodyWritten += taken;
  auto *start = reinterpret_cast<unsigned char *>(piece.data()) + LWS_PRE;
  if (lws_write(connection.wsi, start, piece.size() - LWS_PRE, LWS_WRITE_HTTP) < 0)
    return -1;
  this->deadlines.set(connection.number, this->options.receiveTimeout);
  if (connection.bodyWritten == bodySize && lws_partial_buffered(connection.wsi) == 0)
    return this->onResponseWritten(connection);
  lws_callback_on_writable(connection.wsi);
  return 0;
}

int Server::onResponseWritten(Connection &connection) {
  this->closeExchange(connection);
  std::string().swap(connection.response->body);
  if (!connection.closeAfterResponse) {
    connection.response.reset();
    connection.headBytes = 0;
    connection.answerAdmitted = false;
    this->hold(connection, ReceiveBudget::Phase::Waiting, 0);
    connection.receiving = true;
    this->deadlines.set(connection.number, this->options.keepAliveTimeout);
    lws *wsi = connection.wsi;
    if (lws_http_transaction_completed(wsi) != 0)
      return -1;
    // The library keeps its timeouts in a sorted list, and walks along it at each request.
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    return 0;
  }
  if (connection.bodyKind != BodyKind::Discarded)
    return -1;
  // The rest of the request is still read, and dropped.
  connection.lingering = true;
  this->deadlines.set(connection.number, LingerTimeout);
  return 0;
}

int Server::onRawWritable(Connection &connection) {
  if (connection.lingering || connection.ending)
    return 0;
  if (!connection.response)
    this->refuse(connection, 400, "malformed", "The request is not HTTP/1.1.");
  std::string answer = std::string(LWS_PRE, '\0') + this->composeHead(connection);
  answer += connection.response->body;
  auto *start = reinterpret_cast<unsigned char *>(answer.data()) + LWS_PRE;
  if (lws_write(connection.wsi, start, answer.size() - LWS_PRE, LWS_WRITE_RAW) < 0)
    return -1;
  connection.lingering = true;
  this->deadlines.set(connection.number, LingerTimeout);
  return 0;
}

void Server::onDeadline(std::uint64_t number) {
  if (number == DisconnectKey) {
    this->findDisconnected();
    return;
  }
  if (number == TrimKey) {
    this->trim();
    return;
  }
  lws_set_timeout(this->byNumber.at(number)->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

void Server::findDisconnected() {
  std::vector<lws *> gone;
  for (const auto &[exchange, connection] : this->exchanges) {
    if (hasHungUp(connection->wsi))
      gone.push_back(connection->wsi);
  }
  for (lws *wsi : gone)
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  if (!this->exchanges.empty())
    this->deadlines.set(DisconnectKey, DisconnectInterval);
}

void Server::closeExchange(Connection &connection) {
  if (connection.exchange == 0)
    return;
  this->exchanges.erase(connection.exchange);
  connection.exchange = 0;
  assert(this->openCount.load() > 0);
  --this->openCount;
}

void Server::onClosed(lws *wsi) {
  const auto found = this->connections.find(wsi);
  if (found == this->connections.end())
    return;
  const ExchangeId exchange = found->second->exchange;
  this->closeExchange(*found->second);
  this->deadlines.cancel(found->second->number);
  this->budget.close(found->second->number);
  this->scheduleTrim();
  this->byNumber.erase(found->second->number);
  this->connections.erase(found);
  if (exchange != 0 && !this->stopped && this->handlers.onDisconnect)
    this->handlers.onDisconnect(exchange);
}

template <typename Ask> bool Server::makeRoom(Ask ask) {
  while (true) {
    const ReceiveBudget::Decision decision = ask();
    if (decision.action == ReceiveBudget::Action::Take)
      return true;
    if (decision.action == ReceiveBudget::Action::Refuse)
      return false;
    // Each step makes the victim hold less, or ends it.
    this->drop(*this->byNumber.at(decision.victim));
  }
}

bool Server::admit(Connection &connection) {
  const auto found = this->listeners.find(lws_get_vhost(connection.wsi));
  connection.listener = found == this->listeners.end() ? std::uint16_t(0) : found->second.number;
  // The library allocates space for the largest head at the first byte, which it does not report.
  const bool taken = this->makeRoom([&] {
    return this->budget.open(connection.listener, connection.number,
                             ConnectionBytes + 2 * this->options.maxHeadBytes);
  });
  this->peakBytes = std::max(this->peakBytes, this->budget.heldBytes());
  if (taken)
    return true;
  ++this->limitRecords[connection.listener].counted.closed;
  connection.ending = true;
  connection.receiving = false;
  // Not at once, since this is its own event.
  this->deadlines.set(connection.number, base::Duration::zero());
  this->logLimits(connection.listener);
  return false;
}

bool Server::hold(Connection &connection, ReceiveBudget::Phase phase, std::size_t bytes) {
  // Input that is not HTTP has a connection that was not admitted, and ends at once.
  if (!this->budget.isKnown(connection.number))
    return true;
  const bool taken = this->makeRoom([&] {
    return this->budget.change(connection.number, phase,
                               ConnectionBytes + 2 * this->options.maxHeadBytes + bytes);
  });
  this->peakBytes = std::max(this->peakBytes, this->budget.heldBytes());
  return taken;
}

bool Server::growBody(Connection &connection, std::size_t more) {
  std::string &body = connection.request.body;
  const std::size_t needed = body.size() + more;
  if (needed <= connection.bodyCapacity)
    return true;
  // Doubled, so that little is copied, and never beyond what can still arrive.
  const std::size_t mostBytes =
      connection.bodyKind == BodyKind::Length ? connection.bodyLength : connection.maxBodyBytes;
  const std::size_t capacity = std::max(needed, std::min(2 * connection.bodyCapacity, mostBytes));
  if (!this->hold(connection, ReceiveBudget::Phase::Receiving, connection.headBytes + capacity)) {
    this->refuseForBudget(connection);
    return false;
  }
  // `std::string::reserve` doubles on its own account.
  std::string larger;
  larger.reserve(capacity);
  larger.append(body);
  body.swap(larger);
  connection.bodyCapacity = capacity;
  return true;
}

void Server::drop(Connection &connection) {
  if (connection.receiving && connection.bodyKind != BodyKind::Discarded &&
      connection.headBytes > 0) {
    this->refuseForBudget(connection);
    return;
  }
  const std::uint16_t listener = connection.listener;
  ++this->limitRecords[listener].counted.closed;
  // At once: the library accepts all connections that wait before its timers run.
  lws_set_timeout(connection.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  this->logLimits(listener);
}

Response Server::chargeAnswer(Connection &connection, Response response) {
  // libwebsockets keeps what the kernel does not take of the piece that is being written.
  const std::size_t bytes = response.body.size() + std::min(response.body.size(), WritePieceBytes);
  const std::size_t charged = bytes > ConnectionBytes / 2 ? bytes : 0;
  if (this->hold(connection, ReceiveBudget::Phase::Serving, charged))
    return response;
  ++this->limitRecords[connection.listener].counted.withheld;
  this->hold(connection, ReceiveBudget::Phase::Serving, 0);
  this->logLimits(connection.listener);
  const std::string &method = connection.request.method;
  if (method == "GET" || method == "HEAD")
    return refusalOf(503, "limit-reached",
                     "The answer does not fit into the memory for this listener's clients.");
  return refusalOf(504, "limit-reached",
                   "The answer does not fit into the memory for this listener's clients.",
                   "may-have-run");
}

std::vector<ReceiveUsage> Server::receiveUsage() const {
  std::vector<ReceiveUsage> result;
  for (const auto &[listener, record] : this->limitRecords) {
    const ReceiveBudget::Usage held = this->budget.usage(listener);
    result.resize(listener + 1U);
    result[listener] = record.counted;
    result[listener].bytes = held.bytes;
    result[listener].connections = held.connections;
  }
  return result;
}

void Server::logLimits(std::uint16_t listener) {
  LimitRecord &record = this->limitRecords[listener];
  const base::TimePoint now = base::steadyNow();
  if (now < record.nextLog)
    return;
  record.nextLog = now + LimitLogInterval;
  const ReceiveBudget::Usage held = this->budget.usage(listener);
  base::logEvent(base::Event::ReceiveLimitReached,
                 {{"port", std::to_string(record.port)},
                  {"bytes", std::to_string(held.bytes)},
                  {"connections", std::to_string(held.connections)},
                  {"refused", std::to_string(record.counted.refused - record.logged.refused)},
                  {"closed", std::to_string(record.counted.closed - record.logged.closed)},
                  {"withheld", std::to_string(record.counted.withheld - record.logged.withheld)}});
  record.logged = record.counted;
}

void Server::scheduleTrim() {
  const std::size_t held = this->budget.heldBytes();
  if (this->trimScheduled || this->stopped || held + TrimBytes > this->peakBytes)
    return;
  this->trimScheduled = true;
  this->deadlines.set(TrimKey, TrimDelay);
}

void Server::trim() {
  this->trimScheduled = false;
  this->peakBytes = this->budget.heldBytes();
  malloc_trim(0);
}

} // namespace banyanrill::http
