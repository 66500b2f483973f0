// A folder for one test, removed at its end.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace banyanrill::storage::tests {

class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "banyanrill-XXXXXX").string();
    this->root = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(this->root, ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  /// A name inside that does not exist yet.
  std::string data() const { return this->root + "/data"; }

private:
  std::string root;
};

inline std::string readAll(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

inline void writeAll(const std::string &path, const std::string &data) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << data;
}

} // namespace banyanrill::storage::tests
