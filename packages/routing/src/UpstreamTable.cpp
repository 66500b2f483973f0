// Upstream instances: exact slots and connections, health, choice of the least loaded.
#include "banyanrill/routing/UpstreamTable.h"

#include "ConcurrencyLimit.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace banyanrill::routing {

namespace {

using ServiceKey = std::pair<std::string, std::string>;

// An instance is ejected at most 16 times the first ejection time: 160 s, so that a repaired one
// returns without an operator.
constexpr std::int32_t MaxEjectionDoublings = 4;
// Successes in a row after which one ejection is forgiven.
constexpr std::int32_t ForgivingSuccesses = 32;
constexpr double ServiceTimeWeight = 0.125;
// An announcement that was sent before the instance left may arrive after it; one interval of
// announcements covers it, and a process that does return on the same port is late by one.
constexpr base::Duration LeftMemory = std::chrono::seconds(5);
constexpr std::size_t LeftMemorySize = 256;

struct Instance {
  explicit Instance(std::int32_t limit) : adaptive(limit) {}

  UpstreamAnnouncement announced;
  ConcurrencyLimit adaptive;
  std::int32_t inUse = 0;       ///< Requests dispatched by this table.
  std::int32_t inherited = 0;   ///< Requests of other owners, as announced last.
  std::int32_t staleLeases = 0; ///< Part of `inUse` that an earlier process of this id held.
  std::int32_t failures = 0;    ///< In a row.
  std::int32_t successes = 0;   ///< In a row.
  std::int32_t ejections = 0;
  bool leaving = false;
  bool gone = false; ///< Silent or not owned; kept only until its last request ends.
  bool ejected = false;
  base::TimePoint lastAnnounced;
  base::TimePoint slowSince;
  base::TimePoint ejectedUntil;

  std::int32_t ceiling() const {
    return std::max(std::min(this->announced.slots, this->announced.connections), 0);
  }
  std::int32_t taken() const { return this->inUse + this->inherited; }
  bool isMember() const { return !this->leaving && !this->gone; }
};

struct Service {
  std::vector<base::UpstreamId> members; ///< All entries, leaving and gone ones included.
  double serviceTimeUs = 0;
};

struct Departure {
  base::UpstreamId id;
  std::string host;
  std::uint16_t port = 0;
  base::TimePoint at;
};

ServiceKey serviceOf(const Instance &instance) {
  return {instance.announced.team, instance.announced.service};
}

bool sameProcess(const UpstreamAnnouncement &a, const UpstreamAnnouncement &b) {
  return a.host == b.host && a.port == b.port && a.worker == b.worker && a.team == b.team &&
         a.service == b.service;
}

} // namespace

struct UpstreamTable::State {
  UpstreamTableOptions options;
  base::RandomSource random;
  std::map<base::UpstreamId, Instance> instances;
  std::map<ServiceKey, Service> services;
  std::unordered_map<base::WorkerId, std::size_t> perWorker;
  std::deque<Departure> departures;
  base::TimePoint latest; ///< Highest reading passed to any function.

  void observe(base::TimePoint now) {
    this->latest = std::max(this->latest, now);
    while (!this->departures.empty() && this->departures.front().at + LeftMemory <= this->latest)
      this->departures.pop_front();
  }

  void link(const Instance &instance) {
    this->services[serviceOf(instance)].members.push_back(instance.announced.id);
    ++this->perWorker[instance.announced.worker];
  }

  void unlink(const Instance &instance) {
    const auto service = this->services.find(serviceOf(instance));
    std::vector<base::UpstreamId> &members = service->second.members;
    members.erase(std::find(members.begin(), members.end(), instance.announced.id));
    if (members.empty())
      this->services.erase(service);
    const auto worker = this->perWorker.find(instance.announced.worker);
    if (--worker->second == 0)
      this->perWorker.erase(worker);
  }

  /// Forgets an instance without requests; others stay until their last request ends.
  void retire(std::map<base::UpstreamId, Instance>::iterator at) {
    if (at->second.inUse > 0)
      return;
    if (at->second.leaving) {
      const UpstreamAnnouncement &announced = at->second.announced;
      if (this->departures.size() >= LeftMemorySize)
        this->departures.pop_front();
      this->departures.push_back({announced.id, announced.host, announced.port, this->latest});
    }
    this->unlink(at->second);
    this->instances.erase(at);
  }

  bool hasLeft(const UpstreamAnnouncement &announcement) const {
    return std::any_of(this->departures.begin(), this->departures.end(), [&](const Departure &d) {
      return d.id == announcement.id && d.host == announcement.host && d.port == announcement.port;
    });
  }

  /// Members of a service, and how many of them are not ejected.
  std::pair<std::size_t, std::size_t> health(const Service &service) const {
    std::size_t members = 0;
    std::size_t healthy = 0;
    for (const base::UpstreamId &id : service.members) {
      const Instance &instance = this->instances.at(id);
      members += instance.isMember() ? 1 : 0;
      healthy += instance.isMember() && !instance.ejected ? 1 : 0;
    }
    return {members, healthy};
  }

  bool isAboveFloor(std::size_t healthy, std::size_t members) const {
    return healthy * 100 >=
           members * static_cast<std::size_t>(std::max(this->options.healthyFloorPercent, 0));
  }

  void readmit(Instance &instance, base::TimePoint now) const {
    instance.ejected = false;
    instance.slowSince = now;
    // One more failure ejects it again, for twice the time.
    instance.failures = std::max(this->options.ejectAfterFailures - 1, 0);
  }

  /// Ends ejections whose time has passed, and further ones while too few members are left.
  void readmitDue(const Service &service, base::TimePoint now) {
    for (const base::UpstreamId &id : service.members) {
      Instance &instance = this->instances.at(id);
      if (instance.ejected && instance.ejectedUntil <= now)
        this->readmit(instance, now);
    }
    for (;;) {
      const auto [members, healthy] = this->health(service);
      if (this->isAboveFloor(healthy, members))
        return;
      Instance *first = nullptr;
      for (const base::UpstreamId &id : service.members) {
        Instance &instance = this->instances.at(id);
        if (instance.isMember() && instance.ejected &&
            (first == nullptr || instance.ejectedUntil < first->ejectedUntil))
          first = &instance;
      }
      if (first == nullptr)
        return;
      this->readmit(*first, now);
    }
  }

  void countFailure(Instance &instance, base::TimePoint now) {
    instance.successes = 0;
    if (!instance.isMember() || instance.ejected)
      return;
    ++instance.failures;
    if (instance.failures < this->options.ejectAfterFailures)
      return;
    const auto [members, healthy] = this->health(this->services.at(serviceOf(instance)));
    if (!this->isAboveFloor(healthy - 1, members))
      return;
    instance.ejected = true;
    const std::int32_t doublings = std::min(instance.ejections, MaxEjectionDoublings);
    instance.ejectedUntil = now + this->options.ejectionTime * (1 << doublings);
    ++instance.ejections;
  }

  void countSuccess(Instance &instance) const {
    instance.failures = 0;
    ++instance.successes;
    if (instance.successes < ForgivingSuccesses)
      return;
    instance.successes = 0;
    instance.ejections = std::max(instance.ejections - 1, 0);
  }

  /// Requests that the instance may have in progress now. Never more than it announced.
  std::int32_t limitOf(const Instance &instance, base::TimePoint now) const {
    const std::int32_t ceiling = instance.ceiling();
    std::int32_t limit = std::min(ceiling, instance.adaptive.value());
    const base::Duration age = std::max(now - instance.slowSince, base::Duration::zero());
    if (age < this->options.slowStart) {
      const auto grown =
          static_cast<std::int32_t>(ceiling * age.count() / this->options.slowStart.count());
      limit = std::min(limit, std::max(grown, std::min(ceiling, 1)));
    }
    return limit;
  }

  bool isUsable(const Instance &instance, base::TimePoint now) const {
    return instance.isMember() && !(instance.ejected && instance.ejectedUntil > now) &&
           now - instance.lastAnnounced < this->options.announcementTimeout;
  }
};

UpstreamTable::UpstreamTable(UpstreamTableOptions options, base::RandomSource random)
    : state(std::make_unique<State>(State{options, random, {}, {}, {}, {}, {}})) {}

UpstreamTable::~UpstreamTable() = default;
UpstreamTable::UpstreamTable(UpstreamTable &&) noexcept = default;
UpstreamTable &UpstreamTable::operator=(UpstreamTable &&) noexcept = default;

bool UpstreamTable::announce(const UpstreamAnnouncement &announcement, base::TimePoint now) {
  this->state->observe(now);
  if (this->state->hasLeft(announcement))
    return true;
  const auto found = this->state->instances.find(announcement.id);
  const bool known = found != this->state->instances.end();
  if (known && found->second.leaving && sameProcess(found->second.announced, announcement))
    return true;
  if (!known || found->second.announced.worker != announcement.worker) {
    const auto count = this->state->perWorker.find(announcement.worker);
    if (count != this->state->perWorker.end() &&
        count->second >= this->state->options.instancesPerWorker)
      return false;
  }

  const std::int32_t reported = std::max(announcement.inProgress, 0);
  if (known && !found->second.gone && sameProcess(found->second.announced, announcement)) {
    Instance &instance = found->second;
    instance.announced = announcement;
    instance.adaptive.setCeiling(instance.ceiling());
    instance.lastAnnounced = now;
    // May also rise: the instance first has to learn which owner's requests not to report.
    instance.inherited = reported;
    return true;
  }

  // A new instance, a new process under a known identifier, or one that returns after silence.
  Instance fresh(0);
  fresh.announced = announcement;
  fresh.adaptive = ConcurrencyLimit(fresh.ceiling());
  fresh.inherited = reported;
  fresh.lastAnnounced = now;
  fresh.slowSince = now;
  if (known) {
    // Requests to the earlier process still count until they are released.
    fresh.inUse = found->second.inUse;
    if (!sameProcess(found->second.announced, announcement))
      fresh.staleLeases = fresh.inUse;
    this->state->unlink(found->second);
    this->state->instances.erase(found);
  }
  this->state->link(fresh);
  this->state->instances.emplace(announcement.id, std::move(fresh));
  return true;
}

void UpstreamTable::leave(const base::UpstreamId &id) {
  const auto found = this->state->instances.find(id);
  if (found == this->state->instances.end())
    return;
  found->second.leaving = true;
  this->state->retire(found);
}

void UpstreamTable::dropWorker(const base::WorkerId &worker) {
  for (auto at = this->state->instances.begin(); at != this->state->instances.end();) {
    const auto current = at++;
    if (current->second.announced.worker != worker)
      continue;
    current->second.gone = true;
    this->state->retire(current);
  }
}

void UpstreamTable::release(const base::UpstreamId &id, UpstreamOutcome outcome,
                            base::Duration duration, base::TimePoint now) {
  this->state->observe(now);
  const auto found = this->state->instances.find(id);
  assert(found != this->state->instances.end() && found->second.inUse > 0);
  Instance &instance = found->second;
  if (outcome == UpstreamOutcome::Success) {
    this->state->countSuccess(instance);
    instance.adaptive.onSuccess(duration, instance.inUse);
    double &mean = this->state->services.at(serviceOf(instance)).serviceTimeUs;
    const auto sample = static_cast<double>(duration.count());
    mean = mean == 0 ? sample : mean + ServiceTimeWeight * (sample - mean);
  } else if (instance.staleLeases > 0) {
    // Most likely a request to the process that the instance replaced; says nothing about this one.
    --instance.staleLeases;
  } else {
    this->state->countFailure(instance, now);
    // A refused connection says nothing about the load that the instance bears.
    if (outcome == UpstreamOutcome::Failure)
      instance.adaptive.onFailure();
  }
  --instance.inUse;
  instance.staleLeases = std::min(instance.staleLeases, instance.inUse);
  if (!instance.isMember())
    this->state->retire(found);
}

std::vector<base::UpstreamId> UpstreamTable::expire(base::TimePoint now) {
  this->state->observe(now);
  std::vector<base::UpstreamId> silent;
  for (auto at = this->state->instances.begin(); at != this->state->instances.end();) {
    const auto current = at++;
    Instance &instance = current->second;
    if (instance.gone || now - instance.lastAnnounced < this->state->options.announcementTimeout)
      continue;
    silent.push_back(current->first);
    instance.gone = true;
    this->state->retire(current);
  }
  return silent;
}

std::vector<ServiceLoad> UpstreamTable::loads(base::TimePoint now) const {
  std::vector<ServiceLoad> loads;
  for (const auto &[key, service] : this->state->services) {
    ServiceLoad load{key.first, key.second, 0, 0};
    for (const base::UpstreamId &id : service.members) {
      const Instance &instance = this->state->instances.at(id);
      if (!this->state->isUsable(instance, now))
        continue;
      load.totalSlots += instance.ceiling();
      load.freeSlots += std::max(this->state->limitOf(instance, now) - instance.taken(), 0);
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

base::Duration UpstreamTable::serviceTime(const std::string &team,
                                          const std::string &service) const {
  const auto found = this->state->services.find({team, service});
  if (found == this->state->services.end())
    return base::Duration::zero();
  return base::Duration(static_cast<base::Duration::rep>(found->second.serviceTimeUs));
}

std::size_t UpstreamTable::instances() const {
  return static_cast<std::size_t>(
      std::count_if(this->state->instances.begin(), this->state->instances.end(),
                    [](const auto &entry) { return !entry.second.gone; }));
}

std::int32_t UpstreamTable::inProgress(const base::UpstreamId &id) const {
  const auto found = this->state->instances.find(id);
  return found == this->state->instances.end() ? 0 : found->second.taken();
}

std::vector<UpstreamLease> UpstreamTable::candidates(const std::string &team,
                                                     const std::string &service,
                                                     const std::vector<base::UpstreamId> &avoid,
                                                     base::TimePoint now) {
  this->state->observe(now);
  const auto found = this->state->services.find({team, service});
  if (found == this->state->services.end())
    return {};
  this->state->readmitDue(found->second, now);

  struct Choice {
    const Instance *instance;
    double load;
    std::uint64_t tieBreak;
  };
  std::vector<Choice> choices;
  for (const base::UpstreamId &id : found->second.members) {
    const Instance &instance = this->state->instances.at(id);
    const std::int32_t limit = this->state->limitOf(instance, now);
    if (!this->state->isUsable(instance, now) || instance.taken() >= limit ||
        std::find(avoid.begin(), avoid.end(), id) != avoid.end())
      continue;
    choices.push_back(
        {&instance, static_cast<double>(instance.taken()) / limit, this->state->random.next()});
  }
  std::sort(choices.begin(), choices.end(), [](const Choice &a, const Choice &b) {
    return std::pair(a.load, a.tieBreak) < std::pair(b.load, b.tieBreak);
  });
  std::vector<UpstreamLease> leases;
  leases.reserve(choices.size());
  for (const Choice &choice : choices) {
    const UpstreamAnnouncement &announced = choice.instance->announced;
    leases.push_back({announced.id, announced.worker, announced.host, announced.port});
  }
  return leases;
}

void UpstreamTable::take(const base::UpstreamId &id) {
  Instance &instance = this->state->instances.at(id);
  ++instance.inUse;
  assert(instance.taken() <= instance.ceiling());
}

} // namespace banyanrill::routing
