// Compares what callers were told with what workers and upstream instances did.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace banyanrill::standins {

/// Counts; all from `doubled` on are faults of the system under test.
struct Summary {
  std::int64_t sent = 0;
  std::int64_t accepted = 0;     ///< Answered by an upstream (verdict "ran").
  std::int64_t answeredOnce = 0; ///< Keys with an own answer and exactly one execution.
  std::map<std::string, std::int64_t> refused; ///< By verdict; "none" if there was no answer.
  std::int64_t doubled = 0;
  std::int64_t lost = 0;
  std::int64_t falseDidNotRun = 0;
  std::int64_t twoPlaces = 0;
  std::int64_t overMeans = 0;
  std::int64_t overSlots = 0;
  std::int64_t wrongAnswers = 0;
  std::int64_t afterLeaving = 0; ///< Requests that reached an instance later than 3 s after DELETE.
  std::int64_t interrupted = 0;  ///< Connections that ended without an answer in a planned phase.

  bool hasFault() const;
  nlohmann::json toJson() const;
};

/// Collects journals and request files, in any order. Not thread-safe.
class Check {
public:
  /// Reads one journal. A line that a killed process left incomplete at the end is ignored; any
  /// other malformed line throws std::runtime_error.
  void addJournal(std::istream &journal);

  /// Reads one file of standin_callers, by the same rule.
  void addRequests(std::istream &requests);

  Summary judge() const;

private:
  struct Run {
    std::string worker;
    std::int64_t from = 0;
    std::int64_t to = 0;
  };

  struct Sent {
    std::string key;
    std::string requestId;
    std::string verdict;
    bool repeatable = true;
    bool ownAnswer = false;
    bool wrongAnswer = false;
    bool interrupted = false;
  };

  void addLine(const nlohmann::json &line,
               std::map<std::pair<std::string, std::string>, std::size_t> &open,
               std::map<std::string, std::int64_t> &leaving);
  void judgeRequests(Summary &summary) const;
  void judgeTasks(Summary &summary) const;

  std::map<std::string, std::int64_t> executionsByKey;
  std::set<std::string> executedRequests;
  std::map<std::string, std::vector<Run>> runsByTask;
  std::set<std::string> tasksOfFinishedJobs;
  std::int64_t overMeans = 0;
  std::int64_t overSlots = 0;
  std::int64_t afterLeaving = 0;
  std::vector<Sent> sent;
};

} // namespace banyanrill::standins
