#include "banyanrill/daemon/Replies.h"

#include <nlohmann/json.hpp>

namespace banyanrill::daemon {

namespace {

/// Long enough for an election or a slot to free up, short enough for a waiting dispatcher.
constexpr const char *RetryAfterSeconds = "1";

} // namespace

http::Response jsonResponse(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

http::Response refusal(int status, base::Verdict verdict, const base::Error &error) {
  const nlohmann::json body = {{"error",
                                {{"code", error.code.message()},
                                 {"message", error.message},
                                 {"path", error.path},
                                 {"rule", error.message}}},
                               {"verdict", base::toString(verdict)}};
  http::Response response = jsonResponse(status, body.dump());
  response.headers.emplace_back("banyanrill-verdict", std::string(base::toString(verdict)));
  if (status == 429 || status == 503)
    response.headers.emplace_back("retry-after", RetryAfterSeconds);
  return response;
}

int statusOf(const base::Error &error) {
  switch (static_cast<base::Errc>(error.code.value())) {
  case base::Errc::Malformed:
    return 400;
  case base::Errc::Unauthorized:
    return 401;
  case base::Errc::Forbidden:
    return 403;
  case base::Errc::NotFound:
    return 404;
  case base::Errc::VersionConflict:
    return 409;
  case base::Errc::TooLarge:
    return 413;
  case base::Errc::SchemaViolation:
  case base::Errc::KeyReuse:
  case base::Errc::Infeasible:
    return 422;
  case base::Errc::LimitReached:
    return 429;
  case base::Errc::Unavailable:
  case base::Errc::DataCorrupted:
  case base::Errc::StorageFailure:
    return 503;
  }
  return 500;
}

} // namespace banyanrill::daemon
