#include "banyanrill/base/EventLog.h"

#include "BoundedOutput.h"

#include <array>
#include <atomic>
#include <cassert>
#include <cstdio>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace banyanrill::base {

namespace {

constexpr auto Catalogue = std::to_array<EventDefinition>({
    {1001, Severity::Info, "daemon_started", "The daemon has read its settings and accepts work."},
    {1002, Severity::Info, "daemon_stopping", "A graceful stop has begun."},
    {1003, Severity::Info, "daemon_stopped", "The daemon has finished its work and exits."},
    {1004, Severity::Error, "settings_file_rejected", "The settings file breaks a rule."},
    {1005, Severity::Warning, "machine_was_suspended", "The machine stood still for some time."},
    {1006, Severity::Info, "settings_reloaded", "Changed settings are in force."},
    {1007, Severity::Warning, "log_lines_dropped", "Log lines were dropped to keep the limit."},
    {1008, Severity::Info, "leader_known",
     "This daemon knows the leader and passes requests to it."},
    {1009, Severity::Warning, "leader_unknown", "This daemon knows no leader that answers."},
    {1010, Severity::Warning, "outage_began",
     "No leader was heard for longer than an election takes; submissions, job requests and reports "
     "that cannot be served in time are refused."},
    {1011, Severity::Info, "outage_ended", "A leader was heard again; requests are served."},
    {2001, Severity::Info, "became_leader", "This replica was elected leader."},
    {2002, Severity::Info, "lost_leadership", "This replica is no longer the leader."},
    {2003, Severity::Error, "storage_failed",
     "The data folder refuses writes; the replica steps aside until it is open again."},
    {2004, Severity::Warning, "log_tail_repaired", "An incomplete record was cut off the log."},
    {2005, Severity::Info, "membership_proposed", "The leader changes the members of the group."},
    {2006, Severity::Info, "group_founded", "The first members of the group agreed on themselves."},
    {2007, Severity::Warning, "leader_was_paused",
     "The leader stood still; it gives no orders until a majority confirms it."},
    {2008, Severity::Info, "storage_reopened",
     "The data folder takes writes again; the replica takes part again."},
    {2009, Severity::Warning, "snapshot_skipped",
     "The disk is behind; the log is not shortened this time."},
    {2010, Severity::Warning, "removal_failed",
     "An obsolete file could not be removed; it is tried again later."},
    {2011, Severity::Info, "replica_started", "A replica starts from what its disk holds."},
    {2012, Severity::Info, "membership_in_force",
     "The members of the group, as this replica has them."},
    {2013, Severity::Warning, "no_majority_heard",
     "This replica knows no leader and has not heard from a majority lately."},
    {2014, Severity::Info, "member_lags",
     "A member of the group lacks much of the log, and how far it has got."},
    {2015, Severity::Info, "snapshot_taken", "A snapshot shortens the log of this replica."},
    {3001, Severity::Info, "owner_assigned", "The leader named the owner of a worker."},
    {3002, Severity::Info, "worker_adopted", "This daemon is now the owner of a worker."},
    {3003, Severity::Warning, "worker_grant_expired", "A worker stopped polling its owner."},
    {3004, Severity::Warning, "worker_lost", "The tasks of a silent worker are given up."},
    {3005, Severity::Info, "worker_registered", "A worker's report changed what is known of it."},
    {3006, Severity::Warning, "worker_removed", "A worker has gone; its runs are placed again."},
    {3007, Severity::Warning, "worker_not_held", "A worker did not renew its lease."},
    {3008, Severity::Warning, "worker_report_ignored",
     "A report contradicts what is known, or names no service in use; nothing changes."},
    {3009, Severity::Info, "worker_restarted", "A worker answered in another life than before."},
    {3010, Severity::Info, "worker_session_began",
     "The leader begins to give a worker orders under this fencing token."},
    {3011, Severity::Info, "worker_doubted",
     "A report contradicts what is known of a worker; the worker itself is asked."},
    {3012, Severity::Info, "worker_restart_seen",
     "A worker's answer shows that it has restarted under its identifier."},
    {3013, Severity::Warning, "worker_fell_silent",
     "A worker does not answer the leader any more."},
    {3014, Severity::Warning, "worker_removal_decided",
     "The leader gives a worker up, and why nothing can run there any more."},
    {3101, Severity::Info, "upstream_announced", "A new upstream instance announced itself."},
    {3102, Severity::Info, "upstream_left", "An upstream instance left or fell silent."},
    {3201, Severity::Info, "job_accepted", "A job was accepted."},
    {3202, Severity::Info, "job_ended", "A job ended, with the reason."},
    {3203, Severity::Debug, "task_started", "A worker confirmed the start of a task."},
    {3204, Severity::Debug, "task_ended", "A task ended, with its outcome."},
    {3205, Severity::Info, "run_ordered",
     "A worker answered the order to start a run, or did not."},
    {3206, Severity::Info, "run_stop_ordered",
     "A worker answered the order to stop a run, or did not."},
    {3207, Severity::Info, "run_ended", "The end of a run is recorded."},
    {3208, Severity::Info, "run_released", "A run certainly does not exist; its task waits again."},
    {3209, Severity::Info, "run_release_decided",
     "The leader concludes that a run does not exist, and from what."},
    {3301, Severity::Info, "advice_answered",
     "The advisory service named workers for a step, or failed."},
    {3302, Severity::Info, "gang_decided", "A gang was placed, or waits, and what it waits for."},
    {3303, Severity::Info, "cell_load", "How full the workers are, and what waits for them."},
    {3304, Severity::Info, "placement_waited",
     "A step was held back for a place near its data or on one rack."},
    {3305, Severity::Warning, "load_refusals",
     "Jobs were refused in the last second, and the load that they would have waited for."},
    {3306, Severity::Info, "workspace_at_limit",
     "Starts of a workspace wait for room under its limit, or do not any more."},
    {3307, Severity::Warning, "workspace_limit_lowered",
     "A configuration has set a workspace's limit below what it runs; nothing is stopped."},
    {4001, Severity::Info, "setting_changed", "A change of settings was applied."},
    {4002, Severity::Info, "configuration_in_force", "A configuration is in force."},
    {4101, Severity::Info, "key_withdrawn",
     "A key no longer stands for its workspace; the digest tells which."},
    {5001, Severity::Info, "request_refused", "A caller's request was refused, with the verdict."},
    {5002, Severity::Info, "request_answered", "A request was answered, with its outcome."},
    {5003, Severity::Warning, "receive_limit_reached",
     "Clients hold as much as a listener may; requests are refused and connections closed."},
    {5101, Severity::Warning, "callers_refused",
     "The leader refused callers for their keys: why, and how many since the last line."},
    {6001, Severity::Error, "http_loop_failed", "The HTTP server could not start or failed."},
    {6002, Severity::Warning, "peer_message_rejected", "A message from a peer was not valid."},
    {6003, Severity::Error, "event_handler_failed",
     "One event ended with an unexpected error; the process goes on."},
});

constexpr const char *RunLoggerName = "banyanrill.runs";

/// Whether the lines go to the bounded output.
std::atomic<bool> isBounded = false;

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr Instance = log4cxx::Logger::getLogger("banyanrill");
  return Instance;
}

/// For the events of single runs, which are dropped first when there are too many lines.
log4cxx::LoggerPtr runLogger() {
  static const log4cxx::LoggerPtr Instance = log4cxx::Logger::getLogger(RunLoggerName);
  return Instance;
}

bool isFrequent(Event event) {
  return event == Event::RunOrdered || event == Event::RunStopOrdered || event == Event::RunEnded ||
         event == Event::RunReleased || event == Event::RunReleaseDecided ||
         event == Event::AdviceAnswered || event == Event::WorkerReportIgnored;
}

log4cxx::LevelPtr levelOf(Severity severity) {
  switch (severity) {
  case Severity::Debug:
    return log4cxx::Level::getDebug();
  case Severity::Info:
    return log4cxx::Level::getInfo();
  case Severity::Warning:
    return log4cxx::Level::getWarn();
  case Severity::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

void appendQuoted(std::string &out, std::string_view text) {
  out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
      continue;
    }
    if (static_cast<unsigned char>(c) < 0x20) {
      std::array<char, 8> escaped{};
      std::snprintf(escaped.data(), escaped.size(), "\\u%04x", static_cast<unsigned>(c));
      out += escaped.data();
      continue;
    }
    out += c;
  }
  out += '"';
}

BoundedOutput &standardOutput() {
  static BoundedOutput output(STDOUT_FILENO);
  return output;
}

/// Passes formatted lines to the bounded output.
class BoundedAppender : public log4cxx::AppenderSkeleton {
public:
  explicit BoundedAppender(const log4cxx::LayoutPtr &lineLayout)
      : log4cxx::AppenderSkeleton(lineLayout), lines(lineLayout) {}

  void close() override { standardOutput().flush(); }
  bool requiresLayout() const override { return true; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override {
    log4cxx::LogString text;
    this->lines->format(text, event, pool);
    LOG4CXX_ENCODE_CHAR(line, text);
    standardOutput().add(line, event->getLoggerName() == RunLoggerName ? LineKind::Frequent
                                                                       : LineKind::Rare);
  }

private:
  const log4cxx::LayoutPtr lines;
};

const EventDefinition &definitionOf(Event event) {
  for (const EventDefinition &definition : Catalogue) {
    if (definition.number == static_cast<std::uint32_t>(event))
      return definition;
  }
  assert(false && "event is missing from the catalogue");
  return Catalogue.front();
}

} // namespace

std::span<const EventDefinition> eventCatalogue() { return Catalogue; }

void initializeEventLog(std::string_view daemonName, Severity minimum, LogTarget target) {
  std::string pattern = "{\"time\":\"%d{ISO8601}\",\"daemon\":";
  appendQuoted(pattern, daemonName);
  pattern += ",%m}%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  logger()->setAdditivity(false);
  logger()->removeAllAppenders();
  isBounded.store(target == LogTarget::StandardOutput);
  if (target == LogTarget::StandardOutput)
    logger()->addAppender(std::make_shared<BoundedAppender>(layout));
  else
    logger()->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr()));
  logger()->setLevel(levelOf(minimum));
}

void logEvent(Event event, std::initializer_list<EventField> fields) {
  logEvent(event, std::span<const EventField>(fields.begin(), fields.size()));
}

void flushEventLog() { standardOutput().flush(); }

std::uint64_t droppedLogLines() { return standardOutput().dropped(); }

void logEvent(Event event, std::span<const EventField> fields) {
  const EventDefinition &definition = definitionOf(event);
  const log4cxx::LevelPtr level = levelOf(definition.severity);
  if (!logger()->isEnabledFor(level))
    return;
  // Formatting costs far more than this check, and most of these lines are dropped at peak load.
  if (isFrequent(event) && isBounded.load() && !standardOutput().accepts(LineKind::Frequent))
    return;
  std::string line = "\"event\":" + std::to_string(definition.number) + ",\"name\":";
  appendQuoted(line, definition.name);
  for (const EventField &field : fields) {
    line += ',';
    appendQuoted(line, field.key);
    line += ':';
    appendQuoted(line, field.value);
  }
  (isFrequent(event) ? runLogger() : logger())->log(level, line);
}

} // namespace banyanrill::base
