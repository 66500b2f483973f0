#include "BoundedOutput.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace banyanrill::base {

namespace {

/// Long-term limit of the log of one process.
constexpr double BytesPerSecond = 96.0 * 1024;

/// What may come at once after a quiet time.
constexpr double BurstBytes = 512.0 * 1024;

/// Frequent lines leave this to rare ones, of the allowance and of the buffer.
constexpr double ReservedBytes = 64.0 * 1024;

/// Length of a line before it is formatted.
constexpr std::size_t UsualLineBytes = 256;

/// Between two lines that say how many were dropped.
constexpr Duration ReportInterval = std::chrono::seconds(1);

/// Held back for a slow reader at most.
constexpr std::size_t MaxBuffer = std::size_t(256) * 1024;

/// A pipe that is writable takes this much without waiting (PIPE_BUF).
constexpr std::size_t WriteBytes = 4096;

} // namespace

void BoundedOutput::refill(TimePoint now) {
  if (this->refilled == TimePoint::min()) {
    this->allowance = BurstBytes;
  } else {
    const std::chrono::duration<double> passed = now - this->refilled;
    this->allowance = std::min(BurstBytes, this->allowance + passed.count() * BytesPerSecond);
  }
  this->refilled = now;
}

bool BoundedOutput::hasSpace(std::size_t size, LineKind kind) const {
  const double needed =
      static_cast<double>(size) + (kind == LineKind::Frequent ? ReservedBytes : 0);
  return this->allowance >= needed &&
         static_cast<double>(this->buffer.size()) + needed <= MaxBuffer;
}

bool BoundedOutput::accepts(LineKind kind) {
  const std::lock_guard lock(this->mutex);
  this->refill(steadyNow());
  const bool accepted = this->hasSpace(UsualLineBytes, kind);
  this->droppedLines += accepted ? 0 : 1;
  return accepted;
}

void BoundedOutput::add(std::string_view line, LineKind kind) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = steadyNow();
  this->refill(now);
  if (!this->hasSpace(line.size(), kind)) {
    ++this->droppedLines;
    return;
  }
  this->reportDropped(now);
  this->allowance -= static_cast<double>(line.size());
  this->buffer.append(line);
  this->unwritten += line.size();
  if (this->unwritten >= WriteBytes)
    this->flushLocked();
}

void BoundedOutput::reportDropped(TimePoint now) {
  if (this->droppedLines == this->reportedLines || now < this->nextReport)
    return;
  this->nextReport = now + ReportInterval;
  this->buffer += R"({"event":1007,"name":"log_lines_dropped","lines":)" +
                  std::to_string(this->droppedLines - this->reportedLines) + "}\n";
  this->reportedLines = this->droppedLines;
}

void BoundedOutput::flush() {
  const std::lock_guard lock(this->mutex);
  this->flushLocked();
}

void BoundedOutput::flushLocked() {
  this->unwritten = 0;
  std::size_t written = 0;
  while (written < this->buffer.size()) {
    pollfd event = {this->file, POLLOUT, 0};
    if (poll(&event, 1, 0) <= 0 || (event.revents & POLLOUT) == 0)
      break;
    const std::size_t size = std::min(WriteBytes, this->buffer.size() - written);
    const ssize_t count = write(this->file, this->buffer.data() + written, size);
    if (count <= 0)
      break;
    written += static_cast<std::size_t>(count);
  }
  this->buffer.erase(0, written);
}

std::uint64_t BoundedOutput::dropped() const {
  const std::lock_guard lock(this->mutex);
  return this->droppedLines;
}

} // namespace banyanrill::base
