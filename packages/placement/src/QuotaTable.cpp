#include "QuotaTable.h"

#include <cassert>

namespace banyanrill::placement {

using base::Resources;

Team &QuotaTable::team(const std::string &name) {
  Team &team = this->teams[name];
  team.name = name;
  return team;
}

Team &QuotaTable::join(const std::string &name) {
  Team &team = this->team(name);
  ++team.jobs;
  return team;
}

void QuotaTable::leave(Team &team) {
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
  this->classify(team);
}

void QuotaTable::clearQuota(const std::string &name) {
  const auto found = this->teams.find(name);
  if (found == this->teams.end())
    return;
  found->second.quota.reset();
  this->classify(found->second);
  if (found->second.jobs == 0)
    this->teams.erase(found);
}

std::optional<Resources> QuotaTable::quota(const std::string &name) const {
  const auto found = this->teams.find(name);
  return found == this->teams.end() ? std::nullopt : found->second.quota;
}

void QuotaTable::take(Team &team, TaskRef task, const Resources &amount, bool preemptible) {
  team.used = team.used + amount;
  if (preemptible)
    team.preemptible.insert(task);
  else
    team.fixed = team.fixed + amount;
  this->classify(team);
}

void QuotaTable::markStopping(Team &team, const Resources &amount) {
  team.stopping = team.stopping + amount;
  this->classify(team);
}

void QuotaTable::giveBack(Team &team, TaskRef task, const Resources &amount, bool preemptible,
                          bool stopping) {
  team.used = team.used - amount;
  if (!preemptible)
    team.fixed = team.fixed - amount;
  if (stopping)
    team.stopping = team.stopping - amount;
  assert(team.used.isValid() && team.fixed.isValid() && team.stopping.isValid());
  team.preemptible.erase(task);
  this->classify(team);
}

void QuotaTable::setPreemptible(Team &team, TaskRef task, const Resources &amount,
                                bool preemptible) {
  if (preemptible) {
    team.fixed = team.fixed - amount;
    team.preemptible.insert(task);
  } else {
    team.fixed = team.fixed + amount;
    team.preemptible.erase(task);
  }
  assert(team.fixed.isValid());
}

void QuotaTable::classify(Team &team) {
  if (team.borrows())
    this->overQuota.emplace(team.name, &team);
  else
    this->overQuota.erase(team.name);
}

} // namespace banyanrill::placement
