// Claims on requests that may not be repeated, with deterministic contents and saved bytes.
#include "banyanrill/routing/ClaimTable.h"

#include <cassert>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace banyanrill::routing {

namespace {

constexpr std::string_view Magic = "BRC1";

struct Entry {
  std::string digest;
  ClaimHolder holder;
  /// Time of the claim while it is open, of the outcome afterwards.
  std::int64_t sinceMs = 0;
  std::optional<RecordedOutcome> outcome;
};

/// Detects every change of a single byte: each step is a bijection of the running value.
std::uint64_t checksum(std::string_view bytes) {
  std::uint64_t value = 0xcbf29ce484222325U;
  for (const char c : bytes)
    value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return value;
}

void putNumber(std::string &out, std::uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8)
    out += static_cast<char>((value >> shift) & 0xff);
}

void putText(std::string &out, const std::string &text) {
  putNumber(out, text.size());
  out += text;
}

/// Reads little-endian numbers and length-prefixed texts; after a failure `good` stays false.
struct Reader {
  std::string_view rest;
  bool good = true;

  std::uint64_t number() {
    if (this->rest.size() < 8) {
      this->good = false;
      return 0;
    }
    std::uint64_t value = 0;
    for (int i = 7; i >= 0; --i)
      value = value << 8 | static_cast<unsigned char>(this->rest[static_cast<std::size_t>(i)]);
    this->rest.remove_prefix(8);
    return value;
  }

  /// A number that must be at most `highest`.
  std::uint64_t numberUpTo(std::uint64_t highest) {
    const std::uint64_t value = this->number();
    if (value <= highest)
      return value;
    this->good = false;
    return 0;
  }

  std::string text() {
    const std::uint64_t length = this->numberUpTo(this->rest.size());
    if (!this->good || length > this->rest.size()) {
      this->good = false;
      return {};
    }
    std::string value(this->rest.substr(0, length));
    this->rest.remove_prefix(length);
    return value;
  }
};

std::uint64_t toCode(base::Verdict verdict) {
  switch (verdict) {
  case base::Verdict::DidNotRun:
    return 0;
  case base::Verdict::MayHaveRun:
    return 1;
  case base::Verdict::Ran:
    return 2;
  }
  return 1;
}

base::Verdict fromCode(std::uint64_t code) {
  if (code == 0)
    return base::Verdict::DidNotRun;
  return code == 2 ? base::Verdict::Ran : base::Verdict::MayHaveRun;
}

void putOutcome(std::string &out, const RecordedOutcome &outcome) {
  putNumber(out, toCode(outcome.verdict));
  putNumber(out, static_cast<std::uint32_t>(outcome.status));
  putText(out, outcome.contentType);
  putText(out, outcome.body);
  putNumber(out, outcome.bodyKept ? 1 : 0);
}

RecordedOutcome readOutcome(Reader &reader, const ClaimLimits &limits) {
  RecordedOutcome outcome;
  outcome.verdict = fromCode(reader.numberUpTo(2));
  outcome.status = static_cast<int>(static_cast<std::uint32_t>(reader.numberUpTo(0xffffffffU)));
  outcome.contentType = reader.text();
  outcome.body = reader.text();
  outcome.bodyKept = reader.numberUpTo(1) == 1;
  if (outcome.body.size() > limits.bodyBytes || (!outcome.bodyKept && !outcome.body.empty()))
    reader.good = false;
  return outcome;
}

base::Error corrupted(const std::string &rule) {
  return {base::Errc::DataCorrupted, "claims", rule};
}

} // namespace

struct ClaimTable::State {
  ClaimLimits limits;
  std::map<std::string, Entry> entries;
  std::set<std::pair<std::int64_t, std::string>> byAge;

  void insert(const std::string &key, Entry entry) {
    this->byAge.emplace(entry.sinceMs, key);
    this->entries.emplace(key, std::move(entry));
    assert(this->byAge.size() == this->entries.size());
  }

  void erase(std::map<std::string, Entry>::iterator at) {
    this->byAge.erase({at->second.sinceMs, at->first});
    this->entries.erase(at);
    assert(this->byAge.size() == this->entries.size());
  }
};

ClaimTable::ClaimTable(ClaimLimits limits) : state(std::make_unique<State>()) {
  this->state->limits = limits;
}

ClaimTable::~ClaimTable() = default;
ClaimTable::ClaimTable(ClaimTable &&) noexcept = default;
ClaimTable &ClaimTable::operator=(ClaimTable &&) noexcept = default;

ClaimResult ClaimTable::claim(const std::string &key, const std::string &digest,
                              const ClaimHolder &holder, std::int64_t logTimeMs) {
  this->expire(logTimeMs);
  const auto found = this->state->entries.find(key);
  if (found == this->state->entries.end()) {
    if (this->state->entries.size() >= this->state->limits.claims)
      return {ClaimState::TableFull, {}, std::nullopt};
    this->state->insert(key, {digest, holder, logTimeMs, std::nullopt});
    return {ClaimState::Granted, holder, std::nullopt};
  }
  const Entry &entry = found->second;
  if (entry.digest != digest)
    return {ClaimState::Mismatch, entry.holder, std::nullopt};
  if (entry.outcome)
    return {ClaimState::Done, entry.holder, entry.outcome};
  if (entry.holder == holder)
    return {ClaimState::Granted, holder, std::nullopt};
  return {ClaimState::InProgress, entry.holder, std::nullopt};
}

bool ClaimTable::complete(const std::string &key, const ClaimHolder &holder,
                          RecordedOutcome outcome, std::int64_t logTimeMs) {
  const auto found = this->state->entries.find(key);
  if (found == this->state->entries.end() || !(found->second.holder == holder))
    return false;
  if (found->second.outcome)
    return true;
  if (outcome.body.size() > this->state->limits.bodyBytes)
    outcome.bodyKept = false;
  if (!outcome.bodyKept)
    outcome.body.clear();
  Entry entry = std::move(found->second);
  this->state->byAge.erase({entry.sinceMs, key});
  this->state->entries.erase(found);
  entry.outcome = std::move(outcome);
  entry.sinceMs = logTimeMs;
  this->state->insert(key, std::move(entry));
  return true;
}

bool ClaimTable::release(const std::string &key, const ClaimHolder &holder) {
  const auto found = this->state->entries.find(key);
  if (found == this->state->entries.end() || !(found->second.holder == holder) ||
      found->second.outcome)
    return false;
  this->state->erase(found);
  return true;
}

void ClaimTable::expire(std::int64_t logTimeMs) {
  while (!this->state->byAge.empty()) {
    const auto &[sinceMs, key] = *this->state->byAge.begin();
    if (logTimeMs - sinceMs < this->state->limits.retentionMs)
      return;
    this->state->erase(this->state->entries.find(key));
  }
}

std::size_t ClaimTable::size() const { return this->state->entries.size(); }

std::string ClaimTable::save() const {
  std::string out(Magic);
  putNumber(out, this->state->entries.size());
  for (const auto &[key, entry] : this->state->entries) {
    putText(out, key);
    putText(out, entry.digest);
    putNumber(out, entry.holder.daemon);
    putText(out, entry.holder.requestId);
    putNumber(out, static_cast<std::uint64_t>(entry.sinceMs));
    putNumber(out, entry.outcome ? 1 : 0);
    if (entry.outcome)
      putOutcome(out, *entry.outcome);
  }
  putNumber(out, checksum(out));
  return out;
}

base::Status ClaimTable::load(const std::string &saved) {
  const std::string_view bytes = saved;
  if (bytes.size() < Magic.size() + 16 || bytes.substr(0, Magic.size()) != Magic)
    return corrupted("must begin with the marker of this format");
  const std::string_view content = bytes.substr(0, bytes.size() - 8);
  if (Reader{bytes.substr(content.size())}.number() != checksum(content))
    return corrupted("must match its checksum");

  Reader reader{content.substr(Magic.size())};
  State loaded;
  loaded.limits = this->state->limits;
  const std::uint64_t count = reader.numberUpTo(loaded.limits.claims);
  for (std::uint64_t i = 0; i < count && reader.good; ++i) {
    const std::string key = reader.text();
    Entry entry;
    entry.digest = reader.text();
    entry.holder.daemon = static_cast<base::DaemonId>(reader.numberUpTo(0xffffffffU));
    entry.holder.requestId = reader.text();
    entry.sinceMs = static_cast<std::int64_t>(reader.number());
    if (reader.numberUpTo(1) == 1)
      entry.outcome = readOutcome(reader, loaded.limits);
    if (!loaded.entries.empty() && key <= loaded.entries.rbegin()->first)
      reader.good = false;
    if (reader.good)
      loaded.insert(key, std::move(entry));
  }
  if (!reader.good)
    return corrupted("must hold whole claims in ascending order, within the limits");
  if (!reader.rest.empty())
    return corrupted("must end after the last claim");
  *this->state = std::move(loaded);
  return std::monostate{};
}

} // namespace banyanrill::routing
