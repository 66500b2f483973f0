// Guards against a log whose reader stands still: writing must not wait, and what is lost is
// counted.
#include "../src/BoundedOutput.h"

#include <algorithm>
#include <array>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using banyanrill::base::BoundedOutput;

TEST_GROUP(BoundedOutput) {
  std::array<int, 2> ends{};

  void setup() override { CHECK_EQUAL(0, pipe(this->ends.data())); }
  void teardown() override {
    close(this->ends[0]);
    close(this->ends[1]);
  }
};

TEST(BoundedOutput, BlockedReaderDelaysNothing) {
  BoundedOutput output(this->ends[1]);
  const std::string line = std::string(999, 'x') + "\n";
  const auto begin = std::chrono::steady_clock::now();
  for (int count = 0; count < 2000; ++count)
    output.add(line);
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
  CHECK(output.dropped() > 0);
}

TEST(BoundedOutput, ReaderGetsWholeLinesInOrder) {
  BoundedOutput output(this->ends[1]);
  output.add("first\n");
  output.add("second\n");
  output.flush();
  std::array<char, 64> buffer{};
  const ssize_t size = read(this->ends[0], buffer.data(), buffer.size());
  CHECK_EQUAL(std::string("first\nsecond\n"),
              std::string(buffer.data(), static_cast<std::size_t>(size)));
  CHECK_EQUAL(0U, output.dropped());
}

/// Under load the lines of single runs took the whole allowance, and a change of the leader was not
/// in the log.
TEST(BoundedOutput, RareLinesAreKeptWhenFrequentOnesAreDropped) {
  BoundedOutput output(this->ends[1]);
  const std::string line = std::string(999, 'x') + "\n";
  for (int count = 0; count < 2000; ++count)
    output.add(line, banyanrill::base::LineKind::Frequent);
  const std::uint64_t dropped = output.dropped();
  CHECK(dropped > 0);
  for (int count = 0; count < 20; ++count)
    output.add(line);
  CHECK_EQUAL(dropped, output.dropped());
}

/// The line about dropped lines came with each line that was written, and took much of the limit.
TEST(BoundedOutput, DroppedLinesAreReportedOnceASecond) {
  BoundedOutput output(this->ends[1]);
  const std::string line = std::string(999, 'x') + "\n";
  std::string text;
  std::array<char, 65536> buffer{};
  for (int count = 0; count < 3000; ++count) {
    output.add(line, banyanrill::base::LineKind::Frequent);
    output.add("rare\n");
    if (count % 10 == 0) {
      output.flush();
      const ssize_t size = read(this->ends[0], buffer.data(), buffer.size());
      text.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    }
  }
  std::size_t reports = 0;
  for (std::size_t at = text.find("dropped"); at != std::string::npos;
       at = text.find("dropped", at + 1))
    ++reports;
  CHECK(reports >= 1);
  CHECK(reports <= 3);
}

/// Lines that were dropped in the end had been formatted first, which took the leader's processor.
TEST(BoundedOutput, SaysBeforeFormattingWhetherALineWouldBeDropped) {
  BoundedOutput output(this->ends[1]);
  CHECK(output.accepts(banyanrill::base::LineKind::Frequent));
  CHECK_EQUAL(0U, output.dropped());
  const std::string line = std::string(99, 'x') + "\n";
  for (int count = 0; count < 20000; ++count)
    output.add(line, banyanrill::base::LineKind::Frequent);
  const std::uint64_t dropped = output.dropped();
  CHECK(!output.accepts(banyanrill::base::LineKind::Frequent));
  CHECK_EQUAL(dropped + 1, output.dropped());
  CHECK(output.accepts(banyanrill::base::LineKind::Rare));
  CHECK_EQUAL(dropped + 1, output.dropped());
}
