#include "banyanrill/wire/Codec.h"

#include "Fields.h"
#include "Versioned.h"

namespace banyanrill::wire {

std::string encode(const Envelope &envelope) { return encodeVersioned(envelope); }

base::Result<Envelope> decodeEnvelope(std::string_view bytes) {
  return decodeVersioned<Envelope>(bytes, "message");
}

std::string encode(const control::Batch &batch) { return encodeVersioned(batch); }

base::Result<control::Batch> decodeBatch(std::string_view bytes) {
  return decodeVersioned<control::Batch>(bytes, "log entry");
}

std::string encode(const consensus::Snapshot &snapshot) { return encodeVersioned(snapshot); }

base::Result<consensus::Snapshot> decodeSnapshot(std::string_view bytes) {
  return decodeVersioned<consensus::Snapshot>(bytes, "snapshot");
}

} // namespace banyanrill::wire
