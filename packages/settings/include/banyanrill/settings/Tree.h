// The versioned tree of settings: values by path, changed by compare-and-set.
#pragma once

#include "banyanrill/base/Error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanrill::settings {

/// Number of the change that produced a state of the tree; only grows.
using Revision = std::uint64_t;

/// A value and the revision that last changed it, which is also its version for compare-and-set.
struct Value {
  std::string json;
  Revision version = 0;

  bool operator==(const Value &) const = default;
};

/// One path of a change.
struct Edit {
  std::string path;
  std::optional<std::string> json;         ///< Empty: remove the path.
  std::optional<Revision> expectedVersion; ///< Empty: unconditional; 0: the path must not exist.

  bool operator==(const Edit &) const = default;
};

/// A change of one or several paths, applied as a whole or not at all.
struct Change {
  std::string requestId; ///< Chosen by the operator; a resend returns the first outcome.
  std::string author;    ///< Name of the token, for the audit trail.
  std::int64_t wallClockMs = 0;
  std::vector<Edit> edits;

  bool operator==(const Change &) const = default;
};

/// What became of a change; kept for resends.
struct Outcome {
  bool accepted = false;
  Revision revision = 0; ///< Of the change if accepted, else of the tree.
  std::string errorPath;
  std::string errorMessage;
  int errorCode = 0; ///< A `base::Errc`; 0 if accepted.
  /// Value that won, after a version conflict, if it exists and is at most 1 KiB (outcomes are
  /// kept, and large ones would make snapshots too large).
  std::optional<Value> current;

  bool operator==(const Outcome &) const = default;
};

/// One path as it was changed at a revision.
struct Applied {
  Revision revision = 0;
  std::string path;
  std::optional<std::string> json; ///< Empty: removed.

  bool operator==(const Applied &) const = default;
};

struct AuditRecord {
  Revision revision = 0;
  std::int64_t wallClockMs = 0;
  std::string author;
  std::string requestId;
  std::string path;
  std::optional<std::string> before;
  std::optional<std::string> after;

  bool operator==(const AuditRecord &) const = default;
};

/// Equal on all replicas: they decide which changes are accepted. The bounds in bytes keep `save`
/// below the 64 MiB that a snapshot may hold.
struct TreeLimits {
  std::size_t paths = 65536;
  std::size_t valueBytes = 65536;
  std::size_t totalBytes = std::size_t{24} << 20U; ///< Of all paths and values.
  std::size_t editsPerChange = 64;
  std::size_t requestIds = 8192;                   ///< The oldest is dropped at the bound.
  std::size_t auditRecords = 16384;                ///< The oldest is dropped at the bound.
  std::size_t auditBytes = std::size_t{16} << 20U; ///< The oldest record is dropped at the bound.
  /// Revisions that followers can resume from; fewer if the audit trail no longer holds them.
  std::size_t history = 1024;
};

/// Deterministic: replicas that apply the same changes hold equal trees. Not thread-safe.
class Tree {
public:
  explicit Tree(TreeLimits limits = {});
  ~Tree();
  Tree(Tree &&) noexcept;
  Tree &operator=(Tree &&) noexcept;

  /// Applies a change, or returns the recorded outcome if its request identifier is known. Every
  /// edit must satisfy `checkSetting`. Outcomes other than acceptance: Malformed, SchemaViolation,
  /// NotFound (unknown subtree, or removal of a path that does not exist), TooLarge,
  /// VersionConflict, LimitReached, and KeyReuse if the identifier is known with other edits.
  /// KeyReuse and an invalid identifier (1 to 128 printable ASCII characters) are not recorded.
  Outcome apply(const Change &change);

  /// As `apply`, but changes nothing (dry run).
  Outcome check(const Change &change) const;

  std::optional<Value> get(const std::string &path) const;

  /// All values whose path is `prefix` or lies below it, in order of path.
  std::vector<std::pair<std::string, Value>> list(const std::string &prefix) const;

  Revision revision() const;

  /// Changes after `from`, in order; empty optional if they are beyond the history. Nothing if
  /// `from` is the current revision or a later one.
  std::optional<std::vector<Applied>> changesSince(Revision from) const;

  /// Newest first; `prefix` limits the paths.
  std::vector<AuditRecord> audit(const std::string &prefix, std::size_t limit) const;

  /// Complete state, for a snapshot.
  std::string save() const;

  /// Replaces the state, also by an older one. Errors: DataCorrupted, also if the state exceeds the
  /// limits; then nothing is changed.
  base::Status load(const std::string &saved);

  /// Installs the result of `changesSince` on a daemon that follows. Changes up to the current
  /// revision are skipped. Does nothing unless the rest leads without a gap from the current
  /// revision to `revision`, because a lost message must not lose a change.
  void follow(Revision revision, const std::vector<Applied> &changes);

  /// Replaces all values by a snapshot from a replica (`list("/")`), unless it is older.
  void followSnapshot(Revision revision, const std::vector<std::pair<std::string, Value>> &values);

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace banyanrill::settings
