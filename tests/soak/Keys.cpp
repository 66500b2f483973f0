#include "Keys.h"

#include <iterator>

namespace banyanrill::soak {

using nlohmann::json;

json Keys::nextWorkspaces(bool replaces) {
  if (replaces || this->offered.empty()) {
    if (!this->offered.empty())
      this->replaced.emplace(this->offered, std::nullopt);
    this->offered = "limited-key-" + std::to_string(++this->lastKey);
  }
  return {{{"Name", "limited"},
           {"ApiKeys", {this->offered}},
           {"Weight", 1},
           {"UpperLimit", {{"Cpu", LimitedTasks * TaskMillicores}}}},
          {{"Name", "unlimited"}, {"ApiKeys", {this->unlimited}}, {"Weight", 3}}};
}

void Keys::onAcknowledged(Clock::time_point now) {
  if (this->acknowledged != this->offered)
    this->acknowledgedAt = now;
  this->acknowledged = this->offered;
  for (auto &[key, withdrawnAt] : this->replaced) {
    if (!withdrawnAt)
      withdrawnAt = now;
  }
}

const std::string &Keys::keyOf(const std::string &job) const {
  return job.front() == LimitedPrefix ? this->acknowledged : this->unlimited;
}

bool Keys::isSettled(const std::string &job, Clock::time_point now,
                     std::chrono::milliseconds time) const {
  return job.front() != LimitedPrefix ||
         (this->acknowledged == this->offered && now - this->acknowledgedAt > time);
}

std::optional<std::string> Keys::withdrawn(std::uint64_t choice) const {
  if (this->replaced.empty())
    return std::nullopt;
  auto chosen = this->replaced.begin();
  std::advance(chosen, static_cast<std::ptrdiff_t>(choice % this->replaced.size()));
  return chosen->first;
}

bool Keys::mustBeRefused(const std::string &key, Clock::time_point sent) const {
  const auto found = this->replaced.find(key);
  return found != this->replaced.end() && found->second && sent - *found->second > RevocationTime;
}

} // namespace banyanrill::soak
