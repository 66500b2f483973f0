// Bounded queue of waiting requests: by priority, then by team in turn.
#include "banyanrill/routing/AdmissionQueue.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace banyanrill::routing {

namespace {

/// Teams of one priority. Every request takes one slot, so quantum and cost are both one: a team's
/// turn serves one request, and no deficit carries over to its next turn.
struct PriorityClass {
  std::map<std::string, std::deque<QueuedRequest>> teams;
  std::deque<std::string> turns; ///< Teams with requests, the next one first.
};

using ServiceQueue = std::map<std::int32_t, PriorityClass, std::greater<>>;

struct Place {
  std::string service;
  std::int32_t priority = 0;
  std::string team;
};

std::size_t lengthOf(const ServiceQueue &queue, const std::string &team) {
  std::size_t length = 0;
  for (const auto &[priority, level] : queue) {
    const auto found = level.teams.find(team);
    if (found != level.teams.end())
      length += found->second.size();
  }
  return length;
}

/// Requests that are served before a new one: all of higher priority, and of the same priority the
/// team's own and at most one more than that of every other team.
std::size_t aheadOf(const ServiceQueue &queue, const std::string &team, std::int32_t priority) {
  std::size_t ahead = 0;
  for (const auto &[level, content] : queue) {
    if (level < priority)
      break;
    const auto own = content.teams.find(team);
    const std::size_t turns = own == content.teams.end() ? 0 : own->second.size();
    for (const auto &[name, requests] : content.teams) {
      if (level > priority)
        ahead += requests.size();
      else
        ahead += name == team ? turns : std::min(requests.size(), turns + 1);
    }
  }
  return ahead;
}

} // namespace

struct AdmissionQueue::State {
  AdmissionOptions options;
  std::map<std::string, ServiceQueue> services;
  std::unordered_map<std::string, Place> places; ///< By request identifier.

  /// Takes one request out; removes the containers that it leaves empty.
  QueuedRequest take(const Place &place, const std::deque<QueuedRequest>::iterator &at) {
    ServiceQueue &queue = this->services.at(place.service);
    PriorityClass &level = queue.at(place.priority);
    std::deque<QueuedRequest> &requests = level.teams.at(place.team);
    QueuedRequest taken = std::move(*at);
    requests.erase(at);
    this->places.erase(taken.requestId);
    if (requests.empty()) {
      level.teams.erase(place.team);
      level.turns.erase(std::find(level.turns.begin(), level.turns.end(), place.team));
    }
    if (level.teams.empty())
      queue.erase(place.priority);
    if (queue.empty())
      this->services.erase(place.service);
    return taken;
  }
};

AdmissionQueue::AdmissionQueue(AdmissionOptions options) : state(std::make_unique<State>()) {
  this->state->options = options;
}

AdmissionQueue::~AdmissionQueue() = default;
AdmissionQueue::AdmissionQueue(AdmissionQueue &&) noexcept = default;
AdmissionQueue &AdmissionQueue::operator=(AdmissionQueue &&) noexcept = default;

Admission AdmissionQueue::push(const QueuedRequest &request, base::Duration serviceTime,
                               std::int32_t slots, base::TimePoint now) {
  // A duplicated message between daemons must not queue the request twice.
  if (this->state->places.count(request.requestId) != 0)
    return Admission::Queued;
  if (request.deadline <= now)
    return Admission::DeadlineTooShort;
  const auto found = this->state->services.find(request.service);
  if (found != this->state->services.end()) {
    if (lengthOf(found->second, request.team) >= this->state->options.perTeam)
      return Admission::QueueFull;
  } else if (this->state->options.perTeam == 0) {
    return Admission::QueueFull;
  }
  if (serviceTime > base::Duration::zero()) {
    const std::size_t ahead = found == this->state->services.end()
                                  ? 0
                                  : aheadOf(found->second, request.team, request.priority);
    const base::Duration wait = serviceTime * static_cast<std::int64_t>(ahead) / std::max(slots, 1);
    if (now + wait + serviceTime > request.deadline)
      return Admission::DeadlineTooShort;
  }
  PriorityClass &level = this->state->services[request.service][request.priority];
  std::deque<QueuedRequest> &requests = level.teams[request.team];
  if (requests.empty())
    level.turns.push_back(request.team);
  requests.push_back(request);
  this->state->places[request.requestId] = {request.service, request.priority, request.team};
  return Admission::Queued;
}

std::optional<QueuedRequest> AdmissionQueue::pop(const std::string &service, base::TimePoint now) {
  const auto found = this->state->services.find(service);
  if (found == this->state->services.end())
    return std::nullopt;
  for (auto &[priority, level] : found->second) {
    for (auto turn = level.turns.begin(); turn != level.turns.end(); ++turn) {
      const std::string team = *turn;
      std::deque<QueuedRequest> &requests = level.teams.at(team);
      // Requests whose deadline has passed stay for `expire`, which reports them.
      const auto live =
          std::find_if(requests.begin(), requests.end(),
                       [now](const QueuedRequest &request) { return request.deadline > now; });
      if (live == requests.end())
        continue;
      level.turns.erase(turn);
      level.turns.push_back(team);
      return this->state->take({service, priority, team}, live);
    }
  }
  return std::nullopt;
}

bool AdmissionQueue::remove(const std::string &requestId) {
  const auto found = this->state->places.find(requestId);
  if (found == this->state->places.end())
    return false;
  const Place place = found->second;
  std::deque<QueuedRequest> &requests =
      this->state->services.at(place.service).at(place.priority).teams.at(place.team);
  const auto at =
      std::find_if(requests.begin(), requests.end(), [&requestId](const QueuedRequest &request) {
        return request.requestId == requestId;
      });
  assert(at != requests.end());
  this->state->take(place, at);
  return true;
}

std::vector<QueuedRequest> AdmissionQueue::expire(base::TimePoint now) {
  std::vector<QueuedRequest> late;
  for (const auto &[service, queue] : this->state->services) {
    for (const auto &[priority, level] : queue) {
      for (const auto &[team, requests] : level.teams) {
        std::copy_if(requests.begin(), requests.end(), std::back_inserter(late),
                     [now](const QueuedRequest &request) { return request.deadline <= now; });
      }
    }
  }
  for (const QueuedRequest &request : late)
    this->remove(request.requestId);
  return late;
}

std::size_t AdmissionQueue::size() const { return this->state->places.size(); }

} // namespace banyanrill::routing
