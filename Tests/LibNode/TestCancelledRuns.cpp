#include "CutOffCluster.h"
#include <CppUTest/TestHarness.h>
#include <LibWire/Codec.h>
#include <LibWire/JobQuery.h>
#include <variant>

using namespace Bergamot;

TEST_GROUP(CancelledRuns)
{
    /// Time within which a task must have ended after the cancellation of its job was confirmed.
    static constexpr Milliseconds maxCancelTime { 5200 };

    CutOffCluster it;
    uint64_t lastQueryId { 0 };

    /// Asks the second node to cancel the job. Returns whether it has confirmed this or an earlier request.
    bool cancelAtSecondNode()
    {
        it.second.peers.deliver(encodePeerMessage(JobQuery { .queryId = ++lastQueryId,
            .replyAddress = "caller",
            .kind = JobQueryKind::Cancel,
            .subject = it.task.job }));
        it.advance(Milliseconds { 400 });
        return std::ranges::any_of(it.second.peers.sent, [](const auto& sent) {
            auto message = decodePeerMessage(sent.second);
            const auto* reply = message.ok() ? std::get_if<JobQueryReply>(&*message) : nullptr;
            return reply && reply->state == JobStage::Cancelled;
        });
    }

    /// Repeats the request for `time`. Returns the time of the confirmation.
    Instant cancelFor(Milliseconds time)
    {
        for (auto end = it.clock.now() + time; it.clock.now() < end;) {
            if (cancelAtSecondNode())
                return it.clock.now();
        }
        return neverInstant;
    }
};

// Guards against a cancellation that is confirmed by a leader that has not contacted the workers, because it cannot
// read all jobs: its predecessor, which is cut off from the store, goes on renewing their leases meanwhile.
TEST(CancelledRuns, CancellationIsConfirmedOnceItsRunsCanBeStopped)
{
    constexpr Milliseconds maxTimeWithoutJobs { 9000 };
    it.runTask(3);
    it.first.store.isCutOff = true;
    it.store.unreadable.insert({ StreamName::Jobs, 2 });
    auto end = it.clock.now() + maxTimeWithoutJobs;
    auto confirmedAt = cancelFor(maxTimeWithoutJobs);
    it.advance(std::max(Milliseconds { 0 }, end - it.clock.now()));
    it.store.unreadable.clear();
    if (confirmedAt == neverInstant)
        confirmedAt = cancelFor(Milliseconds { 3000 });
    CHECK(confirmedAt != neverInstant);
    if (auto left = confirmedAt + maxCancelTime - it.clock.now(); left > Milliseconds { 0 })
        it.advance(left);
    CHECK_EQUAL(0, it.workers.runsOf(it.task));
    it.advance(Milliseconds { 1000 });
    CHECK_EQUAL(0, it.mostRuns);
}
