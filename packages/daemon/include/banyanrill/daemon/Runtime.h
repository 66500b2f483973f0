// Runs a daemon: starts its tasks, passes events and actions between them, and stops them in order.
#pragma once

#include "banyanrill/base/Error.h"
#include "banyanrill/daemon/Config.h"

#include <atomic>

namespace banyanrill::daemon {

/// Runs until a graceful stop has finished, then ends the process with success; returns only
/// errors. `stopRequested` may be set from a signal handler; a second signal is the caller's to
/// handle. Errors: those of opening the data folder, the peer address and the HTTP address.
base::Status runDaemon(const Config &config, const std::atomic<bool> &stopRequested);

} // namespace banyanrill::daemon
