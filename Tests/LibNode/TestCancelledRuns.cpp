#include "CutOffCluster.h"
#include <CppUTest/TestHarness.h>
#include <LibWire/Codec.h>
#include <LibWire/JobQuery.h>
#include <variant>

using namespace Bergamot;

/// Time within which a task must have ended after the cancellation of its job was confirmed.
static constexpr Milliseconds maxCancelTime { 5200 };

TEST_GROUP(CancelledRuns)
{
    uint64_t lastQueryId { 0 };

    /// Asks the node to cancel the job. Returns whether it has confirmed this or an earlier request.
    bool cancelAt(CutOffCluster & it, CutOffCluster::Member & member)
    {
        member.peers.deliver(encodePeerMessage(JobQuery { .queryId = ++lastQueryId,
            .replyAddress = "caller",
            .kind = JobQueryKind::Cancel,
            .subject = it.task.job }));
        for (int i = 0; i < 40; ++i) {
            it.advance(Milliseconds { 10 });
            if (hasConfirmed(member))
                return true;
        }
        return false;
    }

    static bool hasConfirmed(const CutOffCluster::Member& member)
    {
        return std::ranges::any_of(member.peers.sent, [](const auto& sent) {
            auto message = decodePeerMessage(sent.second);
            const auto* reply = message.ok() ? std::get_if<JobQueryReply>(&*message) : nullptr;
            return reply && reply->state == JobStage::Cancelled;
        });
    }

    /// Repeats the request for `time`. Returns the time of the confirmation.
    Instant cancelFor(CutOffCluster & it, CutOffCluster::Member & member, Milliseconds time)
    {
        for (auto end = it.clock.now() + time; it.clock.now() < end;) {
            if (cancelAt(it, member))
                return it.clock.now();
        }
        return neverInstant;
    }

    /// Checks that the run of the cancelled job ends in time and for good.
    static void checkEnds(CutOffCluster & it, Instant confirmedAt)
    {
        CHECK(confirmedAt != neverInstant);
        if (auto left = confirmedAt + maxCancelTime - it.clock.now(); left > Milliseconds { 0 })
            it.advance(left);
        it.advance(Milliseconds { 3000 });
        CHECK_EQUAL(0, it.mostRuns);
    }
};

// Guards against a cancellation that is confirmed by a leader that has not contacted the workers, because it cannot
// read all jobs: its predecessor, which is cut off from the store, goes on renewing their leases meanwhile.
TEST(CancelledRuns, CancellationIsConfirmedOnceItsRunsCanBeStopped)
{
    constexpr Milliseconds maxTimeWithoutJobs { 9000 };
    CutOffCluster it;
    it.runTask(3);
    it.first.store.isCutOff = true;
    it.store.unreadable.insert({ StreamName::Jobs, 2 });
    auto end = it.clock.now() + maxTimeWithoutJobs;
    auto confirmedAt = cancelFor(it, it.second, maxTimeWithoutJobs);
    it.advance(std::max(Milliseconds { 0 }, end - it.clock.now()));
    it.store.unreadable.clear();
    if (confirmedAt == neverInstant)
        confirmedAt = cancelFor(it, it.second, Milliseconds { 3000 });
    checkEnds(it, confirmedAt);
}

/// How late a leader reads the replies of workers.
static constexpr Milliseconds readDelays[] { Milliseconds { 0 }, Milliseconds { 500 }, Milliseconds { 900 },
    Milliseconds { 1500 }, Milliseconds { 3000 }, Milliseconds { 5000 } };

/// Times of the cancellation, so that it meets reports and lease renewals in different states.
static constexpr Milliseconds delayStep { 300 };
static constexpr Milliseconds maxDelay { 2100 };

// Guards against a run that goes on because its leader reads replies late.
TEST(CancelledRuns, RunEndsInTimeUnderASlowLeader)
{
    for (auto readDelay : readDelays) {
        for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep) {
            CutOffCluster it;
            it.runTask(3);
            it.first.executor.readDelay = readDelay;
            it.advance(delay);
            checkEnds(it, cancelFor(it, it.first, Milliseconds { 10000 }));
        }
    }
}

// Guards against a run of the first of three leaders that goes on after the third, which reads replies late, has
// confirmed its cancellation.
TEST(CancelledRuns, RunEndsInTimeAfterTwoChangesOfLeader)
{
    for (auto readDelay : readDelays) {
        for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep) {
            CutOffCluster it;
            it.runTask(3);
            it.first.store.isCutOff = true;
            it.advance(Milliseconds { 4000 });
            it.first.store.isCutOff = false;
            it.first.executor.readDelay = readDelay;
            it.second.executor.readDelay = readDelay;
            it.advance(Milliseconds { 1000 } + delay);
            it.second.store.isCutOff = true;
            checkEnds(it, cancelFor(it, it.first, Milliseconds { 20000 }));
        }
    }
}

// Guards against a run on a worker that the new leader cannot reach and whose lease its predecessor, cut off from the
// store alone, renews until another worker rejects it.
TEST(CancelledRuns, RunEndsInTimeOnAWorkerThatTheNewLeaderCannotReach)
{
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep / 4) {
        CutOffCluster it;
        it.runTask(3);
        it.advance(delay);
        it.first.store.isCutOff = true;
        it.second.executor.unreachable = { "w1" };
        checkEnds(it, cancelFor(it, it.second, Milliseconds { 10000 }));
    }
}
