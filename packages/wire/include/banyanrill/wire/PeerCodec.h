// Encoding of peer messages and of the job table's log entries and snapshots.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/jobs/Table.h"
#include "banyanrill/wire/Peer.h"

#include <string>
#include <string_view>

namespace banyanrill::wire {

/// All functions here are pure and thread-safe. Decoders fail with Malformed for any input that the
/// encoder cannot have produced.
std::string encode(const PeerRequest &request);
base::Result<PeerRequest> decodePeerRequest(std::string_view bytes);

std::string encode(const PeerReply &reply);
base::Result<PeerReply> decodePeerReply(std::string_view bytes);

std::string encode(const jobs::CommandBatch &batch);
base::Result<jobs::CommandBatch> decodeCommandBatch(std::string_view bytes);

std::string encode(const jobs::TableState &state);
base::Result<jobs::TableState> decodeTableState(std::string_view bytes);

} // namespace banyanrill::wire
