// Contents of a tree of settings, shared by its operations and its saved form.
#pragma once

#include "banyanrill/settings/Tree.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace banyanrill::settings {

/// Immutable text. Values and audit records share it, so that a change costs its size once.
using Text = std::shared_ptr<const std::string>;

struct HeldValue {
  Text json;
  Revision version = 0;
};

struct HeldAuditRecord {
  Revision revision = 0;
  std::int64_t wallClockMs = 0;
  std::string author;
  std::string requestId;
  std::string path;
  Text before; ///< Null: the path did not exist.
  Text after;  ///< Null: the path was removed.

  std::size_t bytes() const;
};

struct HeldRequest {
  std::string requestId;
  std::uint64_t fingerprint = 0; ///< Of the edits.
  Outcome outcome;
};

inline constexpr std::size_t MaxNameBytes = 128;
inline constexpr std::size_t MaxOutcomeValueBytes = 1024;

/// Rule for request identifiers (not empty) and authors.
bool isName(std::string_view name, bool mayBeEmpty);

struct TreeContents {
  Revision revision = 0;
  std::map<std::string, HeldValue, std::less<>> values;
  std::size_t valueBytes = 0; ///< Of all paths and values.
  std::deque<HeldAuditRecord> audit;
  std::size_t auditBytes = 0;
  Revision auditFloor = 0; ///< Changes after this revision are all in the audit trail.
  std::deque<HeldRequest> requests;
  std::uint64_t droppedRequests = 0;
  /// Number of each request since the start; its place in `requests` is that less the dropped ones.
  std::unordered_map<std::string, std::uint64_t> requestNumbers;

  const HeldRequest *findRequest(const std::string &requestId) const;
  void addRequest(HeldRequest request, const TreeLimits &limits);
  void addAudit(HeldAuditRecord record, const TreeLimits &limits);
  void setValue(const std::string &path, HeldValue value);
  void removeValue(const std::string &path);
};

/// Equal contents give equal bytes.
std::string encodeTree(const TreeContents &contents);

/// Empty optional if the bytes are no saved tree or exceed the limits.
std::optional<TreeContents> decodeTree(const std::string &saved, const TreeLimits &limits);

} // namespace banyanrill::settings
