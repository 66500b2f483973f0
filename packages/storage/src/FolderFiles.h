// Names and contents of the files of a data folder other than log segments.
#pragma once

#include "Environment.h"
#include "banyanrill/storage/LogStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyanrill::storage {

inline constexpr const char *IdentityName = "identity";
inline constexpr const char *LockName = "lock";

std::string segmentName(std::uint64_t sequence);
std::string snapshotName(std::uint64_t index);

/// Number in a file name of that kind, or an empty optional for any other name.
std::optional<std::uint64_t> segmentSequence(const std::string &name);
std::optional<std::uint64_t> snapshotIndex(const std::string &name);

/// What to do about damage; part of every DataCorrupted error.
inline constexpr const char *DamageAdvice =
    "; move the folder aside, and replace this replica by a new one";

base::Error corrupted(const std::string &path, const std::string &message);

base::Status writeIdentity(const FileOperations &files, const std::string &folder,
                           const FolderIdentity &identity);

/// Errors: NotFound, DataCorrupted, StorageFailure.
base::Result<FolderIdentity> readIdentity(const std::string &folder);

/// Errors: TooLarge, StorageFailure.
base::Status writeSnapshot(const FileOperations &files, const std::string &folder,
                           const StoredSnapshot &snapshot);

/// \param index of the file name. Errors: DataCorrupted, StorageFailure.
base::Result<StoredSnapshot> readSnapshot(const std::string &folder, std::uint64_t index);

} // namespace banyanrill::storage
