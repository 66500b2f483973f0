#include "banyanrill/jobs/KeyTable.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace banyanrill::jobs {

namespace {

/// Digits that tell keys apart in logs.
constexpr std::size_t ShortDigestDigits = 8;

template <typename Digest> std::string shortHex(const Digest &digest) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string text;
  for (std::size_t index = 0; index < ShortDigestDigits / 2; ++index) {
    text += Digits[digest[index] >> 4U];
    text += Digits[digest[index] & 15U];
  }
  return text;
}

} // namespace

KeyTable::Digest KeyTable::digestOf(std::string_view key) {
  static_assert(std::tuple_size_v<Digest> == SHA256_DIGEST_LENGTH);
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
  return digest;
}

KeyTable::KeyTable(const Configuration &configuration)
    : configurationVersion(configuration.version),
      restricted(configuration.workspaces.has_value()) {
  if (!this->restricted)
    return;
  for (const Workspace &workspace : *configuration.workspaces) {
    const auto number = static_cast<std::uint32_t>(this->workspaces.size());
    this->workspaces.push_back(workspace.name);
    for (const std::string &key : workspace.keys)
      this->entries.push_back({digestOf(key), number});
  }
  std::sort(this->entries.begin(), this->entries.end(),
            [](const Entry &one, const Entry &other) { return one.digest < other.digest; });
}

const KeyTable::Entry *KeyTable::find(const Digest &digest) const {
  // The search may stop early: a caller cannot choose the digest of its key digit by digit.
  const auto found = std::lower_bound(
      this->entries.begin(), this->entries.end(), digest,
      [](const Entry &entry, const Digest &wanted) { return entry.digest < wanted; });
  if (found == this->entries.end() ||
      CRYPTO_memcmp(found->digest.data(), digest.data(), digest.size()) != 0)
    return nullptr;
  return &*found;
}

Access KeyTable::check(const Queue *queue, std::string_view key) const {
  if (!this->restricted)
    return {};
  const Entry *entry = key.empty() ? nullptr : this->find(digestOf(key));
  if (entry != nullptr)
    return {AccessKind::Member, this->workspaces[entry->workspace], {}};
  if (queue != nullptr && queue->isPublic)
    return {AccessKind::Anonymous, {}, {queue->host, queue->pathPrefix}};
  return {key.empty() ? AccessKind::KeyAbsent : AccessKind::KeyUnknown, {}, {}};
}

std::vector<WithdrawnKey> KeyTable::withdrawnSince(const KeyTable &former) const {
  std::vector<WithdrawnKey> withdrawn;
  for (const Entry &entry : former.entries) {
    const Entry *now = this->find(entry.digest);
    const std::string &workspace = former.workspaces[entry.workspace];
    if (now == nullptr || this->workspaces[now->workspace] != workspace)
      withdrawn.push_back({shortHex(entry.digest), workspace});
  }
  return withdrawn;
}

Ownership ownershipOf(const Job &job, const Access &access) {
  switch (access.kind) {
  case AccessKind::Unrestricted:
    return Ownership::Allowed;
  case AccessKind::Member:
    // A job that was submitted without a key is nobody's.
    return job.workspace.empty() || job.workspace == access.workspace ? Ownership::Allowed
                                                                      : Ownership::Foreign;
  case AccessKind::Anonymous: {
    // The path names a public queue, but the identifier may be one of a job on another queue. An
    // ended job no longer follows its queue's changes.
    const bool isOnThatQueue =
        access.publicQueue == std::pair(job.queue.host, job.queue.pathPrefix);
    const bool isOnAPublicQueue = job.phase == JobPhase::Active && job.queue.isPublic;
    return isOnThatQueue || isOnAPublicQueue ? Ownership::Allowed : Ownership::NeedsKey;
  }
  case AccessKind::KeyAbsent:
  case AccessKind::KeyUnknown:
    break;
  }
  return Ownership::NeedsKey;
}

std::string shortDigest(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
  return shortHex(digest);
}

} // namespace banyanrill::jobs
