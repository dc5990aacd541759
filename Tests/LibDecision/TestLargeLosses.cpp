#include "../CheckProperty.h"
#include "LargeService.h"

using namespace Bergamot;

namespace {

/// A long-running task has to run again this long after its last run while two workers have room for it.
constexpr Milliseconds maxTimeToRestart { 6000 };

constexpr Milliseconds observedTime { 8000 };
constexpr uint32_t seeds { 3 };

/// About a seventh.
constexpr size_t lostShare { 7 };

/// The tasks have twice the size, and some of them fit on no worker any more after a loss.
LargeService::Options largeTasks(uint32_t seed)
{
    return { .seed = seed,
        .workers = 490,
        .workerMillis = { 64000, 64000, 96000 },
        .jobs = 170,
        .meanMillis = 13000,
        .maxMillis = 20000,
        .shortTaskMillis = { 3000, 12000 },
        .shortTasksPerSecond = 600 };
}

/// The longest time that any task was without a run while two workers had room for it.
Milliseconds longestWaitWithRoom(LargeService& service)
{
    constexpr Milliseconds interval { 500 };
    Milliseconds longest { 0 };
    for (Milliseconds passed { 0 }; passed < observedTime; passed += interval) {
        service.passFor(interval);
        longest = std::max(longest, service.longestWaitWithRoom());
    }
    return longest;
}

}

TEST_GROUP(LargeLosses) {};

// Guards against tasks that wait for room only once the leases of their workers have ended, and for few workers at a
// time (LOST, grown Riga: 49 of 350 workers gone at once).
TEST(LargeLosses, LongRunningTasksRunAgainAfterASeventhOfTheWorkersIsLost)
{
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        LargeService service({ .seed = seed });
        service.lose(service.service().runs().size() / lostShare);
        auto longest = longestWaitWithRoom(service);
        CHECK_COMPARE(longest.count(), <=, maxTimeToRestart.count());
    }
}

// Guards against tasks that fit on no worker and keep others from having workers reserved (LOST, grown Sofia).
TEST(LargeLosses, LongRunningTasksRunAgainBesideOthersThatFitNowhereAfterALoss)
{
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        LargeService service(largeTasks(seed));
        service.lose(service.service().runs().size() / lostShare);
        auto longest = longestWaitWithRoom(service);
        CHECK_COMPARE(longest.count(), <=, maxTimeToRestart.count());
    }
}

// Guards against short tasks that get no room while long-running ones wait, however many these are.
TEST(LargeLosses, ShortTasksKeepThreeQuartersOfTheWorkers)
{
    constexpr Milliseconds second { 1000 };
    constexpr size_t workersPerReservation { 4 };
    constexpr int lostSeconds { 6 };
    LargeService service({});
    auto& busy = service.service();
    auto before = busy.shortStarts();
    service.passFor(second);
    auto usual = busy.shortStarts() - before;
    uint32_t mostReserved = 0;
    before = busy.shortStarts();
    service.loseBeforeLeasesEnd(busy.runs().size() / 2);
    for (int i = 0; i < lostSeconds; ++i) {
        service.passFor(second);
        auto use = busy.scheduler().workerUse();
        CHECK_COMPARE(use.reserved, <=, use.usable / workersPerReservation);
        mostReserved = std::max(mostReserved, use.reserved);
    }
    CHECK_COMPARE(mostReserved, >, 0);
    // Half of the workers are gone.
    auto starts = busy.shortStarts() - before;
    CHECK_COMPARE(starts, >=, lostSeconds * usual / workersPerReservation);
}

// Guards against the same for workers that leave as planned (LOST, grown Sofia: 15% of the workers leave).
TEST(LargeLosses, LongRunningTasksRunAgainBesideOthersThatFitNowhereAfterADrain)
{
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        LargeService service(largeTasks(seed));
        service.drain(service.service().runs().size() / lostShare);
        auto longest = longestWaitWithRoom(service);
        CHECK_COMPARE(longest.count(), <=, maxTimeToRestart.count());
    }
}
