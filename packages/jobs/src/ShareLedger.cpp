#include "banyanrill/jobs/ShareLedger.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace banyanrill::jobs {

namespace {

/// A workspace may pass its limit and come back many times a second.
constexpr base::Duration ReportInterval = std::chrono::seconds(5);

constexpr double NoBound = std::numeric_limits<double>::infinity();

using Amount = std::int64_t base::Resources::*;
constexpr std::array<Amount, 3> Amounts = {
    &base::Resources::millicores, &base::Resources::memoryMib, &base::Resources::accelerators};

/// For messages to callers, in the order of `Amounts`.
constexpr std::array<std::string_view, 3> LimitNames = {"processors", "memory", "accelerators"};

std::int64_t widened(std::int64_t limit, double tolerance) {
  return static_cast<std::int64_t>(static_cast<double>(limit) * (1 + tolerance));
}

/// Whether the amount is within the limit; 0 is no limit.
bool isWithin(const base::Resources &amount, const base::Resources &limit, double tolerance = 0) {
  return std::all_of(Amounts.begin(), Amounts.end(), [&](Amount each) {
    return limit.*each <= 0 || amount.*each <= widened(limit.*each, tolerance);
  });
}

/// Whether the limit is lower in some resource.
bool isLower(const base::Resources &limit, const base::Resources &former) {
  return std::any_of(Amounts.begin(), Amounts.end(), [&](Amount each) {
    return limit.*each > 0 && (former.*each <= 0 || limit.*each < former.*each);
  });
}

/// Mean of the weights; 0 for none.
double meanWeight(const std::vector<Workspace> &workspaces) {
  double sum = 0;
  for (const Workspace &workspace : workspaces)
    sum += workspace.weight;
  return workspaces.empty() ? 0 : sum / static_cast<double>(workspaces.size());
}

} // namespace

base::Resources demandOf(const Step &step) {
  base::Resources demand = step.demand;
  if (step.bestEffortCpu)
    demand.millicores = 0;
  return demand;
}

std::optional<std::string_view> limitThatBars(const Workspace &workspace, const Step &step,
                                              double tolerance) {
  const base::Resources least = demandOf(step) * (step.gang ? step.count : 1);
  for (std::size_t index = 0; index < Amounts.size(); ++index) {
    const std::int64_t limit = workspace.limit.*Amounts.at(index);
    if (limit > 0 && least.*Amounts.at(index) > widened(limit, step.gang ? tolerance : 0))
      return LimitNames.at(index);
  }
  return std::nullopt;
}

const Workspace *findWorkspace(const std::optional<Configuration> &configuration,
                               std::string_view name) {
  if (!configuration || !configuration->workspaces)
    return nullptr;
  const std::vector<Workspace> &all = *configuration->workspaces;
  const auto found = std::find_if(all.begin(), all.end(), [name](const Workspace &workspace) {
    return workspace.name == name;
  });
  return found == all.end() ? nullptr : &*found;
}

std::string_view nameOf(LimitChange change) {
  static constexpr std::array<std::string_view, 3> Names = {"reached", "left", "below_use"};
  return Names.at(static_cast<std::size_t>(change));
}

WorkspaceNumber ShareLedger::numberOf(const std::string &name) {
  const auto [position, isNew] =
      this->numbers.try_emplace(name, static_cast<WorkspaceNumber>(this->entries.size()));
  if (isNew) {
    this->entries.emplace_back();
    this->entries.back().name = name;
  }
  return position->second;
}

bool ShareLedger::configure(const std::optional<Configuration> &configuration) {
  struct Former {
    base::Resources limit;
    bool isNamed = false;
  };
  std::vector<Former> former;
  former.reserve(this->entries.size());
  for (Entry &entry : this->entries) {
    former.push_back({entry.limit, entry.isNamed});
    entry.isNamed = false;
    entry.limit = {};
    entry.weight = 0;
  }
  this->isConfigured = configuration && configuration->workspaces;
  if (this->isConfigured) {
    for (const Workspace &workspace : *configuration->workspaces) {
      Entry &entry = this->entries[this->numberOf(workspace.name)];
      entry.isNamed = true;
      entry.limit = workspace.limit;
      entry.weight = workspace.weight;
    }
    this->entries[this->numberOf({})].weight = meanWeight(*configuration->workspaces);
  }
  former.resize(this->entries.size());
  bool hasChanged = false;
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    Entry &entry = this->entries[index];
    if (entry.limit == former[index].limit)
      continue;
    hasChanged = true;
    const bool isOver = !isWithin(entry.use, entry.limit);
    if (isOver && isLower(entry.limit, former[index].limit)) {
      entry.wasLowered = true;
      entry.mustReportBelowUse = true;
    }
    this->updateLowered(entry);
  }
  return hasChanged;
}

void ShareLedger::updateLowered(Entry &entry) const {
  if (entry.wasLowered && isWithin(entry.use, entry.limit))
    entry.wasLowered = false;
}

void ShareLedger::add(WorkspaceNumber workspace, const base::Resources &demand) {
  Entry &entry = this->entries[workspace];
  entry.use = entry.use + demand;
}

void ShareLedger::remove(WorkspaceNumber workspace, const base::Resources &demand) {
  Entry &entry = this->entries[workspace];
  for (const Amount each : Amounts)
    entry.use.*each = std::max<std::int64_t>(entry.use.*each - demand.*each, 0);
  this->updateLowered(entry);
}

std::uint32_t ShareLedger::placesFor(WorkspaceNumber workspace, const base::Resources &demand,
                                     std::uint32_t most) const {
  const Entry &entry = this->entries[workspace];
  std::int64_t places = most;
  for (const Amount each : Amounts) {
    if (entry.limit.*each <= 0)
      continue;
    const std::int64_t left = entry.limit.*each - entry.use.*each;
    // Also what needs none of a resource does not start while its limit lies under the use.
    if (left < 0)
      return 0;
    if (demand.*each > 0)
      places = std::min(places, left / (demand.*each));
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(places, 0));
}

bool ShareLedger::mayPlaceGang(WorkspaceNumber workspace, const base::Resources &gang,
                               const base::Resources &use) const {
  return isWithin(use + gang, this->entries[workspace].limit, this->tolerance);
}

void ShareLedger::beginRound(const base::Resources &total) {
  this->capacity = total;
  for (Entry &entry : this->entries) {
    entry.wanted = {};
    entry.held = 0;
  }
}

void ShareLedger::want(WorkspaceNumber workspace, const base::Resources &demand) {
  Entry &entry = this->entries[workspace];
  entry.wanted = entry.wanted + demand;
}

double ShareLedger::dominantShare(const base::Resources &amount) const {
  double share = 0;
  for (const Amount each : Amounts) {
    if (this->capacity.*each > 0)
      share = std::max(share, static_cast<double>(amount.*each) /
                                  static_cast<double>(this->capacity.*each));
  }
  return share;
}

void ShareLedger::computeShares() {
  struct Active {
    double asked;
    Entry *entry;
  };
  std::vector<Active> active;
  double weights = 0;
  for (Entry &entry : this->entries) {
    base::Resources asked = entry.use + entry.reserved + entry.wanted;
    for (const Amount each : Amounts) {
      if (entry.limit.*each > 0)
        asked.*each = std::min(asked.*each, std::max(entry.limit.*each, entry.use.*each));
    }
    const double share = this->dominantShare(asked);
    if (share <= 0)
      continue;
    active.push_back({share, &entry});
    weights += entry.weight;
  }
  for (const Active &each : active)
    each.entry->weighted = weights > 0 ? each.entry->weight / weights : NoBound;
  // Progressive filling: those that ask for least, for their weight, get all that they ask for.
  std::sort(active.begin(), active.end(), [](const Active &left, const Active &right) {
    return left.asked * right.entry->weight < right.asked * left.entry->weight;
  });
  double left = 1;
  double level = NoBound;
  for (const Active &each : active) {
    const double weight = each.entry->weight;
    if (level == NoBound && (weight <= 0 || each.asked > left * weight / weights))
      level = weights > 0 && weight > 0 ? left / weights : 0;
    if (level != NoBound) {
      each.entry->filled = weight * level;
      continue;
    }
    each.entry->filled = NoBound;
    left -= each.asked;
    weights -= weight;
  }
}

std::uint32_t ShareLedger::placesWithin(ShareBound bound, WorkspaceNumber workspace,
                                        const base::Resources &demand, std::uint32_t most) const {
  const Entry &entry = this->entries[workspace];
  // A workspace that gets all it asks for is never over its share.
  const double share = bound == ShareBound::Any || entry.filled == NoBound ? NoBound
                       : bound == ShareBound::Weighted                     ? entry.weighted
                                                                           : entry.filled;
  if (share == NoBound)
    return most;
  const base::Resources taken = entry.use + entry.reserved;
  double places = most;
  for (const Amount each : Amounts) {
    const double left =
        share * static_cast<double>(this->capacity.*each) - static_cast<double>(taken.*each);
    if (this->capacity.*each <= 0 || (left > 0 && demand.*each <= 0))
      continue;
    if (left <= 0) {
      if (taken.*each > 0 || demand.*each > 0)
        return 0;
      continue;
    }
    places = std::min(places, std::ceil(left / static_cast<double>(demand.*each)));
  }
  return static_cast<std::uint32_t>(places);
}

void ShareLedger::reserve(WorkspaceNumber workspace, const base::Resources &demand) {
  Entry &entry = this->entries[workspace];
  entry.reserved = entry.reserved + demand;
  this->hasReservations = true;
}

void ShareLedger::clearReservations() {
  if (!this->hasReservations)
    return;
  for (Entry &entry : this->entries)
    entry.reserved = {};
  this->hasReservations = false;
}

void ShareLedger::finishRound(base::TimePoint now) {
  for (Entry &entry : this->entries) {
    const bool isAtLimit = entry.held > 0;
    if ((isAtLimit == entry.isAtLimit && !entry.mustReportBelowUse) || now < entry.nextReport)
      continue;
    LimitDecision decision{entry.name, isAtLimit ? LimitChange::Reached : LimitChange::Left,
                           entry.use, entry.limit, entry.held};
    if (entry.mustReportBelowUse)
      decision.change = LimitChange::BelowUse;
    else
      entry.isAtLimit = isAtLimit;
    entry.mustReportBelowUse = false;
    entry.nextReport = now + ReportInterval;
    this->decisions.push_back(std::move(decision));
  }
}

std::vector<LimitDecision> ShareLedger::takeDecisions() {
  return std::exchange(this->decisions, {});
}

std::vector<WorkspaceLoad> ShareLedger::loads() const {
  std::vector<WorkspaceLoad> loads;
  for (const Entry &entry : this->entries) {
    if (entry.isNamed || entry.use != base::Resources())
      loads.push_back({entry.name, entry.use, entry.limit, entry.held});
  }
  return loads;
}

std::map<std::string, base::Resources> ShareLedger::uses() const {
  std::map<std::string, base::Resources> uses;
  for (const Entry &entry : this->entries) {
    if (entry.use != base::Resources())
      uses.emplace(entry.name, entry.use);
  }
  return uses;
}

} // namespace banyanrill::jobs
