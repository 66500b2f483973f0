// Encoding of messages and log entries. Other packages do not depend on the encoded form.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/wire/Message.h"

#include <string>
#include <string_view>

namespace banyanrill::wire {

/// Version of the encoding; a message of another version is rejected.
inline constexpr std::uint32_t ProtocolVersion = 1;

/// All functions here are pure and thread-safe.
std::string encode(const Envelope &envelope);

/// Errors: Malformed, for any input that `encode` cannot have produced.
base::Result<Envelope> decodeEnvelope(std::string_view bytes);

std::string encode(const control::Batch &batch);
base::Result<control::Batch> decodeBatch(std::string_view bytes); ///< Errors: Malformed.

std::string encode(const consensus::Snapshot &snapshot);
base::Result<consensus::Snapshot> decodeSnapshot(std::string_view bytes); ///< Errors: Malformed.

} // namespace banyanrill::wire
