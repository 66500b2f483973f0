// Commands that show the state of the cell and follow its changes.
#pragma once

#include "SettingsCommands.h"

namespace banyanrill::cli {

ExitCode runAudit(CommandContext &context, const std::string &path, std::uint64_t limit);

/// Audit records of exactly this path.
ExitCode runHistory(CommandContext &context, const std::string &path, std::uint64_t limit);

/// Prints changes as they are made, from the given revision or from now on, until `limit` changes
/// have been printed; 0: without end.
ExitCode runWatch(CommandContext &context, const std::string &prefix,
                  std::optional<std::uint64_t> from, std::uint64_t limit);

/// Shows the answer to a GET, such as /v1/status.
ExitCode runShow(CommandContext &context, const std::string &path, const Query &query);

} // namespace banyanrill::cli
