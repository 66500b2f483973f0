// Lists the fields of the job table's structs and of peer messages. The order is part of the
// protocol.
#pragma once

#include "banyanrill/jobs/Table.h"
#include "banyanrill/wire/Peer.h"

namespace banyanrill {

#define BANYANRILL_FIELDS(TYPE, ...)                                                               \
  template <typename Archive> void describe(Archive &archive, TYPE &v) { archive(__VA_ARGS__); }   \
  template <typename Archive> void describe(Archive &archive, const TYPE &v) {                     \
    archive(__VA_ARGS__);                                                                          \
  }
namespace jobs {
BANYANRILL_FIELDS(Step, v.count, v.demand, v.estimatedMs, v.after, v.checkpointing, v.gang,
                  v.sameRack, v.requiredLabel, v.dataRack, v.maxPerWorker, v.speculative,
                  v.longRunning, v.image, v.responseTargetMs, v.bestEffortCpu, v.maxUnavailable)
BANYANRILL_FIELDS(JobSpec, v.id, v.taskSpec, v.steps, v.repeatCount, v.firstStartMs, v.intervalMs)
BANYANRILL_FIELDS(AdvicePolicy, v.baseMs, v.perWorkerMs, v.ticketLifeMs)
BANYANRILL_FIELDS(Queue, v.name, v.host, v.pathPrefix, v.service, v.timeoutMs, v.priority,
                  v.maxAttempts, v.stretch, v.latencyMs, v.advice, v.isPublic)
BANYANRILL_FIELDS(Workspace, v.name, v.keys, v.weight, v.limit)
BANYANRILL_FIELDS(Configuration, v.version, v.queues, v.services, v.workspaces, v.document)
BANYANRILL_FIELDS(TaskKey, v.job, v.occurrence, v.step, v.index)
BANYANRILL_FIELDS(StepKey, v.job, v.occurrence, v.step)
BANYANRILL_FIELDS(RunKey, v.task, v.run)
BANYANRILL_FIELDS(TaskEnd, v.number, v.run, v.kind, v.checkpoint)
BANYANRILL_FIELDS(WorkerIncarnation, v.id, v.startTimeMs)
BANYANRILL_FIELDS(WorkerProfile, v.incarnation, v.service, v.address, v.dataCentre, v.machine,
                  v.labels, v.rack, v.capacity, v.draining)
BANYANRILL_FIELDS(Placement, v.run, v.term, v.previousIncarnation)
BANYANRILL_FIELDS(Worker, v.profile, v.recordedEnds, v.placements)
BANYANRILL_FIELDS(Task, v.phase, v.lastRun, v.failures, v.worker, v.checkpoint, v.releasedRuns)
BANYANRILL_FIELDS(StepProgress, v.tasks, v.succeeded, v.placements, v.lastFailedRun)
BANYANRILL_FIELDS(Occurrence, v.steps, v.stepsDone)
BANYANRILL_FIELDS(Job, v.spec, v.queue, v.phase, v.started, v.acceptedMs, v.endedMs, v.opened,
                  v.finished, v.occurrences, v.workspace)
BANYANRILL_FIELDS(Wave, v.number, v.waiting, v.durationMs, v.limit, v.acceptedMs)
BANYANRILL_FIELDS(Member, v.replica, v.address, v.region)
BANYANRILL_FIELDS(TableState, v.configuration, v.jobs, v.workers, v.waves, v.members, v.lastTimeMs)

BANYANRILL_FIELDS(PutConfiguration, v.configuration)
BANYANRILL_FIELDS(AcceptJob, v.spec, v.queue, v.workspace)
BANYANRILL_FIELDS(CancelJob, v.job)
BANYANRILL_FIELDS(OpenOccurrences, v.job, v.count)
BANYANRILL_FIELDS(PlacedRun, v.run, v.worker)
BANYANRILL_FIELDS(PlaceRuns, v.term, v.runs)
BANYANRILL_FIELDS(RecordEnds, v.worker, v.ends)
BANYANRILL_FIELDS(ReleasedRun, v.run, v.worker, v.checkpoint)
BANYANRILL_FIELDS(ReleaseRuns, v.runs)
BANYANRILL_FIELDS(RegisterWorker, v.profile)
BANYANRILL_FIELDS(RemoveWorker, v.worker, v.lastCheckpoints)
BANYANRILL_FIELDS(ForgetJobs, v.jobs)
BANYANRILL_FIELDS(StartWave, v.wave)
BANYANRILL_FIELDS(RemoveFromWave, v.wave, v.machine)
BANYANRILL_FIELDS(PutMember, v.member)
BANYANRILL_FIELDS(RestartWorker, v.former, v.profile)
BANYANRILL_FIELDS(CommandBatch, v.logTimeMs, v.commands)

BANYANRILL_FIELDS(SubmitRequest, v.host, v.path, v.spec, v.key)
BANYANRILL_FIELDS(StateRequest, v.host, v.path, v.key)
BANYANRILL_FIELDS(CancelRequest, v.host, v.path, v.key)
BANYANRILL_FIELDS(ConfigureRequest, v.configuration)
template <typename Archive> void describe(Archive &archive, ReadConfigurationRequest & /*v*/) {
  archive();
}
template <typename Archive>
void describe(Archive &archive, const ReadConfigurationRequest & /*v*/) {
  archive();
}
BANYANRILL_FIELDS(WorkerReport, v.profile, v.clockMs, v.sequence)
BANYANRILL_FIELDS(DeregisterRequest, v.worker)
BANYANRILL_FIELDS(WaveRequest, v.wave)
BANYANRILL_FIELDS(WaveStateRequest, v.wave)
BANYANRILL_FIELDS(Reply, v.code, v.message, v.retryAfterMs, v.phase, v.started, v.waiting,
                  v.document, v.reportTo, v.waveDone)
BANYANRILL_FIELDS(AdviceAnswer, v.answered, v.tickets)
BANYANRILL_FIELDS(OrderTarget, v.worker, v.address, v.fencingToken)
BANYANRILL_FIELDS(OrderId, v.term, v.number)
BANYANRILL_FIELDS(StartOrder, v.id, v.target, v.run, v.taskSpec, v.leaseUntilMs, v.checkpoint,
                  v.ticket)
BANYANRILL_FIELDS(StopOrder, v.id, v.target, v.run)
BANYANRILL_FIELDS(RenewLeaseOrder, v.id, v.target, v.leaseUntilMs, v.recordedEnds, v.waitMs)
BANYANRILL_FIELDS(ThrottleOrder, v.id, v.target, v.run, v.percent)
BANYANRILL_FIELDS(OrderAnswer, v.outcome, v.clockMs)
BANYANRILL_FIELDS(RunningTask, v.run, v.checkpoint, v.percent, v.load)
BANYANRILL_FIELDS(RenewLeaseAnswer, v.outcome, v.clockMs, v.startTimeMs, v.running, v.ended)
} // namespace jobs

namespace membership {
BANYANRILL_FIELDS(PeerRecord, v.id, v.address, v.controlAddress, v.dataCentre, v.region, v.hasDisk,
                  v.stopping)
BANYANRILL_FIELDS(PeerHeartbeat, v.sender, v.bootstrapping, v.bootstrapMembers)
BANYANRILL_FIELDS(PeerHeartbeatReply, v.responder, v.bootstrapping, v.bootstrapMembers, v.leader,
                  v.term, v.peers, v.members)
} // namespace membership

namespace wire {
BANYANRILL_FIELDS(ReplicaMessages, v.messages)
BANYANRILL_FIELDS(ForwardedRequest, v.requestId, v.request, v.minimumTerm)
BANYANRILL_FIELDS(AdviceRequest, v.step, v.workers, v.expectedMs)
BANYANRILL_FIELDS(RelayedOrders, v.term, v.replyAddress, v.orders)
BANYANRILL_FIELDS(RelayedAnswers, v.term, v.answers)
template <typename Archive> void describe(Archive &archive, Acknowledgement & /*v*/) { archive(); }
template <typename Archive> void describe(Archive &archive, const Acknowledgement & /*v*/) {
  archive();
}
BANYANRILL_FIELDS(ForwardedReply, v.isLeader, v.term, v.reply)
} // namespace wire

#undef BANYANRILL_FIELDS

} // namespace banyanrill
