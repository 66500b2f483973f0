// Reads the head of a message that libwebsockets has parsed.
#pragma once

#include "banyanrill/http/Message.h"

#include <optional>
#include <string>
#include <vector>

struct lws;

namespace banyanrill::http {

/// All registered headers and those of `customHeaders`. Valid only in the callback in which
/// libwebsockets presents the head. Loop thread only.
Headers readHeaders(lws *wsi, const std::vector<std::string> &customHeaders);

/// Method, path, query and headers; empty if the method is not supported. Loop thread only.
std::optional<Request> readRequestHead(lws *wsi, const std::vector<std::string> &customHeaders);

} // namespace banyanrill::http
