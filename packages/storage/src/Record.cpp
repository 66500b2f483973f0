#include "Record.h"

#include "Bytes.h"

#include <utility>

namespace banyanrill::storage {

namespace {

enum class Item : std::uint8_t { HardState = 1, Snapshot = 2, Entry = 3 };

void appendItem(std::string &body, Item item) {
  appendNumber(body, static_cast<std::uint8_t>(item));
}

StoredEntry takeEntry(ByteReader &reader) {
  StoredEntry entry;
  entry.index = reader.number<std::uint64_t>();
  entry.term = reader.number<std::uint64_t>();
  entry.kind = reader.number<std::uint8_t>();
  const auto size = reader.number<std::uint32_t>();
  entry.payload = reader.take(size);
  return entry;
}

} // namespace

std::string encodeRecord(const std::optional<StoredHardState> &hardState,
                         const std::optional<SnapshotMark> &snapshot,
                         std::span<const StoredEntry> entries) {
  std::string body;
  if (hardState) {
    appendItem(body, Item::HardState);
    appendNumber(body, hardState->term);
    appendNumber(body, hardState->votedFor);
  }
  if (snapshot) {
    appendItem(body, Item::Snapshot);
    appendNumber(body, snapshot->index);
    appendNumber(body, snapshot->term);
    appendNumber(body, static_cast<std::uint8_t>(snapshot->resetLog));
  }
  for (const StoredEntry &entry : entries) {
    appendItem(body, Item::Entry);
    appendNumber(body, entry.index);
    appendNumber(body, entry.term);
    appendNumber(body, entry.kind);
    appendNumber(body, static_cast<std::uint32_t>(entry.payload.size()));
    body += entry.payload;
  }
  return body;
}

std::optional<Record> decodeRecord(std::string_view body) {
  Record record;
  ByteReader reader(body);
  while (reader.ok() && !reader.atEnd()) {
    switch (static_cast<Item>(reader.number<std::uint8_t>())) {
    case Item::HardState: {
      StoredHardState hardState;
      hardState.term = reader.number<std::uint64_t>();
      hardState.votedFor = reader.number<std::uint32_t>();
      record.hardState = hardState;
      break;
    }
    case Item::Snapshot: {
      SnapshotMark mark;
      mark.index = reader.number<std::uint64_t>();
      mark.term = reader.number<std::uint64_t>();
      mark.resetLog = reader.number<std::uint8_t>() != 0;
      record.snapshot = mark;
      break;
    }
    case Item::Entry:
      record.entries.push_back(takeEntry(reader));
      break;
    default:
      return std::nullopt;
    }
  }
  if (!reader.ok())
    return std::nullopt;
  return record;
}

} // namespace banyanrill::storage
