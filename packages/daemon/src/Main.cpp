// Entry point of the daemon.
#include "banyanrill/daemon/Config.h"
#include "banyanrill/daemon/Runtime.h"
#include "banyanrill/daemon/StorageTask.h"
#include "banyanrill/platform/Adapter.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <string>

namespace {

constexpr int ExitSettingsRejected = 2;
constexpr int ExitFailed = 1;
constexpr int ExitInterrupted = 130;

std::atomic<bool> stopRequested{false};

/// The first signal starts a graceful stop, a second one ends the process at once.
void onSignal(int) {
  if (stopRequested.exchange(true))
    std::_Exit(ExitInterrupted);
}

int reportStatus(const banyanrill::base::Status &status) {
  if (status)
    return 0;
  std::fprintf(stderr, "banyanrilld: %s: %s\n", status.error().path.c_str(),
               status.error().message.c_str());
  return ExitFailed;
}

/// Turns signals about a single write into errors of that write: a peer that has gone, and a file
/// beyond the limit of its size.
void ignoreWriteSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"Daemon of the banyanrill cluster scheduler", "banyanrilld"};
  std::string settingsFile;
  bool checkOnly = false;
  bool initialize = false;
  bool onPlatform = false;
  CLI::Option *file = app.add_option("settings", settingsFile, "Settings file in JSON");
  CLI::Option *platform = app.add_flag(
      "--platform", onPlatform, "Run on the users' platform, with the settings file that it names");
  platform->excludes(file);
  std::string advertised;
  app.add_option("--advertise", advertised,
                 "host:port at which other daemons reach this one, if not where it listens")
      ->needs(platform);
  app.add_flag("--check", checkOnly, "Check the settings file and exit");
  app.add_flag("--initialize", initialize, "Create the data folder of a new replica and exit");
  app.set_version_flag("--version", BANYANRILL_VERSION);
  CLI11_PARSE(app, argc, argv);

  ignoreWriteSignals();
  if (onPlatform)
    return reportStatus(banyanrill::platform::run(advertised));
  if (settingsFile.empty()) {
    std::fprintf(stderr, "banyanrilld: a settings file or --platform is required\n");
    return ExitSettingsRejected;
  }
  const auto config = banyanrill::daemon::readConfig(settingsFile);
  if (!config) {
    std::fprintf(stderr, "banyanrilld: %s: %s: %s\n", settingsFile.c_str(),
                 config.error().path.c_str(), config.error().message.c_str());
    return ExitSettingsRejected;
  }
  if (checkOnly)
    return 0;
  if (initialize) {
    const auto created = banyanrill::daemon::initializeDataFolder(config.value());
    if (created)
      return 0;
    std::fprintf(stderr, "banyanrilld: %s: %s\n", created.error().path.c_str(),
                 created.error().message.c_str());
    return ExitFailed;
  }
  banyanrill::base::initializeEventLog(
      config.value().cell + "-" + std::to_string(config.value().daemon), config.value().logLevel);
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
  return reportStatus(banyanrill::daemon::runDaemon(config.value(), stopRequested));
}
