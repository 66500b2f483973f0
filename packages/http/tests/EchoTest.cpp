// Guards against requests or answers that lose their method, path, query, headers or body.
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;
using banyanrill::base::Verdict;

namespace {

struct EchoFixture : Utest {
  test::TestServer server{test::echo};
  std::unique_ptr<Client> client = std::move(Client::start().value());
};

} // namespace

TEST_GROUP_BASE(Echo, EchoFixture){};

TEST(Echo, KeepsAllPartsOfARequest) {
  Call call = test::callTo(*this->server.loop, "PUT", "/v1/settings/a b%/c", "{\"x\":1}");
  call.request.query = "recursive=1&p=%2Fa%26b%252F";
  call.request.headers = {{"idempotency-key", "k-1"},
                          {"authorization", "Bearer t"},
                          {"if-match", "17"},
                          {"banyanrill-deadline-ms", "250"},
                          {"content-type", "application/json"},
                          {"banyanrill-change-id", "c"}};
  const CallResult result = this->client->call(call);
  STRCMP_EQUAL("", result.failure.c_str());
  CHECK(result.verdict == Verdict::Ran);
  LONGS_EQUAL(200, result.response.status);
  STRCMP_EQUAL("{\"x\":1}", result.response.body.c_str());
  const std::string line = findHeader(result.response.headers, "server");
  STRCMP_EQUAL("PUT /v1/settings/a b%/c recursive=1&p=%2Fa%26b%252F", line.c_str());
  STRCMP_EQUAL("/a&b%2F", findQuery(line.substr(line.rfind(' ') + 1), "p").c_str());
  for (const auto &[name, value] : call.request.headers)
    STRCMP_EQUAL(value.c_str(), findHeader(result.response.headers, name).c_str());
}

TEST(Echo, SupportsEveryMethodWithAndWithoutABody) {
  for (const char *method : {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}) {
    for (const char *body : {"", "some bytes"}) {
      const CallResult result =
          this->client->call(test::callTo(*this->server.loop, method, "/m", body));
      CHECK_TEXT(result.verdict == Verdict::Ran, (method + result.failure).c_str());
      STRCMP_EQUAL(body, result.response.body.c_str());
      STRCMP_EQUAL((std::string(method) + " /m ").c_str(),
                   (findHeader(result.response.headers, "server") + "").c_str());
    }
  }
}

TEST(Echo, CarriesABodyOfOneMebibyte) {
  std::string body(1024 * 1024, 'x');
  for (std::size_t at = 0; at < body.size(); ++at)
    body[at] = static_cast<char>(at * 31 % 251);
  const CallResult result =
      this->client->call(test::callTo(*this->server.loop, "POST", "/large", body));
  STRCMP_EQUAL("", result.failure.c_str());
  CHECK(result.verdict == Verdict::Ran);
  CHECK(result.response.body == body);
}

TEST(Echo, RefusesABodyAboveTheLimit) {
  const CallResult result = this->client->call(
      test::callTo(*this->server.loop, "POST", "/large", std::string(1024 * 1024 + 1, 'x')));
  CHECK(result.verdict == Verdict::Ran);
  LONGS_EQUAL(413, result.response.status);
}
