// Reading and durable replacement of whole files.
#pragma once

#include "Environment.h"
#include "banyanrill/base/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace banyanrill::storage {

/// Owner of an open file; closes it at the end.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int opened) : number(opened) {}
  Descriptor(Descriptor &&other) noexcept;
  Descriptor &operator=(Descriptor &&other) noexcept;
  ~Descriptor();

  int get() const { return this->number; }

private:
  int number = -1;
};

/// StorageFailure with the text of `errno`.
base::Error systemError(const std::string &path, const std::string &action);

/// Path of a file in a folder.
std::string pathIn(const std::string &folder, const std::string &name);

/// \param flags as for open(2). Errors: NotFound, StorageFailure.
base::Result<Descriptor> openFile(const std::string &path, int flags);

/// Errors: NotFound, StorageFailure, TooLarge.
base::Result<std::string> readFile(const std::string &path, std::size_t maxBytes);

/// Names in a folder, in ascending order. Errors: NotFound, StorageFailure.
base::Result<std::vector<std::string>> listFolder(const std::string &folder);

/// Writes all bytes at the position of the descriptor.
base::Status writeAll(const FileOperations &files, int descriptor, const std::string &path,
                      std::string_view data);

/// Writes the bytes at an offset of an existing file and syncs it. Errors: NotFound,
/// StorageFailure.
base::Status overwriteFile(const FileOperations &files, const std::string &path, std::size_t offset,
                           std::string_view data);

base::Status syncFolder(const FileOperations &files, const std::string &folder);

inline constexpr std::string_view TemporarySuffix = ".tmp";

/// Writes a temporary file, syncs it, renames it to `name` and syncs the folder: after a crash the
/// file is complete or as before.
base::Status replaceFile(const FileOperations &files, const std::string &folder,
                         const std::string &name, std::string_view data);

} // namespace banyanrill::storage
