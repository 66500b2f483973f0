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
  base::Resources used;     ///< Of tasks that are assigned, running or stopping.
  base::Resources fixed;    ///< The part of `used` by tasks that cannot be preempted.
  base::Resources stopping; ///< The part of `used` whose stop was requested.
  std::set<TaskRef> preemptible;

  /// Whether the demand is within the quota. Tasks that cannot be preempted are not held up by
  /// preemptible ones of the team, which then count as borrowing and can be called back.
  bool admits(const base::Resources &demand, bool preemptibleDemand) const {
    const base::Resources &taken = preemptibleDemand ? this->used : this->fixed;
    return !this->quota || (taken + demand).fitsIn(*this->quota);
  }
  /// Tasks that are being stopped count as returned, so that no more is called back than needed.
  bool borrows() const {
    return this->quota && !(this->used - this->stopping).fitsIn(*this->quota);
  }
};

/// Not thread-safe. A team is kept while it has a quota or a job; references stay valid until then.
class QuotaTable {
public:
  Team &join(const std::string &name);
  void leave(Team &team);
  void setQuota(const std::string &name, const base::Resources &quota);
  void clearQuota(const std::string &name);
  std::optional<base::Resources> quota(const std::string &name) const;

  void take(Team &team, TaskRef task, const base::Resources &amount, bool preemptible);
  void markStopping(Team &team, const base::Resources &amount);
  void giveBack(Team &team, TaskRef task, const base::Resources &amount, bool preemptible,
                bool stopping);

  /// Moves a task between the two kinds after a change of its job.
  void setPreemptible(Team &team, TaskRef task, const base::Resources &amount, bool preemptible);

  const std::map<std::string, Team *> &borrowers() const { return this->overQuota; }

private:
  Team &team(const std::string &name);
  void classify(Team &team);

  std::unordered_map<std::string, Team> teams;
  std::map<std::string, Team *> overQuota; ///< By name, for an order that can be replayed.
};

} // namespace banyanrill::placement
