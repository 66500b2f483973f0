// Guards against identifiers from outside that cannot be written into a path, a header or JSON.
#include "banyanrill/jobs/Api.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace banyanrill::jobs;

TEST_GROUP(Identifier){};

TEST(Identifier, PrintableTextWithinTheLimit) {
  CHECK(isIdentifier("i-7f3a91c2", 256));
  CHECK(isIdentifier("5c0e7a21d94b36f8", 16));
  CHECK(isIdentifier("a.b:c_d~", 8));
}

TEST(Identifier, EverythingElseIsRefused) {
  for (const char *text : {"", "a b", "a/b", "a\n", "\x7f", "\xff", "\xc3\xa9", "a\r\nx: y"})
    CHECK_TEXT(!isIdentifier(text, 256), text);
  CHECK(!isIdentifier(std::string("a\0b", 3), 256));
  CHECK(!isIdentifier("5c0e7a21d94b36f8", 15));
}
