#include "SettingsCommands.h"

#include <fstream>
#include <iterator>
#include <ostream>
#include <random>

namespace banyanrill::cli {

namespace {

using nlohmann::json;

/// Most records that are searched for an older version of a path; the servers keep 16,384.
constexpr int AuditSearchLimit = 16384;

/// Below it, the setting of each worker.
constexpr const char *WorkerPrefix = "/cell/workers/";

std::string makeChangeId() {
  static constexpr char Digits[] = "0123456789abcdef";
  std::random_device source;
  std::string text;
  for (int word = 0; word < 4; ++word) {
    const std::uint32_t bits = source();
    for (int shift = 28; shift >= 0; shift -= 4)
      text += Digits[(bits >> shift) & 15];
  }
  return text;
}

bool isPath(const std::string &text) { return !text.empty() && text.front() == '/'; }

ExitCode failPath(CommandContext &context, const std::string &path) {
  return context.session.fail(ExitUsage, "\"" + path + "\": a path starts with a slash");
}

/// Reads "-", or a file; empty if the file cannot be read.
std::optional<std::string> readSource(CommandContext &context, const std::string &name) {
  if (name == "-")
    return std::string(std::istreambuf_iterator<char>(context.streams.in), {});
  std::ifstream file(name, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Reports a fault and returns empty if the text is not JSON.
std::optional<json> parse(CommandContext &context, const std::string &name,
                          const std::optional<std::string> &text) {
  if (!text) {
    context.session.fail(ExitUsage, name + ": the file cannot be read");
    return std::nullopt;
  }
  try {
    return json::parse(*text);
  } catch (const json::parse_error &error) {
    context.session.fail(ExitUsage, name + ": " + error.what());
    return std::nullopt;
  }
}

std::optional<json> parseValue(CommandContext &context, const std::string &value) {
  if (value == "-")
    return parse(context, "standard input", readSource(context, value));
  if (!value.empty() && value.front() == '@')
    return parse(context, value.substr(1), readSource(context, value.substr(1)));
  return parse(context, "value", value);
}

Reply fetch(CommandContext &context, const std::string &path, bool recursive) {
  return context.session.get("/v1/settings" + path,
                             recursive ? Query{{"recursive", "1"}} : Query{});
}

/// The current value of exactly this path; null if there is none. `reply` gets any failure.
json fetchOne(CommandContext &context, const std::string &path, Reply &reply) {
  constexpr int NotFound = 404;
  reply = fetch(context, path, false);
  if (reply.status == NotFound) {
    reply.code = ExitOk;
    return nullptr;
  }
  if (reply.code != ExitOk)
    return nullptr;
  for (const json &entry : reply.body.value("values", json::array())) {
    if (entry.value("path", "") == path)
      return entry;
  }
  return nullptr;
}

json makeEdit(const std::string &path, const json &value,
              std::optional<std::uint64_t> expectedVersion) {
  json edit = {{"path", path}, {"value", value}};
  if (expectedVersion)
    edit["if_version"] = *expectedVersion;
  return edit;
}

ExitCode send(CommandContext &context, const json &edits, const ChangeOptions &options) {
  const std::string changeId = options.changeId.empty() ? makeChangeId() : options.changeId;
  const Reply reply = context.session.postChange(
      {{"change_id", changeId}, {"dry_run", options.dryRun}, {"edits", edits}});
  if (reply.code == ExitUnknownOutcome)
    context.streams.err << "change-id: " << changeId << '\n';
  if (reply.code != ExitOk)
    return context.session.report(reply);
  if (context.format == Format::Json)
    context.streams.out << reply.body.dump() << '\n';
  else
    context.streams.out << (options.dryRun ? "accepted (dry run), revision " : "revision ")
                        << reply.body.value("revision", json()).dump() << '\n';
  return ExitOk;
}

} // namespace

ExitCode runGet(CommandContext &context, const std::string &path, bool recursive) {
  if (!isPath(path))
    return failPath(context, path);
  const Reply reply = fetch(context, path, recursive);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  if (context.format == Format::Json)
    context.streams.out << reply.body.dump(2) << '\n';
  else
    writeTable(context.streams.out, reply.body.value("values", json::array()),
               {"path", "version", "value"});
  return ExitOk;
}

ExitCode runSet(CommandContext &context, const std::string &path, const std::string &value,
                const ChangeOptions &options) {
  if (!isPath(path))
    return failPath(context, path);
  const std::optional<json> parsed = parseValue(context, value);
  if (!parsed)
    return ExitUsage;
  if (parsed->is_null())
    return context.session.fail(ExitUsage, "null is not a value; use delete");
  return send(context, json::array({makeEdit(path, *parsed, options.expectedVersion)}), options);
}

ExitCode runDelete(CommandContext &context, const std::string &path, const ChangeOptions &options) {
  if (!isPath(path))
    return failPath(context, path);
  return send(context, json::array({makeEdit(path, nullptr, options.expectedVersion)}), options);
}

ExitCode runApply(CommandContext &context, const std::string &file, const ChangeOptions &options) {
  const std::optional<json> parsed = parse(context, file, readSource(context, file));
  if (!parsed)
    return ExitUsage;
  if (!parsed->is_object() || parsed->empty())
    return context.session.fail(ExitUsage, file + ": must be one object of paths and values");
  json edits = json::array();
  for (const auto &[path, value] : parsed->items()) {
    if (!isPath(path))
      return failPath(context, path);
    edits.push_back(makeEdit(path, value, std::nullopt));
  }
  return send(context, edits, options);
}

ExitCode runExport(CommandContext &context, const std::string &prefix) {
  if (!isPath(prefix))
    return failPath(context, prefix);
  const Reply reply = fetch(context, prefix, true);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  const json exported = {{"prefix", prefix},
                         {"revision", reply.body.value("revision", json())},
                         {"values", reply.body.value("values", json::array())}};
  context.streams.out << exported.dump(2) << '\n';
  return ExitOk;
}

ExitCode runImport(CommandContext &context, const std::string &file, const ChangeOptions &options) {
  const std::optional<json> parsed = parse(context, file, readSource(context, file));
  if (!parsed)
    return ExitUsage;
  const json &content = *parsed;
  if (!content.is_object() || !content.value("prefix", json()).is_string() ||
      !content.value("values", json()).is_array())
    return context.session.fail(ExitUsage, file + ": is not an exported file");
  const Reply reply = fetch(context, content["prefix"].get<std::string>(), true);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  json current = json::object();
  for (const json &entry : reply.body.value("values", json::array()))
    current[entry.value("path", "")] = entry.value("value", json());

  json edits = json::array();
  for (const json &entry : content["values"]) {
    const json path = entry.is_object() ? entry.value("path", json()) : json();
    const json version = entry.is_object() ? entry.value("version", json(0U)) : json();
    if (!path.is_string() || !isPath(path.get<std::string>()) || !version.is_number_unsigned())
      return context.session.fail(ExitUsage, file + ": an entry has no valid path or version");
    const json value = entry.value("value", json());
    const std::string key = path.get<std::string>();
    if (current.value(key, json()) == value)
      continue;
    edits.push_back(makeEdit(key, value, version.get<std::uint64_t>()));
  }
  if (edits.empty()) {
    context.streams.err << "nothing to change\n";
    return ExitOk;
  }
  return send(context, edits, options);
}

ExitCode runDiff(CommandContext &context, const std::string &path, const std::string &value) {
  if (!isPath(path))
    return failPath(context, path);
  const std::optional<json> parsed = parseValue(context, value);
  if (!parsed)
    return ExitUsage;
  Reply reply;
  const json entry = fetchOne(context, path, reply);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  const json current = entry.is_object() ? entry.value("value", json()) : json();
  json patch = json::diff(current, *parsed);
  if (context.format == Format::Json) {
    context.streams.out << patch.dump(2) << '\n';
    return ExitOk;
  }
  for (json &step : patch) {
    const std::string where = step.value("path", "");
    if (step.value("op", "") != "add")
      step["current"] = current.at(json::json_pointer(where));
    step["member"] = where;
    step["new"] = step.value("value", json());
  }
  if (patch.empty())
    context.streams.out << "no difference\n";
  else
    writeTable(context.streams.out, patch, {"op", "member", "current", "new"});
  return ExitOk;
}

ExitCode runRollback(CommandContext &context, const std::string &path, std::uint64_t version,
                     const ChangeOptions &options) {
  if (!isPath(path))
    return failPath(context, path);
  const Reply audit = context.session.get(
      "/v1/audit", {{"path", path}, {"limit", std::to_string(AuditSearchLimit)}});
  if (audit.code != ExitOk)
    return context.session.report(audit);
  for (const json &record : audit.body.value("records", json::array())) {
    if (record.value("path", "") != path || record.value("revision", json()) != version)
      continue;
    ChangeOptions checked = options;
    if (!checked.expectedVersion) {
      Reply reply;
      const json entry = fetchOne(context, path, reply);
      if (reply.code != ExitOk)
        return context.session.report(reply);
      checked.expectedVersion =
          entry.is_object() ? entry.value("version", std::uint64_t(0)) : std::uint64_t(0);
    }
    return send(
        context,
        json::array({makeEdit(path, record.value("after", json()), checked.expectedVersion)}),
        checked);
  }
  return context.session.fail(ExitRefused, "version " + std::to_string(version) + " of " + path +
                                               " is not in the audit trail");
}

ExitCode runDrain(CommandContext &context, const std::string &worker, bool undo,
                  const ChangeOptions &options) {
  const std::string path = WorkerPrefix + worker;
  Reply reply;
  const json entry = fetchOne(context, path, reply);
  if (reply.code != ExitOk)
    return context.session.report(reply);
  json value = entry.is_object() ? entry.value("value", json::object()) : json::object();
  if (!value.is_object())
    value = json::object();
  if (undo)
    value.erase("draining");
  else
    value["draining"] = true;
  const std::uint64_t version =
      entry.is_object() ? entry.value("version", std::uint64_t(0)) : std::uint64_t(0);
  if (undo && version == 0) {
    context.streams.err << worker << " is not being drained\n";
    return ExitOk;
  }
  if (undo && value.empty())
    value = nullptr;
  return send(context, json::array({makeEdit(path, value, version)}), options);
}

} // namespace banyanrill::cli
