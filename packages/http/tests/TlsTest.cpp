// Guards against TLS that accepts a server of another authority, and against a start with bad
// files.
#include "RawSocket.h"
#include "TestCertificates.h"
#include "TestLoop.h"

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::http;
using base::Verdict;

namespace {

struct TlsFixture : Utest {
  TlsFixture() {
    std::filesystem::create_directories(this->folder);
    this->options.tls.certificate = this->write("server.pem", test::ServerCertificatePem);
    this->options.tls.privateKey = this->write("server.key", test::ServerKeyPem);
    this->authority = this->write("authority.pem", test::AuthorityPem);
    this->otherAuthority = this->write("other.pem", test::OtherAuthorityPem);
  }
  ~TlsFixture() override { std::filesystem::remove_all(this->folder); }

  std::string write(const char *name, const char *content) const {
    const std::string file = this->folder / name;
    std::ofstream(file) << content;
    return file;
  }

  static Call tlsCall(const Loop &loop, const std::string &authorityFile) {
    Call call = test::callTo(loop, "POST", "/secret", std::string(200000, 'x'));
    call.tls = true;
    call.tlsAuthority = authorityFile;
    return call;
  }

  std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("banyanrill-tls-" + std::to_string(::getpid()));
  LoopOptions options;
  std::string authority;
  std::string otherAuthority;
  std::unique_ptr<Client> client = std::move(Client::start().value());
};

} // namespace

TEST_GROUP_BASE(Tls, TlsFixture){};

TEST(Tls, RoundTrips) {
  const test::TestServer server(test::echo, this->options);
  CHECK(server.loop != nullptr);
  for (int index = 0; index < 3; ++index) {
    const CallResult result = this->client->call(tlsCall(*server.loop, this->authority));
    STRCMP_EQUAL("", result.failure.c_str());
    CHECK(result.verdict == Verdict::Ran);
    LONGS_EQUAL(200000, result.response.body.size());
  }
}

TEST(Tls, RefusesAServerOfAnotherAuthority) {
  std::atomic<int> requests = 0;
  const test::TestServer server([&requests](Loop &, ExchangeId, Request) { ++requests; },
                                this->options);
  const CallResult result = this->client->call(tlsCall(*server.loop, this->otherAuthority));
  CHECK(result.verdict == Verdict::DidNotRun);
  // Without an authority the system's own ones count, and the name is checked.
  CHECK(this->client->call(tlsCall(*server.loop, "")).verdict == Verdict::DidNotRun);
  CHECK(this->client->call(tlsCall(*server.loop, "/nowhere/ca.pem")).verdict == Verdict::DidNotRun);
  LONGS_EQUAL(0, requests.load());
}

TEST(Tls, RefusesAClientWithoutARequiredCertificate) {
  this->options.tls.clientAuthority = this->authority;
  std::atomic<int> requests = 0;
  const test::TestServer server([&requests](Loop &, ExchangeId, Request) { ++requests; },
                                this->options);
  CHECK(server.loop != nullptr);
  CHECK(this->client->call(tlsCall(*server.loop, this->authority)).verdict != Verdict::Ran);
  LONGS_EQUAL(0, requests.load());
}

TEST(Tls, PlainCallDoesNotReachTheHandler) {
  std::atomic<int> requests = 0;
  const test::TestServer server([&requests](Loop &, ExchangeId, Request) { ++requests; },
                                this->options);
  CHECK(this->client->call(test::callTo(*server.loop, "GET", "/")).verdict != Verdict::Ran);
  LONGS_EQUAL(0, requests.load());
}

TEST(Tls, BadFilesAreMalformed) {
  for (const TlsFiles &files :
       {TlsFiles{"/nowhere/server.pem", this->options.tls.privateKey, ""},
        TlsFiles{this->options.tls.certificate, "", ""},
        TlsFiles{this->options.tls.privateKey, this->options.tls.certificate, ""},
        TlsFiles{this->options.tls.certificate, this->options.tls.privateKey, "/nowhere/ca.pem"}}) {
    LoopOptions bad;
    bad.tls = files;
    const auto loop = Loop::start(bad, {});
    CHECK(!loop.ok());
    CHECK(loop.error().code == base::Errc::Malformed);
  }
}

TEST(Tls, AddressInUseIsUnavailable) {
  const test::TestServer server(test::echo);
  LoopOptions second;
  second.port = server.loop->port();
  const auto loop = Loop::start(second, {});
  CHECK(!loop.ok());
  CHECK(loop.error().code == base::Errc::Unavailable);
}
