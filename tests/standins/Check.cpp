#include "Check.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace banyanrill::standins {

namespace {

using nlohmann::json;

/// An instance that leaves gets no new work after this time (invariant I6).
constexpr std::int64_t LeavingLimitUs = 3'000'000;

/// Calls `use` with every line; the last one may be incomplete.
template <typename Use> void forEachLine(std::istream &input, Use use) {
  std::int64_t number = 0;
  for (std::string text; std::getline(input, text);) {
    ++number;
    json line = json::parse(text, nullptr, false);
    if (line.is_object()) {
      use(line);
      continue;
    }
    if (input.peek() != std::istream::traits_type::eof())
      throw std::runtime_error("line " + std::to_string(number) + ": must be a JSON object");
  }
}

std::string textOf(const json &line, const char *name) {
  const auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

bool Summary::hasFault() const {
  return this->doubled != 0 || this->lost != 0 || this->falseDidNotRun != 0 ||
         this->twoPlaces != 0 || this->overMeans != 0 || this->overSlots != 0 ||
         this->wrongAnswers != 0 || this->afterLeaving != 0 || this->interrupted != 0;
}

json Summary::toJson() const {
  return {{"sent", this->sent},
          {"accepted", this->accepted},
          {"answered_once", this->answeredOnce},
          {"refused", this->refused},
          {"doubled", this->doubled},
          {"lost", this->lost},
          {"false_did_not_run", this->falseDidNotRun},
          {"two_places", this->twoPlaces},
          {"over_means", this->overMeans},
          {"over_slots", this->overSlots},
          {"wrong_answers", this->wrongAnswers},
          {"after_leaving", this->afterLeaving},
          {"interrupted", this->interrupted}};
}

void Check::addJournal(std::istream &journal) {
  // Runs that have not ended, by task and worker with attempt: index into `runsByTask`.
  std::map<std::pair<std::string, std::string>, std::size_t> open;
  std::map<std::string, std::int64_t> leaving; // Time of DELETE by instance.
  std::int64_t latest = 0;
  const auto closeAll = [&] {
    for (const auto &[key, index] : open)
      this->runsByTask[key.first][index].to = latest;
    open.clear();
  };
  forEachLine(journal, [&](const json &line) {
    // The tasks of a process that was killed ended with it.
    if (textOf(line, "event") == "cell_start") {
      closeAll();
      leaving.clear();
    }
    this->addLine(line, open, leaving);
    latest = std::max(latest, line.value("t_us", std::int64_t{0}));
  });
  closeAll();
}

void Check::addLine(const json &line,
                    std::map<std::pair<std::string, std::string>, std::size_t> &open,
                    std::map<std::string, std::int64_t> &leaving) {
  const std::string event = textOf(line, "event");
  if (event == "request_start") {
    ++this->executionsByKey[textOf(line, "key")];
    this->executedRequests.insert(textOf(line, "request_id"));
    const auto left = leaving.find(textOf(line, "upstream"));
    if (left != leaving.end() &&
        line.at("t_us").get<std::int64_t>() > left->second + LeavingLimitUs)
      ++this->afterLeaving;
  } else if (event == "upstream_leaving") {
    leaving.emplace(textOf(line, "upstream"), line.at("t_us").get<std::int64_t>());
  } else if (event == "over") {
    ++(textOf(line, "kind") == "upstream" ? this->overSlots : this->overMeans);
  } else if (event == "job_finished") {
    for (const json &task : line.at("tasks"))
      this->tasksOfFinishedJobs.insert(task.get<std::string>());
  } else if (event == "task_start" || event == "task_end") {
    const std::string task = textOf(line, "task");
    const std::string worker = textOf(line, "worker");
    const std::pair key(task, worker + "#" + std::to_string(line.at("attempt").get<int>()));
    const auto now = line.at("t_us").get<std::int64_t>();
    std::vector<Run> &runs = this->runsByTask[task];
    if (event == "task_start") {
      open[key] = runs.size();
      runs.push_back({worker, now, std::numeric_limits<std::int64_t>::max()});
    } else if (const auto run = open.find(key); run != open.end()) {
      runs[run->second].to = now;
      open.erase(run);
    }
  }
}

void Check::addRequests(std::istream &requests) {
  forEachLine(requests, [&](const json &line) {
    Sent request;
    request.key = textOf(line, "key");
    request.requestId = textOf(line, "request_id");
    request.verdict = textOf(line, "verdict");
    request.repeatable = line.value("repeatable", true);
    request.interrupted = line.value("planned", false) && line.value("status", 0) == 0 &&
                          request.verdict != "not-sent";
    const auto own = line.find("own");
    if (own != line.end() && own->is_boolean()) {
      request.ownAnswer = own->get<bool>();
      request.wrongAnswer = !request.ownAnswer;
    }
    this->sent.push_back(std::move(request));
  });
}

Summary Check::judge() const {
  Summary summary;
  summary.overMeans = this->overMeans;
  summary.overSlots = this->overSlots;
  summary.afterLeaving = this->afterLeaving;
  this->judgeRequests(summary);
  this->judgeTasks(summary);
  return summary;
}

void Check::judgeRequests(Summary &summary) const {
  struct Key {
    bool repeatable = true;
    bool answered = false;
    bool toldRan = false;
    bool mayHaveRun = false; ///< Some request of this key may account for an execution.
    bool didNotRun = false;  ///< Refused so, without a request identifier.
  };
  std::map<std::string, Key> keys;
  for (const Sent &request : this->sent) {
    ++summary.sent;
    Key &key = keys[request.key];
    key.repeatable = key.repeatable && request.repeatable;
    key.answered = key.answered || request.ownAnswer;
    if (request.verdict == "ran") {
      ++summary.accepted;
      key.toldRan = true;
    } else {
      ++summary.refused[request.verdict.empty() ? "none" : request.verdict];
    }
    summary.wrongAnswers += request.wrongAnswer ? 1 : 0;
    summary.interrupted += request.interrupted ? 1 : 0;
    if (request.verdict != "did-not-run")
      key.mayHaveRun = true;
    else if (request.requestId.empty())
      key.didNotRun = true;
    else
      summary.falseDidNotRun +=
          static_cast<std::int64_t>(this->executedRequests.count(request.requestId));
  }
  for (const auto &[name, key] : keys) {
    const auto found = this->executionsByKey.find(name);
    const std::int64_t executions = found == this->executionsByKey.end() ? 0 : found->second;
    summary.answeredOnce += key.answered && executions == 1 ? 1 : 0;
    summary.doubled += !key.repeatable && executions > 1 ? 1 : 0;
    summary.lost += (key.answered || key.toldRan) && executions == 0 ? 1 : 0;
    summary.falseDidNotRun += key.didNotRun && !key.mayHaveRun && executions > 0 ? 1 : 0;
  }
}

void Check::judgeTasks(Summary &summary) const {
  for (const std::string &task : this->tasksOfFinishedJobs)
    summary.lost += this->runsByTask.count(task) == 0 ? 1 : 0;
  for (const auto &[task, unsorted] : this->runsByTask) {
    std::vector<Run> runs = unsorted;
    std::sort(runs.begin(), runs.end(), [](const Run &a, const Run &b) { return a.from < b.from; });
    const auto overlaps = [](const Run &a, const Run &b) {
      return a.worker != b.worker && b.from < a.to && a.from < b.to;
    };
    bool twice = false;
    for (std::size_t i = 0; i < runs.size(); ++i)
      for (std::size_t j = i + 1; j < runs.size() && runs[j].from < runs[i].to; ++j)
        twice = twice || overlaps(runs[i], runs[j]);
    summary.twoPlaces += twice ? 1 : 0;
  }
}

} // namespace banyanrill::standins
