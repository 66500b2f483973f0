// Checks the replicated table: repeated commands have no effect, configurations never revert to an
// older version, steps wait for their predecessors, and an end counts once.
#include "FakeCell.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill;
using namespace banyanrill::jobs;
using namespace banyanrill::jobs::test;

namespace {

Configuration configurationOf(std::uint64_t version, const std::string &prefix) {
  Configuration configuration;
  configuration.version = version;
  configuration.services = {"service"};
  Queue queue;
  queue.name = "queue";
  queue.host = "host";
  queue.pathPrefix = prefix;
  queue.service = "service";
  queue.maxAttempts = 2;
  configuration.queues = {queue};
  configuration.document = "version " + std::to_string(version);
  return configuration;
}

WorkerProfile profileOf(const std::string &id, const std::string &address,
                        std::int64_t startTimeMs) {
  WorkerProfile profile;
  profile.incarnation = {id, startTimeMs};
  profile.service = "service";
  profile.address = address;
  profile.capacity = {8000, 8000, 0};
  return profile;
}

struct TableFixture {
  Table table;
  Effect lastEffect;

  void apply(Command command) {
    this->lastEffect = this->table.apply({1000, {std::move(command)}});
  }
  void accept(JobSpec spec) {
    this->apply(PutConfiguration{configurationOf(1, "/q/")});
    this->apply(AcceptJob{std::move(spec), configurationOf(1, "/q/").queues[0], {}});
    this->apply(RegisterWorker{profileOf("w", "10.0.0.1:80", 1)});
  }
  void place(const RunKey &run) { this->apply(PlaceRuns{1, {{run, "w"}}}); }
  void end(std::uint64_t number, const RunKey &run, EndKind kind) {
    this->apply(RecordEnds{{"w", 1}, {{number, run, kind, {}}}});
  }
};

} // namespace

TEST_GROUP(Table) { TableFixture cell; };

TEST(Table, JobKeepsItsWorkspaceWhenThatIsGone) {
  Configuration configuration = configurationOf(1, "/q/");
  configuration.workspaces = {{"a", {"k"}, 1, {}}};
  this->cell.apply(PutConfiguration{configuration});
  JobSpec spec;
  spec.id = "j";
  this->cell.apply(AcceptJob{spec, configuration.queues[0], "a"});
  configuration.version = 2;
  configuration.queues[0].isPublic = true;
  configuration.workspaces.reset();
  this->cell.apply(PutConfiguration{configuration});
  CHECK(this->cell.table.findJob("j")->queue.isPublic);
  CHECK_EQUAL(std::string("a"), this->cell.table.findJob("j")->workspace);
}

TEST(Table, OlderOrEqualConfigurationChangesNothing) {
  this->cell.apply(PutConfiguration{configurationOf(5, "/new/")});
  this->cell.apply(PutConfiguration{configurationOf(4, "/old/")});
  Configuration other = configurationOf(5, "/other/");
  this->cell.apply(PutConfiguration{other});
  CHECK_EQUAL(std::string("/new/"), this->cell.table.state().configuration->queues[0].pathPrefix);
}

TEST(Table, QueueWithTheLongestMatchingPrefixIsChosen) {
  Configuration configuration = configurationOf(1, "/a/");
  configuration.queues.push_back(configuration.queues[0]);
  configuration.queues[1].name = "longer";
  configuration.queues[1].pathPrefix = "/a/b/";
  this->cell.apply(PutConfiguration{configuration});
  std::string rest;
  CHECK_EQUAL(std::string("longer"), this->cell.table.findQueue("host", "/a/b/id", rest)->name);
  CHECK_EQUAL(std::string("id"), rest);
  CHECK(this->cell.table.findQueue("elsewhere", "/a/b/id", rest) == nullptr);
}

TEST(Table, JobSubmittedTwiceIsAcceptedOnce) {
  this->cell.accept(makeJob("job", 2, 100, 100));
  this->cell.place({{"job", 0, 0, 0}, 1});
  this->cell.apply(AcceptJob{makeJob("job", 9, 100, 100), configurationOf(1, "/q/").queues[0], {}});
  CHECK_EQUAL(2U, this->cell.table.findJob("job")->spec.steps[0].count);
  CHECK(this->cell.table.findJob("job")->started);
}

/// Guards against an accepted job that is lost because its identifier was to be forgotten once
/// more.
TEST(Table, JobThatWasSubmittedAgainIsNotForgotten) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.apply(CancelJob{"job"});
  this->cell.apply(ForgetJobs{{"job"}});
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.apply(ForgetJobs{{"job"}});
  CHECK(this->cell.table.findJob("job") != nullptr);
}

TEST(Table, StepWaitsForTheStepsBeforeIt) {
  JobSpec spec = makeJob("job", 1, 100, 100);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].after = {0};
  this->cell.accept(spec);
  const Job &job = *this->cell.table.findJob("job");
  CHECK(!Table::isReady(job, job.occurrences.at(0), 1));
  this->cell.place({{"job", 0, 0, 0}, 1});
  this->cell.end(1, {{"job", 0, 0, 0}, 1}, EndKind::Succeeded);
  CHECK(Table::isReady(job, job.occurrences.at(0), 1));
}

TEST(Table, EndReportedAgainCountsOnce) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.place({{"job", 0, 0, 0}, 1});
  this->cell.end(1, {{"job", 0, 0, 0}, 1}, EndKind::Failed);
  this->cell.place({{"job", 0, 0, 0}, 2});
  this->cell.end(1, {{"job", 0, 0, 0}, 1}, EndKind::Failed);
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Active);
  this->cell.end(2, {{"job", 0, 0, 0}, 2}, EndKind::Failed);
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Failed);
}

TEST(Table, OnlyFailuresCountAsAttempts) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  for (std::uint32_t run = 1; run <= 6; ++run) {
    this->cell.place({{"job", 0, 0, 0}, run});
    this->cell.end(run, {{"job", 0, 0, 0}, run}, EndKind::Stopped);
  }
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Active);
}

TEST(Table, RunNumberIsNeverUsedTwice) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.place({{"job", 0, 0, 0}, 3});
  this->cell.end(1, {{"job", 0, 0, 0}, 3}, EndKind::Stopped);
  this->cell.place({{"job", 0, 0, 0}, 3});
  CHECK(this->cell.table.findWorker("w")->placements.empty());
}

TEST(Table, LateReportOfAReplacedWorkerChangesNothing) {
  this->cell.apply(RegisterWorker{profileOf("new", "10.0.0.1:80", 20)});
  this->cell.apply(RegisterWorker{profileOf("old", "10.0.0.1:80", 10)});
  CHECK(this->cell.table.findWorker("old") == nullptr);
  CHECK(this->cell.table.findWorker("new") != nullptr);
}

/// Another writer's report at the address of a worker counted as proof that the worker had crashed:
/// its runs were placed again while they ran.
TEST(Table, ReportAtTheAddressOfAnotherWorkerReleasesNothing) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.place({{"job", 0, 0, 0}, 1});
  this->cell.apply(RegisterWorker{profileOf("other", "10.0.0.1:80", 50)});
  CHECK(this->cell.table.findWorker("w") != nullptr);
  CHECK_EQUAL(1U, this->cell.table.findWorker("w")->placements.size());
  CHECK(this->cell.table.findJob("job")->occurrences.at(0).steps[0].tasks[0].phase ==
        TaskPhase::Placed);
}

TEST(Table, ReportOfAnotherLifeUnderAKnownIdChangesNothing) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.place({{"job", 0, 0, 0}, 1});
  const Worker before = *this->cell.table.findWorker("w");
  for (const std::int64_t startTimeMs : {0, 2}) {
    this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.1:80", startTimeMs)});
    CHECK(*this->cell.table.findWorker("w") == before);
  }
  this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.9:80", 1)});
  CHECK(*this->cell.table.findWorker("w") == before);
}

/// The answer of the worker counts even if an earlier start is told: the later one was never its
/// own.
TEST(Table, RestartOfAFormerLifeChangesNothingTwice) {
  this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.1:80", 9)});
  this->cell.apply(RestartWorker{{"w", 9}, profileOf("w", "10.0.0.1:80", 5)});
  CHECK_EQUAL(5, this->cell.table.findWorker("w")->profile.incarnation.startTimeMs);
  this->cell.apply(RestartWorker{{"w", 9}, profileOf("w", "10.0.0.1:80", 7)});
  CHECK_EQUAL(5, this->cell.table.findWorker("w")->profile.incarnation.startTimeMs);
}

TEST(Table, ReportOfAServiceWithoutConfigurationIsUsedOnceItIsNamed) {
  WorkerProfile profile = profileOf("w", "10.0.0.1:80", 1);
  profile.service = "other";
  CHECK(this->cell.table.meaningOf(profile) == ReportMeaning::News);
  this->cell.apply(PutConfiguration{configurationOf(1, "/q/")});
  CHECK(this->cell.table.meaningOf(profile) == ReportMeaning::Unusable);
  Configuration next = configurationOf(2, "/q/");
  next.services.push_back("other");
  this->cell.apply(PutConfiguration{next});
  CHECK(this->cell.table.meaningOf(profile) == ReportMeaning::News);
  this->cell.apply(RegisterWorker{profile});
  // A known worker may still say that it leaves when its service is no longer named.
  this->cell.apply(PutConfiguration{configurationOf(3, "/q/")});
  profile.draining = true;
  CHECK(this->cell.table.meaningOf(profile) == ReportMeaning::News);
}

/// A later report of another writer at the same address hid the drain of the worker.
TEST(Table, DrainCountsBesideALaterReportAtTheAddress) {
  this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.1:80", 1)});
  this->cell.apply(RegisterWorker{profileOf("other", "10.0.0.1:80", 50)});
  WorkerProfile profile = profileOf("w", "10.0.0.1:80", 1);
  profile.draining = true;
  this->cell.apply(RegisterWorker{profile});
  CHECK(this->cell.table.findWorker("w") != nullptr);
  CHECK(this->cell.table.findWorker("w")->profile.draining);
}

/// A daemon that waited for a leader forwarded an old report late, which made a draining worker
/// ready again.
TEST(Table, LateReportDoesNotEndADrain) {
  WorkerProfile profile = profileOf("w", "10.0.0.1:80", 1);
  profile.draining = true;
  this->cell.apply(RegisterWorker{profile});
  this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.1:80", 1)});
  CHECK(this->cell.table.findWorker("w")->profile.draining);
  this->cell.apply(RestartWorker{{"w", 1}, profileOf("w", "10.0.0.1:80", 2)});
  CHECK(!this->cell.table.findWorker("w")->profile.draining);
}

TEST(Table, RunsOfAnEarlierIncarnationStayPlacedUntilReleased) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  this->cell.place({{"job", 0, 0, 0}, 1});
  this->cell.apply(RestartWorker{{"w", 1}, profileOf("w", "10.0.0.1:80", 2)});
  CHECK(this->cell.table.findWorker("w")->placements.begin()->second.previousIncarnation);
  CHECK_EQUAL(0U, this->cell.table.findWorker("w")->recordedEnds);
  // Neither an end that the former incarnation listed nor one of another run ends this run.
  this->cell.apply(RecordEnds{{"w", 1}, {{1, {{"job", 0, 0, 0}, 1}, EndKind::Succeeded, {}}}});
  this->cell.apply(RecordEnds{{"w", 2}, {{1, {{"job", 0, 0, 0}, 2}, EndKind::Succeeded, {}}}});
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Active);
  CHECK_EQUAL(1U, this->cell.table.findWorker("w")->placements.size());
  // A run number is used once, so the new incarnation has carried out the order to start this run.
  this->cell.apply(RecordEnds{{"w", 2}, {{2, {{"job", 0, 0, 0}, 1}, EndKind::Succeeded, {}}}});
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Succeeded);
  CHECK(this->cell.table.findWorker("w")->placements.empty());
}

/// A worker that was silent for long listed a success when it was back; the task was started again.
TEST(Table, SuccessListedAfterTheRunWasReleasedEndsTheTask) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  const RunKey run{{"job", 0, 0, 0}, 1};
  this->cell.place(run);
  this->cell.apply(RemoveWorker{{"w", 1}, {}});
  this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.1:80", 1)});
  this->cell.apply(RecordEnds{{"w", 1}, {{1, run, EndKind::Succeeded, {}}}});
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Succeeded);
}

/// The same where the task has been started again: the next step may begin, and no third run.
TEST(Table, SuccessListedDuringTheNextRunEndsTheTask) {
  JobSpec spec = makeJob("job", 1, 100, 100);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].after = {0};
  this->cell.accept(spec);
  const TaskKey task{"job", 0, 0, 0};
  this->cell.place({task, 1});
  this->cell.apply(ReleaseRuns{{{{task, 1}, "w", {}}}});
  this->cell.place({task, 2});
  this->cell.apply(RecordEnds{{"w", 1}, {{1, {task, 1}, EndKind::Succeeded, {}}}});
  const Job *job = this->cell.table.findJob("job");
  CHECK(Table::isReady(*job, job->occurrences.at(0), 1));
  CHECK_EQUAL(1U, this->cell.table.findWorker("w")->placements.count(task));
  this->cell.apply(RecordEnds{{"w", 1}, {{2, {task, 2}, EndKind::Failed, {}}}});
  CHECK_EQUAL(0U, this->cell.table.findWorker("w")->placements.count(task));
  CHECK_EQUAL(1U, this->cell.table.findJob("job")->occurrences.at(0).steps[0].succeeded);
}

/// A failure that was listed late was not counted, so the task was started too often.
TEST(Table, FailureListedAfterTheRunWasReleasedCountsOnce) {
  this->cell.accept(makeJob("job", 1, 100, 100));
  const RunKey run{{"job", 0, 0, 0}, 1};
  this->cell.place(run);
  for (int listing = 0; listing < 2; ++listing) {
    this->cell.apply(RemoveWorker{{"w", 1}, {}});
    this->cell.apply(RegisterWorker{profileOf("w", "10.0.0.1:80", 1)});
    this->cell.apply(RecordEnds{{"w", 1}, {{1, run, EndKind::Failed, {}}}});
  }
  const Job *job = this->cell.table.findJob("job");
  CHECK_EQUAL(1U, job->occurrences.at(0).steps[0].tasks[0].failures);
}

TEST(Table, OneSuccessEndsAGang) {
  JobSpec spec = makeJob("job", 3, 100, 100);
  spec.steps[0].gang = true;
  this->cell.accept(spec);
  for (std::uint32_t index = 0; index < 3; ++index)
    this->cell.place({{"job", 0, 0, index}, 1});
  this->cell.end(1, {{"job", 0, 0, 1}, 1}, EndKind::Succeeded);
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Succeeded);
  // The other members occupy their workers until their ends are reported.
  CHECK_EQUAL(2U, this->cell.table.findWorker("w")->placements.size());
}

TEST(Table, OccurrencesOpenWhenDueAndEndIndependently) {
  JobSpec spec = makeJob("job", 1, 100, 100);
  spec.repeatCount = 2;
  this->cell.accept(spec);
  CHECK(this->cell.table.findJob("job")->occurrences.empty());
  this->cell.apply(OpenOccurrences{"job", 1});
  this->cell.place({{"job", 0, 0, 0}, 1});
  this->cell.end(1, {{"job", 0, 0, 0}, 1}, EndKind::Succeeded);
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Active);
  this->cell.apply(OpenOccurrences{"job", 9});
  this->cell.place({{"job", 1, 0, 0}, 1});
  this->cell.end(2, {{"job", 1, 0, 0}, 1}, EndKind::Succeeded);
  CHECK(this->cell.table.findJob("job")->phase == JobPhase::Succeeded);
}
