// Guards against addresses that no call can reach, or that would make a call look up a name.
#include "banyanrill/http/Address.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;

TEST_GROUP(AddressText){};

TEST(AddressText, NumericHostAndPort) {
  CHECK(parseAddress("10.0.0.9:80") == (Address{"10.0.0.9", 80}));
  CHECK(parseAddress("10.0.0.9:65535") == (Address{"10.0.0.9", 65535}));
}

TEST(AddressText, EverythingElseIsRefused) {
  for (const char *text :
       {"", ":", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
        "10.0.0.9:99999999999999999999", "10.0.0.9:80x", "10.0.0.9: 80", "10.0.0.9:8.0", ":80",
        "host.example:80", "10.0.0.999:80", "10.0.9:80", "[::1]:80", "10.0.0.9:80:81"})
    CHECK_TEXT(!parseAddress(text).has_value(), text);
}
