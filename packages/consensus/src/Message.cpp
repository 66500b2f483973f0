#include "banyanrill/consensus/Message.h"

namespace banyanrill::consensus {

std::uint64_t payloadBytes(const Message &message) {
  std::uint64_t bytes = message.snapshot ? message.snapshot->data.size() : 0;
  for (const Entry &entry : message.entries) {
    bytes += entry.payload.size();
  }
  return bytes;
}

} // namespace banyanrill::consensus
