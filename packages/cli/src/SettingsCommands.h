// Commands that read and change settings.
#pragma once

#include "Output.h"
#include "Session.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyanrill::cli {

/// What all commands need.
struct CommandContext {
  Session &session;
  Streams streams;
  Format format = Format::Table;
};

/// Options of the commands that make a change.
struct ChangeOptions {
  std::optional<std::uint64_t> expectedVersion;
  std::string changeId; ///< Empty: a random one.
  bool dryRun = false;
};

/// Paths start with a slash. Values are given as JSON, "@FILE", or "-" for the standard input.
ExitCode runGet(CommandContext &context, const std::string &path, bool recursive);
ExitCode runSet(CommandContext &context, const std::string &path, const std::string &value,
                const ChangeOptions &options);
ExitCode runDelete(CommandContext &context, const std::string &path, const ChangeOptions &options);
ExitCode runApply(CommandContext &context, const std::string &file, const ChangeOptions &options);
ExitCode runExport(CommandContext &context, const std::string &prefix);

/// Applies those values of an exported file that differ from the current ones, each only if its
/// version is still the exported one.
ExitCode runImport(CommandContext &context, const std::string &file, const ChangeOptions &options);
ExitCode runDiff(CommandContext &context, const std::string &path, const std::string &value);

/// Sets the value that the path had at a version again, as a new change.
ExitCode runRollback(CommandContext &context, const std::string &path, std::uint64_t version,
                     const ChangeOptions &options);

/// Marks a worker to receive no new work, or removes the mark.
ExitCode runDrain(CommandContext &context, const std::string &worker, bool undo,
                  const ChangeOptions &options);

} // namespace banyanrill::cli
