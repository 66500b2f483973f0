#include "banyanrill/cli/Program.h"

#include "ReportCommands.h"
#include "SettingsCommands.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <functional>
#include <iterator>
#include <ostream>

namespace banyanrill::cli {

namespace {

using Action = std::function<ExitCode(CommandContext &)>;

/// Values of all options. They must outlive the parser, which writes to them.
struct Arguments {
  std::vector<std::string> servers;
  std::string tokenFile;
  std::string authority;
  std::string output = "table";
  double timeoutSeconds = 10;

  std::string path;
  std::string value;
  std::string file;
  std::string job;
  std::string worker;
  std::string changeId;
  std::uint64_t expectedVersion = 0;
  std::uint64_t version = 0;
  std::uint64_t from = 0;
  std::uint64_t limit = 0;
  bool recursive = false;
  bool dryRun = false;
  bool undo = false;
  bool hasExpectedVersion = false;
  bool hasFrom = false;

  ChangeOptions change() const {
    ChangeOptions options;
    if (this->hasExpectedVersion)
      options.expectedVersion = this->expectedVersion;
    options.changeId = this->changeId;
    options.dryRun = this->dryRun;
    return options;
  }
};

/// Default number of records of `audit` and `history`.
constexpr std::uint64_t DefaultRecords = 50;

class CommandLine {
public:
  explicit CommandLine(const std::string &version)
      : app("Operators' client of banyanrill", "banyanrill") {
    this->app.set_version_flag("--version", version);
    this->app.require_subcommand(1);
    this->app.fallthrough();
    this->app.add_option("--server", this->arguments.servers, "Server, HOST:PORT; tried in order")
        ->envname("BANYANRILL_SERVER")
        ->delimiter(',')
        ->take_all();
    this->app.add_option("--token-file", this->arguments.tokenFile, "File with the token")
        ->envname("BANYANRILL_TOKEN_FILE");
    this->app.add_option("--ca", this->arguments.authority,
                         "Authority that signed the servers (PEM); turns on TLS");
    this->app.add_option("--output", this->arguments.output, "table or json")
        ->check(CLI::IsMember({"table", "json"}));
    this->app
        .add_option("--timeout", this->arguments.timeoutSeconds, "Limit for a call in seconds")
        ->check(CLI::Range(0.001, 3600.0));
    this->addSettings();
    this->addReports();
  }

  CLI::App app;
  Arguments arguments;
  Action action;

private:
  CLI::App *add(const char *name, const char *description, Action run) {
    CLI::App *command = this->app.add_subcommand(name, description);
    command->callback([this, run = std::move(run)] { this->action = run; });
    return command;
  }

  void addPath(CLI::App *command, const char *name = "PATH") {
    command->add_option(name, this->arguments.path, "Path of a setting")->required();
  }

  void addValue(CLI::App *command) {
    command->add_option("VALUE", this->arguments.value, "JSON, @FILE, or - for standard input")
        ->required();
  }

  void addChange(CLI::App *command, bool withVersion) {
    if (withVersion) {
      command
          ->add_option_function<std::uint64_t>(
              "--if-version",
              [this](const std::uint64_t &version) {
                this->arguments.expectedVersion = version;
                this->arguments.hasExpectedVersion = true;
              },
              "Only if this is the current version; 0: the path must not exist")
          ->type_name("N");
    }
    command->add_option("--change-id", this->arguments.changeId,
                        "Identifier of the change; a repeated one is not made again");
    command->add_flag("--dry-run", this->arguments.dryRun, "Check only");
  }

  void addSettings();
  void addReports();
};

void CommandLine::addSettings() {
  Arguments &given = this->arguments;
  CLI::App *get = this->add("get", "Show settings", [&given](CommandContext &context) {
    return runGet(context, given.path, given.recursive);
  });
  this->addPath(get);
  get->add_flag("--recursive", given.recursive, "Also show the paths below");

  CLI::App *set = this->add("set", "Set a value", [&given](CommandContext &context) {
    return runSet(context, given.path, given.value, given.change());
  });
  this->addPath(set);
  this->addValue(set);
  this->addChange(set, true);

  CLI::App *remove = this->add("delete", "Delete a path", [&given](CommandContext &context) {
    return runDelete(context, given.path, given.change());
  });
  this->addPath(remove);
  this->addChange(remove, true);

  CLI::App *apply =
      this->add("apply", "Set several paths in one change", [&given](CommandContext &context) {
        return runApply(context, given.file, given.change());
      });
  apply->add_option("FILE", given.file, "One JSON object: path -> value")->required();
  this->addChange(apply, false);

  CLI::App *exportCommand =
      this->add("export", "Write settings and their versions for editing",
                [&given](CommandContext &context) { return runExport(context, given.path); });
  this->addPath(exportCommand, "PREFIX");

  CLI::App *import =
      this->add("import", "Apply an edited export", [&given](CommandContext &context) {
        return runImport(context, given.file, given.change());
      });
  import->add_option("FILE", given.file, "Output of export, edited")->required();
  this->addChange(import, false);

  CLI::App *diff =
      this->add("diff", "Compare a value with the current one", [&given](CommandContext &context) {
        return runDiff(context, given.path, given.value);
      });
  this->addPath(diff);
  this->addValue(diff);

  CLI::App *rollback = this->add(
      "rollback", "Set the value of an older version again", [&given](CommandContext &context) {
        return runRollback(context, given.path, given.version, given.change());
      });
  this->addPath(rollback);
  rollback->add_option("--to", given.version, "Version, as history shows it")->required();
  this->addChange(rollback, true);

  CLI::App *drain =
      this->add("drain", "Give a worker no new work", [&given](CommandContext &context) {
        return runDrain(context, given.worker, given.undo, given.change());
      });
  drain->add_option("WORKER", given.worker, "Name of the worker")->required();
  drain->add_flag("--undo", given.undo, "Give it work again");
  this->addChange(drain, false);
}

void CommandLine::addReports() {
  Arguments &given = this->arguments;
  CLI::App *history =
      this->add("history", "Show the changes of a path", [&given](CommandContext &context) {
        return runHistory(context, given.path, given.limit == 0 ? DefaultRecords : given.limit);
      });
  this->addPath(history);
  history->add_option("--limit", given.limit, "Number of records that are searched");

  CLI::App *watch =
      this->add("watch", "Print changes as they are made", [&given](CommandContext &context) {
        return runWatch(context, given.path.empty() ? "/" : given.path,
                        given.hasFrom ? std::optional(given.from) : std::nullopt, given.limit);
      });
  watch->add_option("PREFIX", given.path, "Only below this path");
  watch->add_option_function<std::uint64_t>(
      "--from",
      [this](const std::uint64_t &revision) {
        this->arguments.from = revision;
        this->arguments.hasFrom = true;
      },
      "Start after this revision");
  watch->add_option("--limit", given.limit, "End after this number of changes");

  CLI::App *audit = this->add("audit", "Show who changed what", [&given](CommandContext &context) {
    return runAudit(context, given.path, given.limit == 0 ? DefaultRecords : given.limit);
  });
  audit->add_option("--path", given.path, "Only this path and those below");
  audit->add_option("--limit", given.limit, "Number of records");

  this->add("status", "Show the state of the cell",
            [](CommandContext &context) { return runShow(context, "/v1/status", {}); });
  this->add("jobs", "Show the jobs",
            [](CommandContext &context) { return runShow(context, "/v1/jobs", {}); });
  CLI::App *explain =
      this->add("explain", "Show why a job waits", [&given](CommandContext &context) {
        return runShow(context, "/v1/jobs/explain", {{"job", given.job}});
      });
  explain->add_option("JOB", given.job, "Path of the job")->required();
}

std::string readToken(std::istream &file) {
  std::string token;
  file >> token;
  return token;
}

ExitCode execute(const CommandLine &line, Streams streams) {
  const Arguments &given = line.arguments;
  const auto fail = [&streams](ExitCode code, const std::string &message) {
    streams.err << "banyanrill: " << message << '\n';
    return code;
  };
  SessionOptions options;
  for (const std::string &server : given.servers) {
    options.servers.push_back(parseAddress(server));
    if (options.servers.back().port == 0)
      return fail(ExitUsage, "--server: \"" + server + "\" is not a numeric HOST:PORT");
  }
  if (options.servers.empty())
    return fail(ExitUsage, "--server or BANYANRILL_SERVER is required");
  if (!given.tokenFile.empty()) {
    std::ifstream file(given.tokenFile);
    options.token = readToken(file);
    if (options.token.empty())
      return fail(ExitUsage, "--token-file: no token in " + given.tokenFile);
  }
  if (!given.authority.empty() && !std::ifstream(given.authority))
    return fail(ExitUsage, "--ca: cannot read " + given.authority);
  options.authority = given.authority;
  options.timeout =
      std::chrono::milliseconds(static_cast<std::int64_t>(given.timeoutSeconds * 1000));
  auto client = http::Client::start();
  if (!client)
    return fail(ExitUnreachable, client.error().message);
  Session session(std::move(options), std::move(client.value()), streams.err);
  CommandContext context{session, streams, given.output == "json" ? Format::Json : Format::Table};
  try {
    return line.action(context);
  } catch (const nlohmann::json::exception &error) {
    return session.fail(ExitRefused,
                        std::string("the answer of the server has an unexpected form: ") +
                            error.what());
  }
}

} // namespace

int runProgram(const std::vector<std::string> &arguments, const std::string &version,
               Streams streams) {
  CommandLine line(version);
  try {
    // CLI11 takes the arguments from the back.
    line.app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
  } catch (const CLI::ParseError &error) {
    return line.app.exit(error, streams.out, streams.err) == 0 ? ExitOk : ExitUsage;
  }
  return execute(line, streams);
}

} // namespace banyanrill::cli
