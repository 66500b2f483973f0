// Which workspace a key stands for, and which jobs it reaches.
#pragma once

#include "banyanrill/jobs/Model.h"

#include <array>
#include <string_view>
#include <utility>

namespace banyanrill::jobs {

/// What a key says about the caller of a request.
enum class AccessKind : std::uint8_t {
  Unrestricted, ///< The configuration has no workspaces.
  Anonymous,    ///< The queue is public, and the key is absent or unknown.
  Member,       ///< The key belongs to a workspace.
  KeyAbsent,    ///< Refused.
  KeyUnknown,   ///< Refused.
};

struct Access {
  AccessKind kind = AccessKind::Unrestricted;
  std::string workspace; ///< Empty unless the caller is a member.
  /// Host and path prefix of the public queue, if the caller is anonymous.
  std::pair<std::string, std::string> publicQueue;

  bool isRefused() const {
    return this->kind == AccessKind::KeyAbsent || this->kind == AccessKind::KeyUnknown;
  }
  bool operator==(const Access &) const = default;
};

/// What a caller may do with a job.
enum class Ownership : std::uint8_t {
  Allowed,
  NeedsKey, ///< The job's queue is not public, and the caller has no valid key.
  Foreign,  ///< The job belongs to another workspace.
};

/// A key that no longer stands for its workspace.
struct WithdrawnKey {
  std::string digest; ///< 8 hexadecimal digits.
  std::string workspace;

  bool operator==(const WithdrawnKey &) const = default;
};

/// The keys of one configuration, held as SHA-256 digests. Pure. Concurrent reads are safe.
class KeyTable {
public:
  /// No workspaces: no request needs a key.
  KeyTable() = default;

  /// Precondition: no two workspaces share a key.
  explicit KeyTable(const Configuration &configuration);

  /// Of the configuration; unset: none.
  std::optional<std::uint64_t> version() const { return this->configurationVersion; }

  /// Whether the configuration has workspaces, so that requests have to be checked.
  bool isRestricted() const { return this->restricted; }

  /// What a request with this key may do on the queue; `queue` is null if no queue serves the path.
  /// Its duration does not depend on where the key differs from a valid one.
  Access check(const Queue *queue, std::string_view key) const;

  /// The keys of `former` that stand for no workspace or another one now, by digest.
  std::vector<WithdrawnKey> withdrawnSince(const KeyTable &former) const;

private:
  using Digest = std::array<unsigned char, 32>;

  struct Entry {
    Digest digest;
    std::uint32_t workspace = 0;
  };

  static Digest digestOf(std::string_view key);
  const Entry *find(const Digest &digest) const;

  std::optional<std::uint64_t> configurationVersion;
  bool restricted = false;
  std::vector<std::string> workspaces;
  std::vector<Entry> entries; ///< In ascending order of the digest.
};

/// What the caller may do with the job. Pure and thread-safe.
Ownership ownershipOf(const Job &job, const Access &access);

/// Stands for a key in logs: the first 8 hexadecimal digits of its SHA-256 digest. Thread-safe.
std::string shortDigest(std::string_view key);

} // namespace banyanrill::jobs
