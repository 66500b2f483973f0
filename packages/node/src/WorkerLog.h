// Log lines for the orders to workers and for what the leader concludes from their answers. The
// functions are thread-safe and never wait.
#pragma once

#include "banyanrill/jobs/Orders.h"
#include "banyanrill/jobs/WorkerDecision.h"

namespace banyanrill::node {

/// Renewals of a lease are logged only if they were not accepted. Precondition: the answer's type
/// fits the order's.
void logOrder(const jobs::WorkerOrder &order, const jobs::WorkerAnswer &answer);

/// One line for each conclusion.
void logDecision(const jobs::WorkerDecision &decision);

} // namespace banyanrill::node
