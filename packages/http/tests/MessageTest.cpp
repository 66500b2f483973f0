// Guards against paths and query parameters that change when they are encoded and decoded.
#include "banyanrill/http/Message.h"
#include "../src/PercentEncoding.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::http;

TEST_GROUP(Message){};

TEST(Message, EncodingRoundTrips) {
  CHECK(rc::check("decoding restores what was encoded", [](const std::string &text) {
    RC_ASSERT(decodePercent(encodePath(text)) == text);
    const std::string query = "a=1&p=" + encodeQueryPart(text) + "&z=2";
    RC_ASSERT(findQuery(query, "p") == text);
  }));
}

TEST(Message, FindsHeadersAndParameters) {
  STRCMP_EQUAL("2", findHeader({{"a", "1"}, {"b", "2"}, {"b", "3"}}, "b").c_str());
  STRCMP_EQUAL("", findHeader({}, "b").c_str());
  STRCMP_EQUAL("", findQuery("ab=1&a", "a").c_str());
  STRCMP_EQUAL("x=y", findQuery("ab=1&a=x=y", "a").c_str());
  STRCMP_EQUAL("%zz%4", decodePercent("%zz%4").c_str());
}
