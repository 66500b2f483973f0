#include "ReportCommands.h"

#include <ostream>

namespace banyanrill::cli {

namespace {

using nlohmann::json;

/// How long a server may hold a request for changes. Short enough that a server that stops as
/// planned does not wait long for it.
constexpr std::chrono::milliseconds WatchInterval = std::chrono::seconds(5);

Reply fetchAudit(CommandContext &context, const std::string &path, std::uint64_t limit) {
  Query query = {{"limit", std::to_string(limit)}};
  if (!path.empty())
    query.emplace_back("path", path);
  return context.session.get("/v1/audit", query);
}

void writeRecords(CommandContext &context, const json &records) {
  if (context.format == Format::Json)
    context.streams.out << json({{"records", records}}).dump(2) << '\n';
  else
    writeTable(context.streams.out, records,
               {"revision", "time_ms", "author", "change_id", "path", "before", "after"});
}

void writeChange(CommandContext &context, const json &change) {
  if (context.format == Format::Json)
    context.streams.out << change.dump() << '\n';
  else
    context.streams.out << change.value("revision", json()).dump() << "  "
                        << change.value("path", "") << "  "
                        << (change.value("value", json()).is_null()
                                ? "(deleted)"
                                : change.value("value", json()).dump())
                        << '\n';
  context.streams.out.flush();
}

} // namespace

ExitCode runAudit(CommandContext &context, const std::string &path, std::uint64_t limit) {
  const Reply reply = fetchAudit(context, path, limit);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  writeRecords(context, reply.body.value("records", json::array()));
  return ExitOk;
}

ExitCode runHistory(CommandContext &context, const std::string &path, std::uint64_t limit) {
  const Reply reply = fetchAudit(context, path, limit);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  // The server also lists the paths below.
  json records = json::array();
  for (const json &record : reply.body.value("records", json::array())) {
    if (record.value("path", "") == path)
      records.push_back(record);
  }
  writeRecords(context, records);
  return ExitOk;
}

ExitCode runWatch(CommandContext &context, const std::string &prefix,
                  std::optional<std::uint64_t> from, std::uint64_t limit) {
  if (!from) {
    const Reply reply = context.session.get("/v1/settings" + prefix, {{"recursive", "1"}});
    if (reply.code != ExitOk)
      return context.session.report(reply);
    from = reply.body.value("revision", std::uint64_t(0));
  }
  std::uint64_t printed = 0;
  while (true) {
    const Reply reply = context.session.get("/v1/changes",
                                            {{"from", std::to_string(*from)},
                                             {"prefix", prefix},
                                             {"wait_ms", std::to_string(WatchInterval.count())}},
                                            WatchInterval);
    if (reply.code != ExitOk)
      return context.session.report(reply);
    for (const json &change : reply.body.value("changes", json::array())) {
      writeChange(context, change);
      if (++printed == limit)
        return ExitOk;
    }
    // A server that lags behind the one asked before answers with an older revision.
    from = std::max(*from, reply.body.value("revision", std::uint64_t(0)));
  }
}

ExitCode runShow(CommandContext &context, const std::string &path, const Query &query) {
  const Reply reply = context.session.get(path, query);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  if (context.format == Format::Json)
    context.streams.out << reply.body.dump(2) << '\n';
  else
    writeObject(context.streams.out, reply.body);
  return ExitOk;
}

} // namespace banyanrill::cli
