// Guards against a key that opens another workspace's jobs, a withdrawn key that still opens
// something, and a configuration whose workspaces go unnoticed.
#include "banyanrill/jobs/KeyTable.h"

#include <CppUTest/TestHarness.h>

using namespace banyanrill::jobs;

namespace {

Configuration configurationOf(std::uint64_t version, std::vector<Workspace> workspaces) {
  Configuration configuration;
  configuration.version = version;
  configuration.workspaces = std::move(workspaces);
  return configuration;
}

Workspace workspaceOf(const std::string &name, std::vector<std::string> keys) {
  Workspace workspace;
  workspace.name = name;
  workspace.keys = std::move(keys);
  return workspace;
}

struct KeyFixture : Utest {
  KeyTable keys{configurationOf(0, {workspaceOf("a", {"k", "long key"}), workspaceOf("b", {"K"})})};
  Queue closed;
  Queue open;

  KeyFixture() {
    this->open.isPublic = true;
    this->open.pathPrefix = "/open/";
  }

  Access memberOf(const std::string &workspace) { return {AccessKind::Member, workspace, {}}; }
};

Job jobOf(const std::string &workspace, const Queue &queue) {
  Job job;
  job.workspace = workspace;
  job.queue = queue;
  return job;
}

} // namespace

TEST_GROUP_BASE(KeyTable, KeyFixture){};

TEST(KeyTable, WithoutWorkspacesEveryRequestIsUnrestricted) {
  Configuration configuration;
  configuration.version = 3;
  for (const KeyTable &table : {KeyTable(), KeyTable(configuration)}) {
    CHECK(!table.isRestricted());
    CHECK(table.check(nullptr, "") == Access());
    CHECK(table.check(&this->closed, "k") == Access());
  }
}

/// Version 0 is a valid one: its table must differ from that of no configuration.
TEST(KeyTable, EmptyListOfWorkspacesRefusesEveryKey) {
  const KeyTable none(configurationOf(0, {}));
  CHECK(none.version() != KeyTable().version());
  CHECK(none.check(&this->closed, "k").isRefused());
  CHECK(none.check(&this->open, "k").kind == AccessKind::Anonymous);
}

TEST(KeyTable, KeyNamesItsWorkspaceCaseSensitively) {
  CHECK(this->keys.check(&this->closed, "k") == this->memberOf("a"));
  CHECK(this->keys.check(&this->closed, "long key") == this->memberOf("a"));
  CHECK(this->keys.check(&this->closed, "K") == this->memberOf("b"));
  CHECK(this->keys.check(&this->closed, "").kind == AccessKind::KeyAbsent);
  CHECK(this->keys.check(&this->closed, "long ke").kind == AccessKind::KeyUnknown);
  CHECK(this->keys.check(nullptr, "x").isRefused());
  CHECK(this->keys.check(nullptr, "k") == this->memberOf("a"));
}

TEST(KeyTable, PublicQueueNeedsNoKeyAndIgnoresAnInvalidOne) {
  CHECK(this->keys.check(&this->open, "").kind == AccessKind::Anonymous);
  CHECK(this->keys.check(&this->open, "x").kind == AccessKind::Anonymous);
  CHECK(this->keys.check(&this->open, "k") == this->memberOf("a"));
}

TEST(KeyTable, JobIsReachedByItsWorkspaceOnly) {
  const Job closedJob = jobOf("a", this->closed);
  CHECK(ownershipOf(closedJob, this->memberOf("a")) == Ownership::Allowed);
  CHECK(ownershipOf(closedJob, this->memberOf("b")) == Ownership::Foreign);
  // Through the path of a public queue.
  const Access anonymous = this->keys.check(&this->open, "");
  CHECK(ownershipOf(closedJob, anonymous) == Ownership::NeedsKey);
  Job openJob = jobOf("a", this->open);
  CHECK(ownershipOf(openJob, anonymous) == Ownership::Allowed);
  openJob.queue.isPublic = false; // When the job ended, its queue was not public yet.
  openJob.phase = JobPhase::Succeeded;
  CHECK(ownershipOf(openJob, anonymous) == Ownership::Allowed);
  CHECK(ownershipOf(openJob, this->memberOf("b")) == Ownership::Foreign);
  CHECK(ownershipOf(jobOf("", this->closed), this->memberOf("b")) == Ownership::Allowed);
}

TEST(KeyTable, MovedAndRemovedKeysAreWithdrawn) {
  const KeyTable next(configurationOf(1, {workspaceOf("b", {"K", "k"}), workspaceOf("c", {"n"})}));
  const std::vector<WithdrawnKey> withdrawn = next.withdrawnSince(this->keys);
  CHECK_EQUAL(2U, withdrawn.size());
  for (const WithdrawnKey &key : withdrawn) {
    CHECK_EQUAL(std::string("a"), key.workspace);
    CHECK(key.digest == shortDigest("k") || key.digest == shortDigest("long key"));
  }
  CHECK(next.check(&this->closed, "k") == this->memberOf("b"));
  CHECK(ownershipOf(jobOf("a", this->closed), this->memberOf("b")) == Ownership::Foreign);
  CHECK(next.withdrawnSince(next).empty());
  // The published SHA-256 of "abc".
  CHECK_EQUAL(std::string("ba7816bf"), shortDigest("abc"));
}
