#include "Scenario.h"

#include "Network.h"

#include <algorithm>
#include <stdexcept>

namespace banyanrill::consensus::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Faults randomFaults(base::RandomSource &random) {
  const std::uint64_t level = random.below(4);
  return {random.below(level * 8 + 1), random.below(level * 8 + 1), random.below(level * 4 + 1),
          random.below(2) == 0 ? 20U : 200U, random.below(level * 15 + 1)};
}

// A narrow election timeout lets candidates compete in one term; single entries in flight widen the
// window in which only a part of a leader's log is replicated.
ReplicaOptions randomOptions(base::RandomSource &random) {
  ReplicaOptions options = smallOptions();
  options.electionTimeoutMax = milliseconds(1050 + 950 * random.below(2));
  if (random.below(2) == 0) {
    options.firstElectionTimeoutMin = milliseconds(100);
    options.firstElectionTimeoutMax = milliseconds(150);
  }
  if (random.below(2) == 0) {
    options.maxEntriesPerAppend = 1;
    options.maxInFlightAppends = 1;
  }
  return options;
}

class Scenario {
public:
  explicit Scenario(std::uint64_t seed)
      : random(seed), network(seed, static_cast<ReplicaId>(3 + seed % 3),
                              randomFaults(this->random), randomOptions(this->random)) {}

  void run() {
    for (int i = 0; i < 100; ++i) {
      this->act();
      this->network.run(milliseconds(this->random.below(400)));
    }
    this->recover();
  }

private:
  ReplicaId anyNode() {
    auto found = this->network.nodes.begin();
    std::advance(found, this->random.below(this->network.nodes.size()));
    return found->first;
  }

  ReplicaId anyLeader() {
    const ReplicaId id = this->anyNode();
    // A leader that was replaced may not know it, so all that believe to lead are tried.
    const Node &node = this->network.nodes.at(id);
    return node.replica && !node.paused && node.replica->role() == Role::Leader
               ? id
               : this->network.leader();
  }

  void act() {
    const ReplicaId id = this->anyNode();
    Node &node = this->network.nodes.at(id);
    const bool running = node.replica && !node.paused;
    const ReplicaId leading = this->anyLeader();
    switch (this->random.below(22)) {
    case 0:
      if (node.replica && this->random.below(2) == 0) {
        this->network.crash(id);
      }
      break;
    case 1:
      this->restartAll();
      break;
    case 2:
      for (auto &[other, paused] : this->network.nodes) {
        paused.paused = false;
      }
      break;
    case 3:
      node.paused = node.replica.has_value();
      break;
    case 13:
      this->crashVoter();
      break;
    case 14:
      this->failLeaders();
      break;
    case 4:
      this->network.block(id, this->anyNode());
      break;
    case 5:
      if (this->random.below(2) == 0) {
        this->network.isolate(id);
      }
      break;
    case 6:
    case 7:
      this->network.unblockAll();
      break;
    case 8:
      if (running) {
        this->network.compact(id);
      }
      break;
    case 9:
      this->loseDisk(id);
      break;
    case 10:
      if (leading != base::NoDaemon && this->random.below(3) == 0) {
        this->network.transfer(leading);
      }
      break;
    case 11:
    case 12:
      this->replace(leading);
      break;
    default:
      for (std::uint64_t i = this->random.below(6); leading != base::NoDaemon && i > 0; --i) {
        this->network.propose(leading);
        this->network.read(leading);
      }
    }
  }

  // A vote is at risk exactly while it is written.
  void crashVoter() {
    for (int i = 0; i < 60; ++i) {
      const ReplicaId id = this->anyNode();
      const Node &node = this->network.nodes.at(id);
      if (node.write && node.write->hardState && id != this->lost) {
        this->network.crash(id);
        this->network.restart(id);
      }
      this->network.run(milliseconds(this->random.below(50)));
    }
  }

  // Leaders that fail in the middle of replication leave different entries on different replicas.
  void failLeaders() {
    ReplicaId previous = base::NoDaemon;
    for (int i = 0; i < 100; ++i) {
      this->network.run(milliseconds(this->random.below(100)));
      const ReplicaId leading = this->network.leader();
      if (leading == base::NoDaemon || leading == this->lost) {
        continue;
      }
      for (std::uint64_t count = this->random.below(4); count > 0; --count) {
        this->network.propose(leading);
      }
      this->network.run(milliseconds(this->random.below(200)));
      this->network.crash(leading);
      if (previous != base::NoDaemon) {
        this->network.restart(previous);
      }
      previous = leading;
    }
  }

  void restartAll() {
    for (const auto &[id, node] : this->network.nodes) {
      if (id != this->lost) {
        this->network.restart(id);
      }
    }
  }

  // One loss at a time: losing a majority of the disks may lose commits in any protocol.
  void loseDisk(ReplicaId id) {
    if (this->lost != base::NoDaemon || this->random.below(2) != 0) {
      return;
    }
    this->network.crash(id);
    this->lost = id;
    this->replacement = this->network.addEmpty();
  }

  void replace(ReplicaId leading) {
    if (this->lost == base::NoDaemon || leading == base::NoDaemon) {
      return;
    }
    Membership next = this->network.at(leading).membership();
    const auto has = [](const std::vector<ReplicaId> &ids, ReplicaId id) {
      return std::find(ids.begin(), ids.end(), id) != ids.end();
    };
    if (has(next.learners, this->replacement)) {
      std::erase(next.learners, this->replacement);
      next.voters.push_back(this->replacement);
    } else if (!has(next.voters, this->replacement)) {
      next.learners.push_back(this->replacement);
    } else if (has(next.voters, this->lost)) {
      std::erase(next.voters, this->lost);
    } else if (this->isReplacementCommitted(next)) {
      this->network.nodes.erase(this->lost);
      this->lost = base::NoDaemon;
      return;
    }
    this->network.changeMembership(leading, next);
  }

  // The last committed membership entry must be the one seen at the leader.
  bool isReplacementCommitted(const Membership &membership) const {
    const Index last = this->network.checker.committed();
    for (Index index = last; index > 0; --index) {
      const Entry &entry = this->network.checker.at(index);
      if (entry.kind != EntryKind::Membership) {
        continue;
      }
      std::string expected;
      for (const ReplicaId id : membership.voters) {
        expected += (expected.empty() ? "" : ",") + std::to_string(id);
      }
      return entry.payload == expected + ";";
    }
    return false;
  }

  void recover() {
    this->network.heal(this->lost == base::NoDaemon ? std::set<ReplicaId>{}
                                                    : std::set<ReplicaId>{this->lost});
    for (int i = 0; i < 60; ++i) {
      this->network.run(seconds(1));
      const ReplicaId leading = this->network.leader();
      this->replace(leading);
      if (leading != base::NoDaemon && this->lost == base::NoDaemon &&
          this->network.propose(leading) == ProposeResult::Accepted && this->isConverged()) {
        return;
      }
    }
    throw std::runtime_error("the group did not recover within a minute");
  }

  bool isConverged() {
    this->network.run(milliseconds(900));
    const Index committed = this->network.checker.committed();
    return std::all_of(this->network.nodes.begin(), this->network.nodes.end(),
                       [committed](const auto &node) { return node.second.applied == committed; });
  }

  base::RandomSource random;
  Network network;
  ReplicaId lost = base::NoDaemon;
  ReplicaId replacement = base::NoDaemon;
};

} // namespace

void runScenario(std::uint64_t seed) { Scenario(seed).run(); }

} // namespace banyanrill::consensus::testing
