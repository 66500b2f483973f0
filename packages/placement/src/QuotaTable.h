// Resources in use by each team, and which teams borrow beyond their quota.
#pragma once

#include "Model.h"

#include <map>
#include <optional>

namespace banyanrill::placement {

struct Team {
  std::string name;
  std::optional<base::Resources> quota;
  std::size_t jobs = 0;
  base::Resources used;           ///< Of tasks that are assigned, running or stopping.
  base::Resources nonPreemptible; ///< Part of `used`: tasks that cannot be preempted.
  base::Resources stopping;       ///< Part of `used`: tasks whose stop was requested.
  std::set<TaskRef> preemptible;

  /// Returns whether the demand is within the quota. Preemptible tasks of the team do not block
  /// tasks that cannot be preempted; they then count as borrowing and can be reclaimed.
  bool admits(const base::Resources &demand, bool preemptibleDemand) const {
    const base::Resources &taken = preemptibleDemand ? this->used : this->nonPreemptible;
    return !this->quota || (taken + demand).fitsIn(*this->quota);
  }
  /// Tasks that are being stopped count as returned, so that no more is reclaimed than needed.
  bool borrows() const {
    return this->quota && !(this->used - this->stopping).fitsIn(*this->quota);
  }
};

/// Not thread-safe. A team is kept while it has a quota or a job; references stay valid until then.
class QuotaTable {
public:
  Team &addJobTo(const std::string &name);
  void removeJobFrom(Team &team);
  void setQuota(const std::string &name, const base::Resources &quota);
  void clearQuota(const std::string &name);
  std::optional<base::Resources> quota(const std::string &name) const;

  void addUsage(Team &team, TaskRef task, const base::Resources &amount, bool preemptible);
  void markStopping(Team &team, const base::Resources &amount);
  void removeUsage(Team &team, TaskRef task, const base::Resources &amount, bool preemptible,
                   bool stopping);

  /// Changes a task between preemptible and not after a change of its job.
  void setPreemptible(Team &team, TaskRef task, const base::Resources &amount, bool preemptible);

  const std::map<std::string, Team *> &borrowers() const { return this->overQuota; }

private:
  Team &team(const std::string &name);
  void updateBorrowers(Team &team);

  std::unordered_map<std::string, Team> teams;
  std::map<std::string, Team *> overQuota; ///< By name, for a reproducible order.
};

} // namespace banyanrill::placement
