#include "Files.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace banyanrill::storage {

using base::Errc;
using base::Error;

Descriptor::Descriptor(Descriptor &&other) noexcept : number(std::exchange(other.number, -1)) {}

Descriptor &Descriptor::operator=(Descriptor &&other) noexcept {
  std::swap(this->number, other.number);
  return *this;
}

Descriptor::~Descriptor() {
  if (this->number >= 0)
    ::close(this->number);
}

std::string pathIn(const std::string &folder, const std::string &name) {
  std::string path = folder;
  path += '/';
  path += name;
  return path;
}

Error systemError(const std::string &path, const std::string &action) {
  const std::error_code cause(errno, std::generic_category());
  return Error{Errc::StorageFailure, path, action + " failed: " + cause.message()};
}

base::Result<Descriptor> openFile(const std::string &path, int flags) {
  constexpr mode_t OwnerOnly = 0600;
  const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC, OwnerOnly);
  if (descriptor < 0 && errno == ENOENT)
    return Error{Errc::NotFound, path, "the file does not exist"};
  if (descriptor < 0)
    return systemError(path, "open");
  return Descriptor(descriptor);
}

base::Result<std::string> readFile(const std::string &path, std::size_t maxBytes) {
  const base::Result<Descriptor> file = openFile(path, O_RDONLY);
  if (!file)
    return file.error();
  struct stat information = {};
  if (::fstat(file.value().get(), &information) != 0)
    return systemError(path, "stat");
  if (static_cast<std::uintmax_t>(information.st_size) > maxBytes)
    return Error{Errc::TooLarge, path,
                 "the file has more than " + std::to_string(maxBytes) + " bytes"};
  std::string data(static_cast<std::size_t>(information.st_size), '\0');
  std::size_t position = 0;
  while (position < data.size()) {
    const ssize_t count =
        ::read(file.value().get(), data.data() + position, data.size() - position);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return systemError(path, "read");
    if (count == 0)
      return Error{Errc::StorageFailure, path, "the file became shorter while it was read"};
    position += static_cast<std::size_t>(count);
  }
  return data;
}

base::Result<std::vector<std::string>> listFolder(const std::string &folder) {
  std::error_code code;
  std::filesystem::directory_iterator entry(folder, code);
  std::vector<std::string> names;
  for (; !code && entry != std::filesystem::directory_iterator(); entry.increment(code))
    names.push_back(entry->path().filename().string());
  if (code == std::errc::no_such_file_or_directory)
    return Error{Errc::NotFound, folder, "the folder does not exist"};
  if (code)
    return Error{Errc::StorageFailure, folder, "listing failed: " + code.message()};
  std::sort(names.begin(), names.end());
  return names;
}

base::Status writeAll(const FileOperations &files, int descriptor, const std::string &path,
                      std::string_view data) {
  while (!data.empty()) {
    const ssize_t count = files.write(descriptor, data.data(), data.size());
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return systemError(path, "write");
    if (count == 0)
      return Error{Errc::StorageFailure, path, "write failed: no byte was written"};
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return std::monostate{};
}

base::Status overwriteFile(const FileOperations &files, const std::string &path, std::size_t offset,
                           std::string_view data) {
  const base::Result<Descriptor> file = openFile(path, O_WRONLY);
  if (!file)
    return file.error();
  if (::lseek(file.value().get(), static_cast<off_t>(offset), SEEK_SET) < 0)
    return systemError(path, "seek");
  if (base::Status status = writeAll(files, file.value().get(), path, data); !status)
    return status;
  if (files.fdatasync(file.value().get()) != 0)
    return systemError(path, "sync");
  return std::monostate{};
}

base::Status syncFolder(const FileOperations &files, const std::string &folder) {
  const base::Result<Descriptor> descriptor = openFile(folder, O_RDONLY | O_DIRECTORY);
  if (!descriptor)
    return descriptor.error();
  if (files.fsync(descriptor.value().get()) != 0)
    return systemError(folder, "sync");
  return std::monostate{};
}

base::Status replaceFile(const FileOperations &files, const std::string &folder,
                         const std::string &name, std::string_view data) {
  const std::string path = pathIn(folder, name);
  const std::string temporary = path + std::string(TemporarySuffix);
  const base::Result<Descriptor> file = openFile(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file)
    return file.error();
  if (base::Status status = writeAll(files, file.value().get(), temporary, data); !status)
    return status;
  if (files.fsync(file.value().get()) != 0)
    return systemError(temporary, "sync");
  if (files.rename(temporary.c_str(), path.c_str()) != 0)
    return systemError(path, "rename");
  return syncFolder(files, folder);
}

} // namespace banyanrill::storage
