#include "banyanrill/jobs/Api.h"

#include <algorithm>
#include <array>

namespace banyanrill::jobs {

namespace {

struct SubjectVisitor {
  std::string operator()(const SubmitRequest &request) const { return request.path; }
  std::string operator()(const StateRequest &request) const { return request.path; }
  std::string operator()(const CancelRequest &request) const { return request.path; }
  std::string operator()(const ConfigureRequest &request) const {
    return std::to_string(request.configuration.version);
  }
  std::string operator()(const ReadConfigurationRequest & /*request*/) const { return {}; }
  std::string operator()(const WorkerReport &request) const {
    return request.profile.incarnation.id;
  }
  std::string operator()(const DeregisterRequest &request) const { return request.worker; }
  std::string operator()(const WaveRequest &request) const {
    return std::to_string(request.wave.number);
  }
  std::string operator()(const WaveStateRequest &request) const {
    return std::to_string(request.wave);
  }
};

template <std::size_t Size, typename Enum>
std::string_view nameIn(const std::array<std::string_view, Size> &names, Enum value) {
  const auto index = static_cast<std::size_t>(value);
  return index < Size ? names[index] : std::string_view("unknown");
}

} // namespace

bool isIdentifier(std::string_view text, std::size_t maxBytes) {
  return !text.empty() && text.size() <= maxBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character <= '~' && character != '/';
         });
}

std::string subjectOf(const Request &request) { return std::visit(SubjectVisitor(), request); }

std::string_view nameOf(const Request &request) {
  static constexpr std::array<std::string_view, 9> Names = {
      "submit_job",    "read_state",    "cancel_job", "put_configuration", "read_configuration",
      "worker_report", "worker_leaves", "start_wave", "read_wave"};
  return nameIn(Names, request.index());
}

std::string_view nameOf(ReplyCode code) {
  static constexpr std::array<std::string_view, 11> Names = {
      "done",     "invalid",    "no_such_queue", "no_such_job", "busy",       "unavailable",
      "in_doubt", "ask_leader", "unauthorized",  "forbidden",   "unconfirmed"};
  return nameIn(Names, code);
}

std::string_view nameOf(JobPhase phase) {
  static constexpr std::array<std::string_view, 4> Names = {"active", "succeeded", "failed",
                                                            "cancelled"};
  return nameIn(Names, phase);
}

std::string_view nameOf(EndKind kind) {
  static constexpr std::array<std::string_view, 6> Names = {
      "succeeded", "failed", "stopped", "lapsed", "gang_broken", "gang_alone"};
  return nameIn(Names, kind);
}

} // namespace banyanrill::jobs
