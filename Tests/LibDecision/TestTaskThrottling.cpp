#include "TaskSchedulerFixture.h"
#include <map>
#include <vector>

using namespace Bergamot;

/// One worker with a serving task and two best-effort tasks that slow it down.
TEST_GROUP(TaskThrottling)
{
    static constexpr double targetLatencyMs { 40 };
    static constexpr Milliseconds reportInterval { 400 };
    static constexpr int64_t bestEffortMillis { 8000 };

    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
    StartTask serving;
    std::vector<StartTask> bestEffort;
    std::vector<ThrottleRun> throttles;

    void setup() override
    {
        fixture.addWorker(1);
        auto servingStep = fixture.step(1);
        servingStep.longRunning = true;
        servingStep.image = "s";
        servingStep.targetLatencyMs = targetLatencyMs;
        scheduler.addJob(fixture.job("serving", { servingStep }), std::nullopt, neverInstant);
        serving = fixture.planStarts().at(0);
        scheduler.addJob(fixture.job("best-effort", { bestEffortStep() }, "batch"), std::nullopt, neverInstant);
        bestEffort = fixture.planStarts();
        CHECK_EQUAL(2, bestEffort.size());
    }

    static StepSpec bestEffortStep()
    {
        auto step = TaskSchedulerFixture::step(2);
        step.bestEffort = true;
        step.image = "f";
        step.size.cpuMillis = bestEffortMillis;
        return step;
    }

    /// Has a new leader adopt the best-effort runs, each of which uses `usedMillis` and has no serving task beside it.
    std::vector<TaskAction> adoptByNewLeader(int64_t usedMillis)
    {
        TaskSchedulerFixture successor(2);
        successor.addWorker(1);
        successor.scheduler().addJob(
            successor.job("best-effort", { bestEffortStep() }, "batch"), std::nullopt, neverInstant);
        successor.advance(reportInterval);
        successor.scheduler().runsReported(1,
            { { bestEffort[0].task, bestEffort[0].run, "", 30, usedMillis },
                { bestEffort[1].task, bestEffort[1].run, "", 30, usedMillis } },
            RunEndCoverage::All, successor.now(), successor.now());
        return successor.plan();
    }

    /// Reports a tail latency of the serving task. The best-effort tasks use what their speed allows.
    void report(int64_t tailLatencyMs, int64_t usedMillis)
    {
        fixture.advance(reportInterval);
        scheduler.runsReported(1,
            { { serving.task, serving.run, "", 100, tailLatencyMs },
                { bestEffort[0].task, bestEffort[0].run, "", ++progress, usedMillis },
                { bestEffort[1].task, bestEffort[1].run, "", progress, usedMillis } },
            RunEndCoverage::All, fixture.now(), fixture.now());
        for (const auto& action : fixture.plan()) {
            if (const auto* throttle = std::get_if<ThrottleRun>(&action))
                throttles.push_back(*throttle);
        }
    }

    /// Teaches the model that the best-effort tasks slow down the serving task.
    void learnPressure()
    {
        for (int i = 0; i < 4; ++i)
            report(10, 0);
        for (int i = 0; i < 4; ++i)
            report(34, 8000);
    }

    uint32_t progress { 0 };
};

// Guards against a throttle command for most runs whenever another run starts or ends beside them: a leader of 540
// workers sent 900 a second and fell behind (SHORT on day trouble-1 of the large Riga site).
TEST(TaskThrottling, SpeedIsRaisedOnceASecondAtMost)
{
    constexpr int reports { 20 };
    learnPressure();
    throttles.clear();
    for (int i = 0; i < reports; ++i) {
        // The serving task has load peaks of one report each.
        report(i % 2 == 0 ? 41 : 11, 4000);
    }
    std::map<uint32_t, uint32_t> speeds;
    std::map<uint32_t, int> raises;
    for (const auto& it : throttles) {
        auto previous = speeds.find(it.task.index);
        raises[it.task.index] += previous != speeds.end() && it.speedPercent > previous->second ? 1 : 0;
        speeds[it.task.index] = it.speedPercent;
    }
    for (const auto& [index, count] : raises)
        CHECK_COMPARE(count, <=, reports * reportInterval.count() / 1000);
}

// Guards against a limit on speed changes that also delays the reduction of a run that makes a serving task miss its
// target.
TEST(TaskThrottling, SpeedIsReducedAtOnceWhenTheTargetIsMissed)
{
    learnPressure();
    for (int i = 0; i < 4; ++i)
        report(12, 4000);
    throttles.clear();
    report(50, 8000);
    CHECK_EQUAL(2, throttles.size());
    CHECK(throttles[0].speedPercent <= 10);
}

// Guards against runs that stay paused under a new leader, which assumes that they run at full speed and stops them as
// stalled after 3 s.
TEST(TaskThrottling, NewLeaderResumesRunsThatItsPredecessorPaused)
{
    auto actions = adoptByNewLeader(0);
    CHECK_EQUAL(2, actions.size());
    for (const auto& action : actions) {
        const auto* throttle = std::get_if<ThrottleRun>(&action);
        CHECK(throttle != nullptr);
        CHECK_EQUAL(100, throttle->speedPercent);
    }
}

// Guards against a throttle command for each run at a change of the leader.
TEST(TaskThrottling, NewLeaderSendsNoThrottleToRunsAtFullSpeed)
{
    CHECK_EQUAL(0, adoptByNewLeader(bestEffortMillis).size());
}
