// Lists the fields of every struct that is encoded. The order is part of the protocol.
#pragma once

#include "banyanrill/wire/Message.h"

namespace banyanrill {

namespace base {

template <typename Archive, typename Tag> void describe(Archive &archive, TextId<Tag> &id) {
  archive(id.value);
}
template <typename Archive, typename Tag> void describe(Archive &archive, const TextId<Tag> &id) {
  archive(id.value);
}

} // namespace base

/// Defines `describe`, which passes the fields to a `Reader` or a `Writer`.
#define BANYANRILL_FIELDS(TYPE, ...)                                                               \
  template <typename Archive> void describe(Archive &archive, TYPE &v) { archive(__VA_ARGS__); }   \
  template <typename Archive> void describe(Archive &archive, const TYPE &v) {                     \
    archive(__VA_ARGS__);                                                                          \
  }

namespace base {
BANYANRILL_FIELDS(TaskId, v.job, v.index)
BANYANRILL_FIELDS(Resources, v.millicores, v.memoryMib, v.accelerators)
} // namespace base

namespace consensus {
BANYANRILL_FIELDS(Entry, v.index, v.term, v.kind, v.payload)
BANYANRILL_FIELDS(Membership, v.voters, v.learners)
BANYANRILL_FIELDS(Snapshot, v.index, v.term, v.membership, v.data)
BANYANRILL_FIELDS(Message, v.kind, v.from, v.to, v.term, v.logIndex, v.logTerm, v.commit, v.reject,
                  v.readContext, v.entries, v.snapshot, v.chunkOffset, v.lastChunk)
} // namespace consensus

namespace settings {
BANYANRILL_FIELDS(Value, v.json, v.version)
BANYANRILL_FIELDS(Edit, v.path, v.json, v.expectedVersion)
BANYANRILL_FIELDS(Change, v.requestId, v.author, v.wallClockMs, v.edits)
BANYANRILL_FIELDS(Outcome, v.accepted, v.revision, v.errorPath, v.errorMessage, v.errorCode,
                  v.current)
BANYANRILL_FIELDS(Applied, v.revision, v.path, v.json)
} // namespace settings

namespace routing {
BANYANRILL_FIELDS(ClaimHolder, v.daemon, v.requestId)
BANYANRILL_FIELDS(RecordedOutcome, v.verdict, v.status, v.contentType, v.body, v.bodyKept)
BANYANRILL_FIELDS(ClaimResult, v.state, v.holder, v.outcome)
BANYANRILL_FIELDS(ServiceLoad, v.team, v.service, v.freeSlots, v.totalSlots)
} // namespace routing

namespace placement {
BANYANRILL_FIELDS(TaskRecord, v.id, v.attempt, v.phase, v.worker)
BANYANRILL_FIELDS(EndJob, v.job, v.succeeded, v.reason)
BANYANRILL_FIELDS(TaskEvent, v.task, v.attempt, v.kind)
} // namespace placement

namespace control {
BANYANRILL_FIELDS(ChangeSettings, v.change)
BANYANRILL_FIELDS(OwnerAssignment, v.worker, v.daemon)
BANYANRILL_FIELDS(AssignOwners, v.assignments)
BANYANRILL_FIELDS(ClaimRequest, v.key, v.digest, v.holder)
BANYANRILL_FIELDS(CompleteClaim, v.key, v.holder, v.outcome)
BANYANRILL_FIELDS(ReleaseClaim, v.key, v.holder)
BANYANRILL_FIELDS(UpdateTasks, v.tasks, v.ended)
BANYANRILL_FIELDS(Batch, v.logTimeMs, v.commands)
} // namespace control

namespace wire {
BANYANRILL_FIELDS(WorkerReport, v.id, v.dataCentre, v.rack, v.capacity, v.requestLoad, v.epoch,
                  v.leaseHeld)
BANYANRILL_FIELDS(Heartbeat, v.sequence, v.stopping, v.complete, v.workers, v.removed, v.unowned)
BANYANRILL_FIELDS(HeartbeatAck, v.sequence, v.needsComplete)
BANYANRILL_FIELDS(Propose, v.proposal, v.command)
BANYANRILL_FIELDS(ProposeResult, v.proposal, v.state, v.leader, v.result)
BANYANRILL_FIELDS(SettingsSubscription, v.revision)
BANYANRILL_FIELDS(SettingsUpdate, v.from, v.to, v.changes, v.values, v.leader)
BANYANRILL_FIELDS(LoadReport, v.sequence, v.loads)
BANYANRILL_FIELDS(Forward, v.requestId, v.attempt, v.team, v.service, v.operation, v.idempotencyKey,
                  v.contentType, v.body, v.demand, v.priority, v.remainingMs, v.mayQueue,
                  v.excludedUpstreams)
BANYANRILL_FIELDS(ForwardResult, v.requestId, v.attempt, v.state, v.verdict, v.status,
                  v.contentType, v.body, v.upstream, v.reason)
BANYANRILL_FIELDS(StartTask, v.task, v.attempt, v.worker, v.epoch, v.demand, v.moveOnIsolation,
                  v.confirmOnly, v.spec)
BANYANRILL_FIELDS(StopTask, v.task, v.attempt, v.worker, v.epoch, v.checkpoint)
BANYANRILL_FIELDS(TaskReport, v.event, v.worker, v.epoch)
BANYANRILL_FIELDS(TaskEvents, v.sequence, v.reports)
BANYANRILL_FIELDS(TaskEventsAck, v.sequence)
BANYANRILL_FIELDS(UpstreamLeaving, v.upstream)
BANYANRILL_FIELDS(Envelope, v.from, v.to, v.incarnation, v.body)
} // namespace wire

#undef BANYANRILL_FIELDS

} // namespace banyanrill
