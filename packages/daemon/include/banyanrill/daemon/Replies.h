// Builds the HTTP responses that all interfaces share.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/base/Verdict.h"
#include "banyanrill/http/Message.h"

#include <string>

namespace banyanrill::daemon {

/// All functions here are pure and thread-safe.
http::Response jsonResponse(int status, std::string body);

/// Refusal with the error and the verdict. 429 and 503 get Retry-After.
http::Response refusal(int status, base::Verdict verdict, const base::Error &error);

/// HTTP status that stands for an error.
int statusOf(const base::Error &error);

} // namespace banyanrill::daemon
