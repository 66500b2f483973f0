// Use, limit and share of each workspace: which runs its limit permits, and whose work comes first
// when capacity is contended. Decides without I/O and without a clock. Answers the loads "one
// workspace sends 7.5 times its usual" and "three times the room is asked for".
#pragma once

#include "banyanrill/base/Time.h"
#include "banyanrill/jobs/Model.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyanrill::jobs {

/// Returns the resources that a run occupies; best-effort runs occupy no processors. Pure and
/// thread-safe.
base::Resources demandOf(const Step &step);

/// Returns the name of the limit that the step, alone, can never start within; nothing if it may
/// start. A gang may use the tolerance; a single task may not. Pure and thread-safe.
std::optional<std::string_view> limitThatBars(const Workspace &workspace, const Step &step,
                                              double tolerance);

/// Whether the step, alone, may start within the limit of its workspace. Pure and thread-safe.
inline bool mayEverStart(const Workspace &workspace, const Step &step, double tolerance) {
  return !limitThatBars(workspace, step, tolerance);
}

/// The workspace of this name in a configuration; null if it names none.
const Workspace *findWorkspace(const std::optional<Configuration> &configuration,
                               std::string_view name);

/// Number of a workspace in one ledger.
using WorkspaceNumber = std::uint32_t;

/// For the log: what happened to a workspace at its limit.
enum class LimitChange : std::uint8_t {
  Reached,  ///< Starts wait for room under the limit.
  Left,     ///< No start waits for it any more.
  BelowUse, ///< A configuration has set the limit below what runs.
};

/// Thread-safe.
std::string_view nameOf(LimitChange change);

struct LimitDecision {
  std::string workspace;
  LimitChange change = LimitChange::Reached;
  base::Resources use;
  base::Resources limit;
  std::uint64_t held = 0; ///< Tasks that wait for room under the limit.

  bool operator==(const LimitDecision &) const = default;
};

/// For the metrics.
struct WorkspaceLoad {
  std::string name; ///< Empty: jobs without a workspace.
  base::Resources use;
  base::Resources limit;  ///< 0: none on that resource.
  std::uint64_t held = 0; ///< Tasks that wait for room under the limit, in the last round.

  bool operator==(const WorkspaceLoad &) const = default;
};

/// How far a workspace's use may grow before its steps give way to those of others. Does not bind a
/// workspace that asks for no more than its filled share.
enum class ShareBound : std::uint8_t {
  Weighted, ///< Its part of the capacity by weight, among the workspaces with work.
  Filled,   ///< The same and, by weight, its part of what the others do not ask for.
  Any,      ///< No bound.
};

/// Not thread-safe.
class ShareLedger {
public:
  explicit ShareLedger(double quotaTolerance) : tolerance(quotaTolerance) {}

  /// Returns the number of a workspace, also of one that no configuration names.
  WorkspaceNumber numberOf(const std::string &name);

  /// Takes the workspaces of a configuration over. Call when all runs of that moment are counted.
  /// \returns whether limits have changed.
  bool configure(const std::optional<Configuration> &configuration);

  /// Whether the configuration has workspaces. Otherwise there are no limits, and the order of work
  /// does not depend on workspaces.
  bool hasWorkspaces() const { return this->isConfigured; }

  // Use.
  void add(WorkspaceNumber workspace, const base::Resources &demand);
  void remove(WorkspaceNumber workspace, const base::Resources &demand);
  const base::Resources &useOf(WorkspaceNumber workspace) const {
    return this->entries[workspace].use;
  }

  // Limit.
  const base::Resources &limitOf(WorkspaceNumber workspace) const {
    return this->entries[workspace].limit;
  }
  /// Number of tasks, at most `most`, that may be placed now.
  std::uint32_t placesFor(WorkspaceNumber workspace, const base::Resources &demand,
                          std::uint32_t most) const;
  /// Whether a gang may be placed while `use` is in use: it may use the tolerance.
  bool mayPlaceGang(WorkspaceNumber workspace, const base::Resources &gang,
                    const base::Resources &use) const;
  /// The same for the present use. False while a lowered limit lies under the use.
  bool mayPlaceGang(WorkspaceNumber workspace, const base::Resources &gang) const {
    return !this->isOverLoweredLimit(workspace) &&
           this->mayPlaceGang(workspace, gang, this->entries[workspace].use);
  }
  /// Whether a placed run whose order has not left must not start: a configuration has lowered the
  /// limit, and the use is not back under it.
  bool isOverLoweredLimit(WorkspaceNumber workspace) const {
    return this->entries[workspace].wasLowered;
  }
  /// Counts tasks that wait for room under the limit, for this round.
  void noteHeld(WorkspaceNumber workspace, std::size_t tasks) {
    this->entries[workspace].held += tasks;
  }

  // Shares.
  /// Begins a planning round. `capacity` is that of all workers that may get tasks.
  void beginRound(const base::Resources &capacity);
  /// Adds to what a workspace asks for in this round, beside its use.
  void want(WorkspaceNumber workspace, const base::Resources &demand);
  /// Call once in a round, after all wants.
  void computeShares();
  /// Number of tasks, at most `most`, that may start until the workspace passes the bound: at least
  /// one as long as it is below.
  std::uint32_t placesWithin(ShareBound bound, WorkspaceNumber workspace,
                             const base::Resources &demand, std::uint32_t most) const;
  /// What a gang reserves counts for the share, not for the limit.
  void reserve(WorkspaceNumber workspace, const base::Resources &demand);
  void clearReservations();
  const base::Resources &reservedBy(WorkspaceNumber workspace) const {
    return this->entries[workspace].reserved;
  }

  // Operators.
  /// Call at the end of a planning round. Keeps at most one decision of each workspace in some
  /// seconds.
  void finishRound(base::TimePoint now);
  std::vector<LimitDecision> takeDecisions();
  /// The workspaces of the configuration and all others with runs.
  std::vector<WorkspaceLoad> loads() const;

  /// Use by name, without those that use nothing: to compare with the table.
  std::map<std::string, base::Resources> uses() const;

private:
  struct Entry {
    std::string name;
    bool isNamed = false; ///< By the configuration.
    base::Resources use;
    base::Resources reserved;
    base::Resources limit;
    double weight = 0;
    bool wasLowered = false;
    // Of one round.
    base::Resources wanted;
    double weighted = 0; ///< Share of the capacity.
    double filled = 0;   ///< The same.
    std::uint64_t held = 0;
    // For the log.
    bool isAtLimit = false; ///< As last reported.
    bool mustReportBelowUse = false;
    base::TimePoint nextReport = base::TimePoint::min();
  };

  /// The largest of the entry's shares of the capacity of each resource.
  double dominantShare(const base::Resources &amount) const;
  void updateLowered(Entry &entry) const;

  double tolerance;
  bool isConfigured = false;
  bool hasReservations = false;
  std::vector<Entry> entries;
  std::unordered_map<std::string, WorkspaceNumber> numbers;
  base::Resources capacity;
  std::vector<LimitDecision> decisions;
};

} // namespace banyanrill::jobs
