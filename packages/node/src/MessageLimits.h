// The sizes of what a node accepts and of the messages that it makes from it.
#pragma once

#include <cstddef>

namespace banyanrill::node {

/// Body of one request of a caller, worker or operator. Large enough for configurations with
/// thousands of queues.
constexpr std::size_t MaxRequestBytes = std::size_t{4} * 1024 * 1024;

/// Frames, names and numbers around a payload, with room.
constexpr std::size_t MaxFrameBytes = std::size_t{1024} * 1024;

/// Payload of one log entry. A command holds at most the body of a request and what was parsed from
/// it, which is not larger than the body.
constexpr std::size_t MaxEntryBytes = 2 * MaxRequestBytes + MaxFrameBytes;

/// Body of one request of a peer. The largest carries one log entry, or one forwarded request.
constexpr std::size_t MaxPeerRequestBytes = MaxEntryBytes + MaxFrameBytes;

} // namespace banyanrill::node
