#include "banyanrill/settings/Tree.h"

#include "CheckedJson.h"
#include "SettingPath.h"
#include "TreeState.h"
#include "banyanrill/settings/Policy.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>
#include <xxhash.h>

namespace banyanrill::settings {

using base::Errc;
using base::Error;

namespace {

/// True if `path` is `prefix` or lies below it. `prefix` has no slash at its end.
bool isBelow(std::string_view path, std::string_view prefix) {
  return path.substr(0, prefix.size()) == prefix &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

std::string_view withoutTrailingSlash(std::string_view prefix) {
  if (!prefix.empty() && prefix.back() == '/')
    prefix.remove_suffix(1);
  return prefix;
}

void appendNumber(std::string &bytes, std::uint64_t number) {
  bytes += std::to_string(number);
  bytes += ':';
}

void appendText(std::string &bytes, const std::string &text) {
  appendNumber(bytes, text.size());
  bytes += text;
}

/// Tells two changes apart that use the same request identifier. Time and author stay out of it: a
/// resend may come at another time, or with a renewed token.
std::uint64_t fingerprintOf(const Change &change) {
  std::string bytes;
  for (const Edit &edit : change.edits) {
    appendText(bytes, edit.path);
    bytes += edit.json ? 'j' : '-';
    appendText(bytes, edit.json.value_or(""));
    bytes += edit.expectedVersion ? 'v' : '-';
    appendNumber(bytes, edit.expectedVersion.value_or(0));
  }
  return XXH3_64bits(bytes.data(), bytes.size());
}

Outcome refuse(Revision revision, Errc code, std::string path, std::string message) {
  Outcome outcome;
  outcome.revision = revision;
  outcome.errorPath = std::move(path);
  outcome.errorMessage = std::move(message);
  outcome.errorCode = static_cast<int>(code);
  return outcome;
}

Outcome refuse(Revision revision, const std::string &path, const Error &error) {
  std::string message = error.message;
  // The error names the place in the value after the path of the setting.
  if (error.path.size() > path.size())
    message = "at " + error.path.substr(path.size() + 1) + ": " + message;
  return refuse(revision, static_cast<Errc>(error.code.value()), path, std::move(message));
}

std::string versionRule(Revision expected, Revision current) {
  const auto name = [](Revision version) {
    return version == 0 ? std::string("no value") : "version " + std::to_string(version);
  };
  return "the change expects " + name(expected) + ", the path has " + name(current);
}

} // namespace

struct Tree::State {
  TreeLimits limits;
  TreeContents contents;

  /// What the request identifier alone decides.
  std::optional<Outcome> knownOutcome(const Change &change) const {
    const Revision revision = this->contents.revision;
    if (!isName(change.requestId, false))
      return refuse(revision, Errc::Malformed, "",
                    "a request identifier has 1 to 128 printable ASCII characters");
    const HeldRequest *known = this->contents.findRequest(change.requestId);
    if (known == nullptr)
      return std::nullopt;
    if (known->fingerprint != fingerprintOf(change))
      return refuse(revision, Errc::KeyReuse, "",
                    "the request identifier was used for another change");
    return known->outcome;
  }

  /// Rules that do not depend on the contents.
  std::optional<Outcome> refuseForm(const Change &change) const {
    const Revision revision = this->contents.revision;
    if (!isName(change.author, true))
      return refuse(revision, Errc::Malformed, "",
                    "an author has at most 128 printable ASCII characters");
    if (change.edits.empty())
      return refuse(revision, Errc::Malformed, "", "a change has at least one edit");
    if (change.edits.size() > this->limits.editsPerChange)
      return refuse(revision, Errc::TooLarge, "",
                    "a change has at most " + std::to_string(this->limits.editsPerChange) +
                        " edits");
    std::set<std::string_view> seen;
    for (const Edit &edit : change.edits) {
      if (!splitPath(edit.path))
        return refuse(revision, Errc::Malformed, printable(edit.path), std::string(PathRule));
      if (!seen.insert(edit.path).second)
        return refuse(revision, Errc::Malformed, edit.path, "a change names a path once");
      if (!edit.json)
        continue;
      if (edit.json->size() > this->limits.valueBytes)
        return refuse(revision, Errc::TooLarge, edit.path,
                      "a value has at most " + std::to_string(this->limits.valueBytes) + " bytes");
      if (const base::Status status = checkSetting(edit.path, *edit.json); !status)
        return refuse(revision, edit.path, status.error());
    }
    return std::nullopt;
  }

  std::optional<Outcome> refuseVersions(const Change &change) const {
    const Revision revision = this->contents.revision;
    for (const Edit &edit : change.edits) {
      const auto found = this->contents.values.find(edit.path);
      const bool exists = found != this->contents.values.end();
      const Revision version = exists ? found->second.version : 0;
      if (edit.expectedVersion && *edit.expectedVersion != version) {
        Outcome outcome = refuse(revision, Errc::VersionConflict, edit.path,
                                 versionRule(*edit.expectedVersion, version));
        if (exists && found->second.json->size() <= MaxOutcomeValueBytes)
          outcome.current = Value{*found->second.json, version};
        return outcome;
      }
      if (!edit.json && !exists)
        return refuse(revision, Errc::NotFound, edit.path, "the path to remove does not exist");
    }
    return std::nullopt;
  }

  std::optional<Outcome> refuseLimits(const Change &change) const {
    std::size_t paths = this->contents.values.size();
    std::size_t bytes = this->contents.valueBytes;
    for (const Edit &edit : change.edits) {
      const auto found = this->contents.values.find(edit.path);
      if (found != this->contents.values.end()) {
        --paths;
        bytes -= edit.path.size() + found->second.json->size();
      }
      if (edit.json) {
        ++paths;
        bytes += edit.path.size() + edit.json->size();
      }
    }
    // A change that makes the tree smaller is a way out of a full tree.
    if (paths > this->limits.paths && paths > this->contents.values.size())
      return refuse(this->contents.revision, Errc::LimitReached, "",
                    "the tree has at most " + std::to_string(this->limits.paths) + " paths");
    if (bytes > this->limits.totalBytes && bytes > this->contents.valueBytes)
      return refuse(this->contents.revision, Errc::LimitReached, "",
                    "all paths and values together have at most " +
                        std::to_string(this->limits.totalBytes) + " bytes");
    return std::nullopt;
  }

  Outcome evaluate(const Change &change) const {
    if (std::optional<Outcome> refusal = this->refuseForm(change))
      return *refusal;
    if (std::optional<Outcome> refusal = this->refuseVersions(change))
      return *refusal;
    if (std::optional<Outcome> refusal = this->refuseLimits(change))
      return *refusal;
    Outcome outcome;
    outcome.accepted = true;
    outcome.revision = this->contents.revision + 1;
    return outcome;
  }

  void commit(const Change &change) {
    const Revision revision = ++this->contents.revision;
    for (const Edit &edit : change.edits) {
      HeldAuditRecord record;
      record.revision = revision;
      record.wallClockMs = change.wallClockMs;
      record.author = change.author;
      record.requestId = change.requestId;
      record.path = edit.path;
      const auto found = this->contents.values.find(edit.path);
      if (found != this->contents.values.end())
        record.before = found->second.json;
      if (edit.json)
        record.after = std::make_shared<const std::string>(*edit.json);
      this->install(edit.path, record.after, revision);
      this->contents.addAudit(std::move(record), this->limits);
    }
  }

  /// \param json null to remove the path.
  void install(const std::string &path, const Text &json, Revision revision) {
    if (json)
      this->contents.setValue(path, HeldValue{json, revision});
    else
      this->contents.removeValue(path);
  }

  /// Oldest revision that a follower can resume from.
  Revision historyFloor() const {
    const Revision revision = this->contents.revision;
    const Revision kept = std::min<Revision>(this->limits.history, revision);
    return std::max(this->contents.auditFloor, revision - kept);
  }

  /// A follower holds no audit trail: it did not see who made the changes.
  void jumpTo(Revision revision) {
    assert(revision >= this->contents.revision);
    this->contents.revision = revision;
    this->contents.audit.clear();
    this->contents.auditBytes = 0;
    this->contents.auditFloor = revision;
  }
};

Tree::Tree(TreeLimits limits) : state(std::make_unique<State>()) { this->state->limits = limits; }
Tree::~Tree() = default;
Tree::Tree(Tree &&) noexcept = default;
Tree &Tree::operator=(Tree &&) noexcept = default;

Outcome Tree::apply(const Change &change) {
  if (std::optional<Outcome> known = this->state->knownOutcome(change))
    return *known;
  Outcome outcome = this->state->evaluate(change);
  if (outcome.accepted)
    this->state->commit(change);
  assert(!outcome.accepted || outcome.revision == this->state->contents.revision);
  this->state->contents.addRequest({change.requestId, fingerprintOf(change), outcome},
                                   this->state->limits);
  return outcome;
}

Outcome Tree::check(const Change &change) const {
  if (std::optional<Outcome> known = this->state->knownOutcome(change))
    return *known;
  return this->state->evaluate(change);
}

std::optional<Value> Tree::get(const std::string &path) const {
  const auto found = this->state->contents.values.find(path);
  if (found == this->state->contents.values.end())
    return std::nullopt;
  return Value{*found->second.json, found->second.version};
}

std::vector<std::pair<std::string, Value>> Tree::list(const std::string &prefix) const {
  const std::string_view root = withoutTrailingSlash(prefix);
  const auto &values = this->state->contents.values;
  std::vector<std::pair<std::string, Value>> result;
  // '-' and '.' sort before '/', so paths below the root need not follow the root directly.
  if (const auto exact = values.find(root); exact != values.end())
    result.emplace_back(exact->first, Value{*exact->second.json, exact->second.version});
  for (auto entry = values.lower_bound(std::string(root) + "/");
       entry != values.end() && isBelow(entry->first, root); ++entry)
    result.emplace_back(entry->first, Value{*entry->second.json, entry->second.version});
  return result;
}

Revision Tree::revision() const { return this->state->contents.revision; }

std::optional<std::vector<Applied>> Tree::changesSince(Revision from) const {
  if (from < this->state->historyFloor())
    return std::nullopt;
  const std::deque<HeldAuditRecord> &audit = this->state->contents.audit;
  auto record =
      std::partition_point(audit.begin(), audit.end(), [from](const HeldAuditRecord &candidate) {
        return candidate.revision <= from;
      });
  std::vector<Applied> changes;
  for (; record != audit.end(); ++record) {
    Applied applied{record->revision, record->path, std::nullopt};
    if (record->after)
      applied.json = *record->after;
    changes.push_back(std::move(applied));
  }
  return changes;
}

std::vector<AuditRecord> Tree::audit(const std::string &prefix, std::size_t limit) const {
  const std::string_view root = withoutTrailingSlash(prefix);
  const std::deque<HeldAuditRecord> &audit = this->state->contents.audit;
  std::vector<AuditRecord> result;
  for (auto held = audit.rbegin(); held != audit.rend() && result.size() < limit; ++held) {
    if (!isBelow(held->path, root))
      continue;
    AuditRecord record{held->revision, held->wallClockMs, held->author, held->requestId,
                       held->path,     std::nullopt,      std::nullopt};
    if (held->before)
      record.before = *held->before;
    if (held->after)
      record.after = *held->after;
    result.push_back(std::move(record));
  }
  return result;
}

std::string Tree::save() const { return encodeTree(this->state->contents); }

base::Status Tree::load(const std::string &saved) {
  std::optional<TreeContents> contents = decodeTree(saved, this->state->limits);
  if (!contents)
    return Error{Errc::DataCorrupted, "", "not a saved tree of settings within its limits"};
  this->state->contents = std::move(*contents);
  return std::monostate{};
}

void Tree::follow(Revision revision, const std::vector<Applied> &changes) {
  Revision reached = this->state->contents.revision;
  if (revision <= reached)
    return;
  const auto first = std::find_if(changes.begin(), changes.end(), [reached](const Applied &change) {
    return change.revision > reached;
  });
  for (auto change = first; change != changes.end(); ++change) {
    if (change->revision != reached && change->revision != reached + 1)
      return;
    reached = change->revision;
  }
  if (reached != revision)
    return;
  for (auto change = first; change != changes.end(); ++change) {
    const Text json = change->json ? std::make_shared<const std::string>(*change->json) : nullptr;
    this->state->install(change->path, json, change->revision);
  }
  this->state->jumpTo(revision);
}

void Tree::followSnapshot(Revision revision,
                          const std::vector<std::pair<std::string, Value>> &values) {
  if (revision < this->state->contents.revision)
    return;
  this->state->contents.values.clear();
  this->state->contents.valueBytes = 0;
  for (const auto &[path, value] : values)
    this->state->contents.setValue(
        path, HeldValue{std::make_shared<const std::string>(value.json), value.version});
  this->state->jumpTo(revision);
}

} // namespace banyanrill::settings
