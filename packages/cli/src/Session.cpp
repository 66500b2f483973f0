#include "Session.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <ostream>

namespace banyanrill::cli {

namespace {

using nlohmann::json;

constexpr int ServiceUnavailable = 503;

std::string encode(const Query &query) {
  std::string encoded;
  for (const auto &[name, value] : query) {
    if (!encoded.empty())
      encoded += '&';
    encoded += http::encodeQueryPart(name) + '=' + http::encodeQueryPart(value);
  }
  return encoded;
}

std::string textOf(const json &object, const char *key) {
  const auto found = object.is_object() ? object.find(key) : object.end();
  if (!object.is_object() || found == object.end() || found->is_null())
    return {};
  return found->is_string() ? found->get<std::string>() : found->dump();
}

bool isNumeric(const std::string &host) {
  in6_addr address;
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

std::string name(const Address &server) { return server.host + ':' + std::to_string(server.port); }

} // namespace

Address parseAddress(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return {};
  Address address;
  address.host = text.substr(0, colon);
  if (address.host.size() > 2 && address.host.front() == '[' && address.host.back() == ']')
    address.host = address.host.substr(1, address.host.size() - 2);
  const char *end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end || !isNumeric(address.host))
    address.port = 0;
  return address;
}

Session::Session(SessionOptions sessionOptions, std::unique_ptr<http::Client> httpClient,
                 std::ostream &errorStream)
    : options(std::move(sessionOptions)), client(std::move(httpClient)), errors(errorStream) {}

Session::Attempt Session::attempt(const Address &server, const http::Request &request,
                                  std::chrono::milliseconds limit) {
  http::Call call;
  call.host = server.host;
  call.port = server.port;
  call.tls = !this->options.authority.empty();
  call.tlsAuthority = this->options.authority;
  call.timeout = limit;
  call.request = request;
  call.request.headers.emplace_back("accept", "application/json");
  if (!this->options.token.empty())
    call.request.headers.emplace_back("authorization", "Bearer " + this->options.token);
  const http::CallResult result = this->client->call(std::move(call));

  Attempt attempt;
  attempt.verdict = result.verdict;
  if (result.verdict != base::Verdict::Ran) {
    this->lastFailure = name(server) + ": " + result.failure;
    return attempt;
  }
  Reply &reply = attempt.reply;
  reply.status = result.response.status;
  reply.body = json::parse(result.response.body, nullptr, false);
  reply.code = reply.status >= 200 && reply.status < 300 ? ExitOk : ExitRefused;
  if (reply.code == ExitOk && !reply.body.is_object()) {
    // Not an answer of this protocol, so it says nothing about what was done.
    attempt.verdict = base::Verdict::MayHaveRun;
    this->lastFailure = name(server) + ": the answer is not a JSON object";
  } else if (reply.status == ServiceUnavailable) {
    const bool certain = textOf(reply.body, "verdict") == toString(base::Verdict::DidNotRun);
    attempt.verdict = certain ? base::Verdict::DidNotRun : base::Verdict::MayHaveRun;
    this->lastFailure =
        name(server) + ": " +
        textOf(reply.body.is_object() ? reply.body.value("error", json()) : json(), "message");
  }
  return attempt;
}

Reply Session::get(const std::string &path, const Query &query,
                   std::chrono::milliseconds patience) {
  http::Request request;
  request.method = "GET";
  request.path = path;
  request.query = encode(query);
  Reply last;
  for (const Address &server : this->options.servers) {
    const Attempt result = this->attempt(server, request, this->options.timeout + patience);
    if (result.verdict == base::Verdict::Ran)
      return result.reply;
    if (result.reply.status != 0)
      last = result.reply;
  }
  if (last.status == 0 || last.code == ExitOk)
    last.code = ExitUnreachable;
  return last;
}

Reply Session::postChange(const json &body) {
  http::Request request;
  request.method = "POST";
  request.path = "/v1/changes";
  request.headers = {{"content-type", "application/json"}};
  request.body = body.dump();
  Reply last;
  bool mayHaveRun = false;
  // With one server, a lost answer is asked for once more.
  const std::size_t attempts = std::max<std::size_t>(this->options.servers.size(), 2);
  for (std::size_t index = 0; index < attempts; ++index) {
    if (index >= this->options.servers.size() && !mayHaveRun)
      break;
    const Address &server = this->options.servers[index % this->options.servers.size()];
    const Attempt result = this->attempt(server, request, this->options.timeout);
    if (result.verdict == base::Verdict::Ran)
      return result.reply;
    mayHaveRun = mayHaveRun || result.verdict == base::Verdict::MayHaveRun;
    if (result.reply.status != 0)
      last = result.reply;
  }
  if (mayHaveRun)
    last.code = ExitUnknownOutcome;
  else if (last.status == 0)
    last.code = ExitUnreachable;
  return last;
}

ExitCode Session::fail(ExitCode code, const std::string &message) {
  this->errors << "banyanrill: " << message << '\n';
  return code;
}

ExitCode Session::report(const Reply &reply) {
  if (reply.code == ExitOk)
    return ExitOk;
  if (reply.code == ExitUnreachable)
    return this->fail(reply.code, "no server can be reached (" + this->lastFailure + ')');
  if (reply.code == ExitUnknownOutcome)
    return this->fail(reply.code, "the outcome is unknown: the change may have been made (" +
                                      this->lastFailure +
                                      "); repeat the command with the same --change-id");
  const json error = reply.body.is_object() ? reply.body.value("error", json()) : json();
  std::string message = textOf(error, "message");
  if (message.empty())
    message = "the server answered with status " + std::to_string(reply.status);
  if (const std::string path = textOf(error, "path"); !path.empty())
    message += "; path: " + path;
  if (const std::string rule = textOf(error, "rule"); !rule.empty())
    message += "; rule: " + rule;
  const json current = reply.body.is_object() ? reply.body.value("current", json()) : json();
  if (current.is_object())
    message += "; current version " + textOf(current, "version") + ": " +
               current.value("value", json()).dump();
  return this->fail(ExitRefused, message);
}

} // namespace banyanrill::cli
