// Guards against counts that are not cumulative, and against long durations that are left out.
#include "banyanrill/base/LatencyHistogram.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::base;

namespace {

bool contains(const std::string &text, const char *line) {
  return text.find(line) != std::string::npos;
}

} // namespace

TEST_GROUP(LatencyHistogram){};

TEST(LatencyHistogram, CountsUpToEachBound) {
  LatencyHistogram histogram;
  histogram.note(std::chrono::milliseconds(3));
  histogram.note(std::chrono::milliseconds(3));
  histogram.note(std::chrono::milliseconds(300));
  const std::string text = histogram.text("x_seconds", "request=\"a\"");
  CHECK(contains(text, "x_seconds_bucket{request=\"a\",le=\"0.0025\"} 0\n"));
  CHECK(contains(text, "x_seconds_bucket{request=\"a\",le=\"0.005\"} 2\n"));
  CHECK(contains(text, "x_seconds_bucket{request=\"a\",le=\"0.5\"} 3\n"));
  CHECK(contains(text, "x_seconds_sum{request=\"a\"} 0.306\n"));
  CHECK(contains(text, "x_seconds_count{request=\"a\"} 3\n"));
}

TEST(LatencyHistogram, CountsWhatIsLongerThanTheLastBound) {
  LatencyHistogram histogram;
  histogram.note(std::chrono::minutes(5));
  const std::string text = histogram.text("x_seconds", "");
  CHECK(contains(text, "x_seconds_bucket{le=\"60\"} 0\n"));
  CHECK(contains(text, "x_seconds_bucket{le=\"+Inf\"} 1\n"));
  CHECK(contains(text, "x_seconds_count 1\n"));
}
