#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <utility>
#include <variant>

using namespace Bergamot;

// A run without progress is stopped; what counts as none depends on the time in which the run makes one percent.
TEST_GROUP(StalledRuns)
{
    static constexpr Milliseconds reportInterval { 500 };
    static constexpr uint32_t maxPercent { 100 };

    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
    StartTask active {};
    Instant startedAt { neverInstant };
    size_t stops { 0 };

    void start(Milliseconds estimate)
    {
        fixture.addWorker(1);
        auto step = fixture.step(1);
        step.estimateMs = static_cast<uint32_t>(estimate.count());
        scheduler.addJob(fixture.job("j", { step }), std::nullopt, neverInstant);
        plan();
        CHECK(startedAt != neverInstant);
    }

    /// Accepts starts, and ends a run that is stopped.
    void plan()
    {
        for (const auto& action : fixture.plan()) {
            if (const auto* start = std::get_if<StartTask>(&action)) {
                active = *start;
                startedAt = fixture.now();
                scheduler.commandAccepted(1, active.task, active.run, fixture.now());
            } else if (std::holds_alternative<StopTask>(action)) {
                ++stops;
                fixture.endRun(active, RunOutcome::Stopped, stops);
            }
        }
    }

    /// Lets time pass while the active run, which takes `runTime`, reports its progress from `first` up to `last`.
    void run(Milliseconds time, Milliseconds runTime, int64_t first = 0, int64_t last = maxPercent)
    {
        for (auto until = fixture.now() + time; fixture.now() < until;) {
            fixture.advance(reportInterval);
            auto percent = first + (fixture.now() - startedAt) * maxPercent / runTime;
            RunReport report { .task = active.task, .run = active.run };
            report.progressPercent = static_cast<uint32_t>(std::min(last, percent));
            scheduler.runsReported(1, { report }, RunEndCoverage::All, fixture.now(), fixture.now());
            plan();
        }
    }
};

// Guards against tasks of more than 300 s that are stopped again and again, because they need more than the timeout for
// one percent.
TEST(StalledRuns, RunOfTenMinutesIsNotStopped)
{
    constexpr Milliseconds runTime { 600000 };
    start(runTime);
    run(runTime, runTime);
    CHECK_EQUAL(0, stops);
}

TEST(StalledRuns, RunOfSixHoursIsNotStopped)
{
    constexpr Milliseconds runTime { 6 * 3600000 };
    start(runTime);
    run(runTime, runTime);
    CHECK_EQUAL(0, stops);
}

// Guards against a long run that hangs and is not stopped.
TEST(StalledRuns, LongRunWithoutFurtherProgressIsStopped)
{
    constexpr Milliseconds runTime { 600000 };
    constexpr int64_t hangsAt { 20 };
    start(runTime);
    run(runTime * hangsAt / maxPercent, runTime, 0, hangsAt);
    CHECK_EQUAL(0, stops);
    run(runTime / 20, runTime, 0, hangsAt);
    CHECK_EQUAL(1, stops);
}

// Guards against runs that go on from a checkpoint or under a new leader and whose pace seems much higher than it is.
TEST(StalledRuns, ProgressBeforeTheFirstReportIsNoPace)
{
    constexpr Milliseconds runTime { 600000 };
    start(runTime);
    run(runTime / 2, runTime, 40);
    CHECK_EQUAL(0, stops);
}

// Guards against a task that never ends because its estimate is too low.
TEST(StalledRuns, LongTaskWithAShortEstimateIsStoppedAFewTimesOnly)
{
    constexpr Milliseconds runTime { 600000 };
    constexpr size_t maxStops { 3 };
    start(Milliseconds { 1000 });
    run(runTime, runTime);
    CHECK_COMPARE(stops, <=, maxStops);
}

// Guards against short runs that hang for longer than before.
TEST(StalledRuns, ShortRunWithoutProgressIsStoppedAfterSeconds)
{
    constexpr Milliseconds runTime { 10000 };
    start(runTime);
    run(Milliseconds { 2500 }, runTime, 0, 10);
    CHECK_EQUAL(0, stops);
    run(Milliseconds { 2500 }, runTime, 0, 10);
    CHECK_EQUAL(1, stops);
}
