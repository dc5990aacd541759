#include "SingleLeaderFixture.h"

using namespace Bergamot;

/// The end of a leader that has been replaced or destroyed.
TEST_GROUP_BASE(TaskLeaderFencing, SingleLeaderFixture) {};

// Guards against a leader that continues after a worker has rejected a command because it has seen a later epoch.
TEST(TaskLeaderFencing, FencedCommandDeposes)
{
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportUntilStarts(1, "w1", 50);
    CHECK_EQUAL(0, fencedCalls);
    taskExecutor.takeCommand().reply(TaskCommandReply { .outcome = TaskCommandOutcome::Fenced, .startedAtMs = 50 });
    // The owner may destroy the leader in onFenced, so onFenced is called in a later turn of the event loop.
    CHECK_EQUAL(0, fencedCalls);
    loop->runReady();
    CHECK_EQUAL(1, fencedCalls);
}

// Guards against a leader that continues after a worker has rejected its first lease renewal because it has seen a
// later epoch.
TEST(TaskLeaderFencing, FencedLeaseRenewalDeposes)
{
    announce("w1", 50);
    lead(false);
    for (int i = 0; i < 1000 && taskExecutor.renewLeaseCalls.empty(); ++i)
        advance(Milliseconds { 2 });
    taskExecutor.takeRenewLeaseCall().reply(
        RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    loop->runReady();
    CHECK_EQUAL(1, fencedCalls);
}

// Guards against a leader that continues after the store has rejected an append because it has seen a later epoch.
TEST(TaskLeaderFencing, FencedProgressDeposes)
{
    leadWithOneRun();
    AppendRequest later { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = "leader", .epoch = epoch + 1, .sequence = 0 } };
    store.append(later, Milliseconds { 100 }, [](const auto&) {});
    std::optional<JobQueryReply> reply;
    leader->handleQuery(
        { .kind = JobQueryKind::Cancel, .subject = "j" }, [&reply](const JobQueryReply& it) { reply = it; });
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, fencedCalls);
    CHECK_FALSE(reply.has_value());
}

// Guards against replies of workers and of the store that act on a leader after its destruction.
TEST(TaskLeaderFencing, NoCommandAfterDestruction)
{
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportUntilStarts(1, "w1", 50);
    advance(Milliseconds { 40 });
    auto start = taskExecutor.takeCommand();
    auto renewLeaseCalls = std::move(taskExecutor.renewLeaseCalls);
    taskExecutor.renewLeaseCalls.clear();
    leader.reset();
    start.reply(TaskCommandReply { .outcome = TaskCommandOutcome::Fenced });
    for (auto& call : renewLeaseCalls)
        call.reply(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    auto appends = store.appends;
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(0, fencedCalls);
    CHECK(taskExecutor.renewLeaseCalls.empty());
    CHECK(taskExecutor.commands.empty());
    CHECK_EQUAL(appends, store.appends);
}
