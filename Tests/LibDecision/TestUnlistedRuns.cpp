#include "TaskSchedulerFixture.h"
#include <functional>

using namespace Bergamot;

TEST_GROUP(UnlistedRuns)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
};

// Guards against a second run of a task whose end is not among the ends that its worker returns at a time (TWICE in
// issue 38), whatever shows the leader that the run exists: an accepted start or stop, the refusal of a start that has
// come too late, or the worker's list.
TEST(UnlistedRuns, RunIsKeptWhileTheEndsOfItsWorkerAreNotAllListed)
{
    auto accept = [&](const StartTask& it) { scheduler.commandAccepted(1, it.task, it.run, fixture.now()); };
    const std::vector<std::function<void(const StartTask&)>> confirmations {
        accept,
        [&](const StartTask& it) {
            accept(it);
            scheduler.cancelJob(it.task.job);
            fixture.plan();
            accept(it);
        },
        [&](const StartTask& it) {
            scheduler.startRefused(1, it.task, it.run, TaskScheduler::StartRefusal::Superseded, fixture.now());
        },
        [&](const StartTask& it) {
            scheduler.runsReported(
                1, { { .task = it.task, .run = it.run } }, RunEndCoverage::Oldest, fixture.now(), fixture.now());
        },
    };
    fixture.addWorker(1);
    for (size_t i = 0; i < confirmations.size(); ++i) {
        scheduler.addJob(fixture.job(std::to_string(i), { fixture.step(1) }), std::nullopt, neverInstant);
        auto starts = fixture.planStarts();
        CHECK_EQUAL(1, starts.size());
        confirmations[i](starts[0]);
        for (int reports = 0; reports < 400; ++reports) {
            fixture.advance(Milliseconds { 10 });
            CHECK_EQUAL(0, scheduler.runsReported(1, {}, RunEndCoverage::Oldest, fixture.now(), fixture.now()));
        }
        CHECK_EQUAL(0, fixture.planStarts().size());
        CHECK_EQUAL(1, scheduler.runsReported(1, {}, RunEndCoverage::All, fixture.now(), fixture.now()));
        for (const auto& start : fixture.planStarts())
            fixture.endRun(start, RunOutcome::Done);
    }
}

// Guards against stops of runs that have ended, which make no progress in the reports that leave their ends out.
TEST(UnlistedRuns, RunWithoutAListedEndIsNotTakenForStalled)
{
    fixture.addWorker(1);
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), std::nullopt, neverInstant);
    auto starts = fixture.planStarts();
    scheduler.commandAccepted(1, starts[0].task, starts[0].run, fixture.now());
    fixture.advance(Milliseconds { 8000 });
    scheduler.runsReported(1, {}, RunEndCoverage::Oldest, fixture.now(), fixture.now());
    CHECK_EQUAL(0, fixture.plan().size());
    scheduler.runsReported(1, { { .task = starts[0].task, .run = starts[0].run, .progressPercent = 0 } },
        RunEndCoverage::Oldest, fixture.now(), fixture.now());
    CHECK_EQUAL(1, fixture.plan().size());
}
