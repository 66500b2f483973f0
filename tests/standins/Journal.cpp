#include "Journal.h"

#include <stdexcept>

namespace banyanrill::standins {

Journal::Journal(const std::string &path) : file(path, std::ios::app) {
  if (!this->file)
    throw std::runtime_error(path + ": cannot be opened for writing");
}

void Journal::write(const std::string &event, nlohmann::json fields, base::TimePoint now) {
  fields["event"] = event;
  fields["t_us"] = now.time_since_epoch().count();
  this->file << fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << std::endl;
}

nlohmann::json readJsonFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error(path + ": cannot be read");
  try {
    return nlohmann::json::parse(file);
  } catch (const nlohmann::json::exception &error) {
    throw std::runtime_error(path + ": " + error.what());
  }
}

} // namespace banyanrill::standins
