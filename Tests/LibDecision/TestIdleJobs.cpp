#include "PressedService.h"
#include <random>

using namespace Bergamot;

// How long a job of best-effort tasks has nothing running while workers have room beside their serving tasks.
TEST_GROUP(IdleJobs)
{ /// The time that a job may wait in the queue, and that which its first run may take from then on.
    static constexpr Milliseconds maxIdleTime { 9000 };
};

// Guards against jobs that never start because one of two images that ran together slows serving tasks down (review/9).
TEST(IdleJobs, ImageThatRanBesideADisturbingOneStartsAgain)
{
    PressedService service({});
    service.setPressure("scan", 5);
    for (int i = 0; i < 3; ++i) {
        service.addJob("report", 12);
        service.addJob("scan", 12);
        service.passFor(Milliseconds { 3000 });
    }
    service.passFor(Milliseconds { 9000 });
    auto last = service.addJob("report", 12);
    service.passFor(maxIdleTime);
    CHECK(service.hasStarted(last));
    CHECK_COMPARE(service.longestIdleTime().count(), <=, maxIdleTime.count());
}

// Guards against jobs whose tasks disturb most and wait without bound, because each margin goes to others (issue 67).
TEST(IdleJobs, JobsGetARunWhateverTheirPressure)
{
    constexpr uint32_t seeds { 100 };
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        PressedService service({ .seed = seed, .workers = 16, .servingImages = 1 + seed % 4, .swing = 0.5 });
        constexpr uint32_t images { 6 };
        for (uint32_t i = 0; i < images; ++i)
            service.setPressure("image" + std::to_string(i), random() % 2 == 0 ? 0 : 1 + random() % 5);
        constexpr int rounds { 20 };
        for (int i = 0; i < rounds; ++i) {
            service.addJob("image" + std::to_string(random() % images), 4 + random() % 8);
            service.passFor(Milliseconds { 500 + random() % 2000 });
            if (random() % 8 == 0)
                service.changeLeader();
        }
        service.passFor(maxIdleTime);
        CHECK_COMPARE_TEXT(service.longestIdleTime().count(), <=, maxIdleTime.count(), std::to_string(seed).c_str());
    }
}

// Guards against runs that start beside a serving task without room and keep it over its target (HARM).
TEST(IdleJobs, ServingTasksStayBelowTheirTargets)
{
    constexpr Milliseconds maxOverTarget { 4000 };
    constexpr uint32_t seeds { 10 };
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        PressedService service({ .seed = seed, .workers = 16, .servingImages = 2, .swing = 0.5 });
        service.setPressure("scan", 5);
        for (int i = 0; i < 12; ++i) {
            service.addJob("scan", 8);
            service.passFor(Milliseconds { 1500 });
        }
        CHECK_COMPARE_TEXT(service.longestOverTarget().count(), <, maxOverTarget.count(), std::to_string(seed).c_str());
    }
}

// Guards against jobs that no worker can take and that use up all searches, so that the others get no run.
TEST(IdleJobs, JobsThatFitNowhereDoNotHideOthers)
{
    PressedService service({});
    service.setPressure("scan", 5);
    constexpr int64_t moreThanAWorker { 200000 };
    for (int i = 0; i < 20; ++i)
        service.addJobOfLargeTasks(moreThanAWorker);
    for (int i = 0; i < 3; ++i)
        service.addJob("scan", 12);
    service.passFor(Milliseconds { 3000 });
    auto last = service.addJob("scan", 12);
    service.passFor(maxIdleTime);
    CHECK(service.hasStarted(last));
}

// Guards against a run that stays paused on its worker for good while its job counts as running.
TEST(IdleJobs, PausedRunIsMoved)
{
    PressedService service({ .workers = 2 });
    service.setPressure("scan", 20);
    service.addJob("scan", 1, 30000);
    service.passFor(Milliseconds { 15000 });
    CHECK_COMPARE(service.longestPause().count(), <=, 7000);
}
