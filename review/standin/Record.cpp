#include "Record.h"

#include <chrono>
#include <random>
#include <thread>

namespace review {

namespace {

const std::chrono::steady_clock::time_point Begin = std::chrono::steady_clock::now();

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               Begin)
      .count();
}

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(std::int64_t milliseconds) {
  if (milliseconds > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::uint64_t randomBelow(std::uint64_t bound) {
  static std::mutex mutex;
  static std::mt19937_64 engine(std::random_device{}());
  const std::lock_guard lock(mutex);
  return engine() % bound;
}

std::string randomId() {
  constexpr char Digits[] = "0123456789abcdef";
  std::string id;
  while (id.size() < 16)
    id += Digits[randomBelow(16)];
  return id;
}

void Record::line(const std::string &text) {
  const std::lock_guard lock(this->mutex);
  this->file << nowMs() << ' ' << text << std::endl;
}

void Record::broken(const std::string &rule, const std::string &text) {
  const std::lock_guard lock(this->mutex);
  ++this->breaks;
  this->file << nowMs() << " BROKEN " << rule << ": " << text << std::endl;
}

int Record::brokenCount() {
  const std::lock_guard lock(this->mutex);
  return this->breaks;
}

} // namespace review
