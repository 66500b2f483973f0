#include "HeaderReader.h"

#include <libwebsockets.h>
#include <string_view>

namespace banyanrill::http {

namespace {

std::string copyToken(lws *wsi, lws_token_indexes token, int length) {
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  const int copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
  value.resize(copied < 0 ? 0 : static_cast<std::size_t>(copied));
  return value;
}

/// Adds each occurrence of a header by itself. Others are joined with commas, which would make one
/// credential out of two.
void addEach(Headers &headers, const std::string &name, lws *wsi, lws_token_indexes token,
             int totalLength) {
  for (int index = 0;; ++index) {
    std::string value(static_cast<std::size_t>(totalLength) + 1, '\0');
    const int copied = lws_hdr_copy_fragment(wsi, value.data(), totalLength + 1, token, index);
    if (copied < 0)
      return;
    value.resize(static_cast<std::size_t>(copied));
    headers.emplace_back(name, std::move(value));
  }
}

/// libwebsockets splits the query at '&' and decodes the parts; they are encoded again so that a
/// decoded '&' or '%' does not change the meaning of the joined text.
std::string readQuery(lws *wsi) {
  std::string query;
  for (int index = 0;; ++index) {
    const int length = lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, index);
    if (length <= 0)
      return query;
    std::string part(static_cast<std::size_t>(length) + 1, '\0');
    const int copied =
        lws_hdr_copy_fragment(wsi, part.data(), length + 1, WSI_TOKEN_HTTP_URI_ARGS, index);
    if (copied < 0)
      return query;
    part.resize(static_cast<std::size_t>(copied));
    if (!query.empty())
      query += '&';
    const std::size_t equals = part.find('=');
    query += encodeQueryPart(std::string_view(part).substr(0, equals));
    if (equals != std::string::npos)
      query += '=' + encodeQueryPart(std::string_view(part).substr(equals + 1));
  }
}

} // namespace

Headers readHeaders(lws *wsi, const std::vector<std::string> &customHeaders) {
  Headers headers;
  for (int index = 0; index < WSI_TOKEN_COUNT; ++index) {
    const auto token = static_cast<lws_token_indexes>(index);
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
      continue;
    const auto *text = reinterpret_cast<const char *>(lws_token_to_string(token));
    if (text == nullptr)
      continue;
    std::string_view name = text;
    // Names of headers end with a colon; other tokens are methods, and a leading colon marks
    // pseudo headers of HTTP/2.
    if (name.size() < 2 || name.back() != ':' || name.front() == ':')
      continue;
    name.remove_suffix(1);
    if (token == WSI_TOKEN_HTTP_AUTHORIZATION)
      addEach(headers, std::string(name), wsi, token, length);
    else
      headers.emplace_back(name, copyToken(wsi, token, length));
  }
  for (const std::string &name : customHeaders) {
    const std::string key = name + ':';
    const int keyLength = static_cast<int>(key.size());
    const int length = lws_hdr_custom_length(wsi, key.c_str(), keyLength);
    if (length < 0)
      continue;
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, key.c_str(), keyLength);
    if (copied < 0)
      continue;
    value.resize(static_cast<std::size_t>(copied));
    headers.emplace_back(name, std::move(value));
  }
  return headers;
}

std::optional<Request> readRequestHead(lws *wsi, const std::vector<std::string> &customHeaders) {
  static constexpr const char *Methods[] = {"GET",   "POST",   "OPTIONS", "PUT",
                                            "PATCH", "DELETE", "CONNECT", "HEAD"};
  char *path = nullptr;
  int length = 0;
  const int method = lws_http_get_uri_and_method(wsi, &path, &length);
  if (method < LWSHUMETH_GET || method > LWSHUMETH_HEAD || method == LWSHUMETH_CONNECT)
    return std::nullopt;
  Request request;
  request.method = Methods[method];
  request.path.assign(path, static_cast<std::size_t>(length));
  request.query = readQuery(wsi);
  request.headers = readHeaders(wsi, customHeaders);
  return request;
}

} // namespace banyanrill::http
