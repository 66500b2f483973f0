// How the memory and the descriptors of a process are shared among its listeners.
#pragma once

#include "banyanrill/http/Loop.h"
#include "banyanrill/node/ProtocolAdapter.h"

#include <cstddef>

namespace banyanrill::node {

/// Body of one request of a caller. A job has at most a quarter of it.
constexpr std::size_t MaxCallerBodyBytes = std::size_t{1024} * 1024;

/// Body of one request for readiness or metrics, which need none.
constexpr std::size_t MaxStatusBodyBytes = std::size_t{16} * 1024;

/// Returns the largest body that a listener takes. Pure and thread-safe.
std::size_t maxBodyBytesOf(ListenerKind kind);

/// Returns what the clients of a listener may hold; 0: the process's limit is not known. Every
/// listener can take one request of its largest size. Pure and thread-safe.
http::ReceiveLimits receiveLimitsOf(ListenerKind kind, std::size_t memoryBytes,
                                    std::size_t descriptors);

} // namespace banyanrill::node
