#include "QuotaTable.h"

#include <cassert>

namespace banyanrill::placement {

using base::Resources;

Team &QuotaTable::team(const std::string &name) {
  Team &team = this->teams[name];
  team.name = name;
  return team;
}

Team &QuotaTable::addJobTo(const std::string &name) {
  Team &team = this->team(name);
  ++team.jobs;
  return team;
}

void QuotaTable::removeJobFrom(Team &team) {
  assert(team.jobs > 0);
  if (--team.jobs > 0 || team.quota)
    return;
  assert(team.used == Resources{});
  this->teams.erase(std::string(team.name));
}

void QuotaTable::setQuota(const std::string &name, const Resources &quota) {
  assert(quota.isValid());
  Team &team = this->team(name);
  team.quota = quota;
  this->updateBorrowers(team);
}

void QuotaTable::clearQuota(const std::string &name) {
  const auto found = this->teams.find(name);
  if (found == this->teams.end())
    return;
  found->second.quota.reset();
  this->updateBorrowers(found->second);
  if (found->second.jobs == 0)
    this->teams.erase(found);
}

std::optional<Resources> QuotaTable::quota(const std::string &name) const {
  const auto found = this->teams.find(name);
  return found == this->teams.end() ? std::nullopt : found->second.quota;
}

void QuotaTable::addUsage(Team &team, TaskRef task, const Resources &amount, bool preemptible) {
  team.used = team.used + amount;
  if (preemptible)
    team.preemptible.insert(task);
  else
    team.nonPreemptible = team.nonPreemptible + amount;
  this->updateBorrowers(team);
}

void QuotaTable::markStopping(Team &team, const Resources &amount) {
  team.stopping = team.stopping + amount;
  this->updateBorrowers(team);
}

void QuotaTable::removeUsage(Team &team, TaskRef task, const Resources &amount, bool preemptible,
                             bool stopping) {
  team.used = team.used - amount;
  if (!preemptible)
    team.nonPreemptible = team.nonPreemptible - amount;
  if (stopping)
    team.stopping = team.stopping - amount;
  assert(team.used.isValid() && team.nonPreemptible.isValid() && team.stopping.isValid());
  team.preemptible.erase(task);
  this->updateBorrowers(team);
}

void QuotaTable::setPreemptible(Team &team, TaskRef task, const Resources &amount,
                                bool preemptible) {
  if (preemptible) {
    team.nonPreemptible = team.nonPreemptible - amount;
    team.preemptible.insert(task);
  } else {
    team.nonPreemptible = team.nonPreemptible + amount;
    team.preemptible.erase(task);
  }
  assert(team.nonPreemptible.isValid());
}

void QuotaTable::updateBorrowers(Team &team) {
  if (team.borrows())
    this->overQuota.emplace(team.name, &team);
  else
    this->overQuota.erase(team.name);
}

} // namespace banyanrill::placement
