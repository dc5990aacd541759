#include "NodeFixture.h"
#include <algorithm>
#include <fmt/format.h>

using namespace Bergamot;

/// A leader that takes over while the store holds the records of many ended jobs.
TEST_GROUP_BASE(RecoveryBesideEndedJobs, NodeFixture)
{
    static constexpr Milliseconds lease { 5000 };

    /// Time that the store needs for a page of records.
    static constexpr Milliseconds pageTime { 600 };
    static constexpr Milliseconds watchInterval { 100 };
    const std::string running { "00000000000000aa" };

    void setup() override
    {
        configure(7);
        announce("w1");
        putJob(running);
    }

    void putEndedJobs(uint64_t count)
    {
        for (uint64_t n = 0; n < count; ++n) {
            auto id = fmt::format("{:016x}", 0x1000 + n);
            putJob(id);
            putProgress({ .id = id, .state = JobStage::Completed });
        }
    }

    /// The longest time without a renewal of the lease of w1 within `time`.
    Milliseconds longestRenewalGap(Milliseconds time)
    {
        Milliseconds longest { 0 };
        for (Milliseconds passed { 0 }; passed < time; passed += watchInterval) {
            advance(watchInterval);
            longest = std::max(longest, clock.now() - lastRenewals["w1"]);
        }
        return longest;
    }
};

// Guards against a store so slow that the next test would fail beside any number of ended jobs.
TEST(RecoveryBesideEndedJobs, LeasesAreRenewedInTimeBesideFewEndedJobs)
{
    putEndedJobs(10);
    restartNode();
    advance(Milliseconds { 5000 });
    CHECK_EQUAL(2, startsOf(running));
    store.readNewestTime = pageTime;
    restartNode();
    CHECK(longestRenewalGap(Milliseconds { 15'000 }) < lease);
}

// Guards against running tasks that end because a new leader renews no lease before it has read the records of all
// ended jobs, which takes longer than a lease (all 900 tasks beside 500,000 ended jobs in bergamot-bench).
TEST(RecoveryBesideEndedJobs, LeasesAreRenewedWhileEndedJobsAreRead)
{
    putEndedJobs(2500);
    restartNode();
    advance(Milliseconds { 5000 });
    CHECK_EQUAL(2, startsOf(running));
    store.readNewestTime = pageTime;
    restartNode();
    CHECK(longestRenewalGap(Milliseconds { 15'000 }) < lease);
}
