#include "banyanrill/wire/PeerCodec.h"

#include "Fields.h"
#include "JobFields.h"
#include "Versioned.h"

namespace banyanrill::wire {

std::string encode(const PeerRequest &request) { return encodeVersioned(request); }

base::Result<PeerRequest> decodePeerRequest(std::string_view bytes) {
  return decodeVersioned<PeerRequest>(bytes, "peer request");
}

std::string encode(const PeerReply &reply) { return encodeVersioned(reply); }

base::Result<PeerReply> decodePeerReply(std::string_view bytes) {
  return decodeVersioned<PeerReply>(bytes, "peer reply");
}

std::string encode(const jobs::CommandBatch &batch) { return encodeVersioned(batch); }

base::Result<jobs::CommandBatch> decodeCommandBatch(std::string_view bytes) {
  return decodeVersioned<jobs::CommandBatch>(bytes, "log entry");
}

std::string encode(const jobs::TableState &state) { return encodeVersioned(state); }

base::Result<jobs::TableState> decodeTableState(std::string_view bytes) {
  return decodeVersioned<jobs::TableState>(bytes, "snapshot");
}

} // namespace banyanrill::wire
