#include "TaskLeaderFixture.h"

using namespace Bergamot;

TEST_GROUP_BASE(PausedLeader, TaskLeaderFixture) {};

// Guards against a leader without proof of its leadership that takes replies from before a pause of its process for
// recent ones, and renews leases that its successor takes as expired.
TEST(PausedLeader, RepliesToRequestsFromBeforeThePauseRenewNoLease)
{
    constexpr Milliseconds pause { 4000 };
    for (bool isTimerFirst : { false, true }) {
        for (const auto* id : { "w1", "w2", "w3" })
            announce(id);
        putAssignedWorkers({ "w1", "w2", "w3" });
        elect();
        run(Milliseconds { 1000 });
        soleLeaderUntil = clock.now();
        run(Milliseconds { 1000 });
        CHECK_EQUAL(3, taskExecutor.renewLeaseCalls.size());
        CHECK(taskExecutor.renewLeaseCalls.front().request.leaseUntilMs.has_value());
        clock.advance(pause);
        if (isTimerFirst)
            loop->runReady();
        answerRenewals();
        CHECK_EQUAL(3, taskExecutor.renewLeaseCalls.size());
        for (const auto& call : taskExecutor.renewLeaseCalls)
            CHECK_FALSE(call.request.leaseUntilMs.has_value());
        grants.clear();
        run(Milliseconds { 1000 });
        CHECK(grantsTo("w1", epoch) > 0);
        soleLeaderUntil = Instant::max();
    }
}
