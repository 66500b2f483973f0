#include "ListenerLimits.h"

#include "MessageLimits.h"

#include <algorithm>

namespace banyanrill::node {

namespace {

constexpr std::size_t MiB = std::size_t{1024} * 1024;

/// Kept for files: the log, snapshots, and what libraries open.
constexpr std::size_t FileDescriptors = 200;

/// Least number of connections of a listener.
constexpr std::size_t MinConnections = 8;

/// Around a body of the largest size: its head and the connection.
constexpr std::size_t RequestOverheadBytes = MiB;

/// Of the memory of the process, for each of callers, operators with workers, and peers. The rest
/// is for the replicated state, the one body that is being parsed, and buffers of the library.
constexpr std::size_t MemoryParts = 8;

/// Of the memory of the process, for readiness and for metrics.
constexpr std::size_t StatusMemoryParts = 64;

/// Hundredths of the descriptors that are not kept for files. What remains is for calls to workers
/// and peers.
std::size_t percentOf(ListenerKind kind) {
  switch (kind) {
  case ListenerKind::Front:
    return 40;
  case ListenerKind::Control:
    return 20;
  case ListenerKind::Peer:
    return 10;
  case ListenerKind::Ready:
  case ListenerKind::Metrics:
    return 2;
  }
  return 0;
}

bool isStatus(ListenerKind kind) {
  return kind == ListenerKind::Ready || kind == ListenerKind::Metrics;
}

} // namespace

std::size_t maxBodyBytesOf(ListenerKind kind) {
  switch (kind) {
  case ListenerKind::Front:
    return MaxCallerBodyBytes;
  case ListenerKind::Control:
    return MaxRequestBytes;
  case ListenerKind::Peer:
    return MaxPeerRequestBytes;
  case ListenerKind::Ready:
  case ListenerKind::Metrics:
    return MaxStatusBodyBytes;
  }
  return 0;
}

http::ReceiveLimits receiveLimitsOf(ListenerKind kind, std::size_t memoryBytes,
                                    std::size_t descriptors) {
  http::ReceiveLimits limits;
  if (memoryBytes > 0)
    limits.memoryBytes = std::max(memoryBytes / (isStatus(kind) ? StatusMemoryParts : MemoryParts),
                                  maxBodyBytesOf(kind) + RequestOverheadBytes);
  if (descriptors > 0) {
    const std::size_t available =
        descriptors > FileDescriptors ? descriptors - FileDescriptors : std::size_t(0);
    limits.connections = std::max(available * percentOf(kind) / 100, MinConnections);
  }
  return limits;
}

} // namespace banyanrill::node
