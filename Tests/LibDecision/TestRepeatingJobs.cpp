#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(RepeatingJobs)
{
    static constexpr int64_t intervalMs { 60'000 };

    /// Thirty days of minutes.
    static constexpr uint32_t manyRepeats { 43'200 };
    TaskSchedulerFixture fixture;

    /// The first occurrence is due one interval after 1970.
    static JobSpec repeatingJob(uint32_t repeats)
    {
        auto spec = TaskSchedulerFixture::job("j", { TaskSchedulerFixture::step(1) });
        spec.repeats = repeats;
        spec.firstDueMs = intervalMs;
        spec.intervalMs = intervalMs;
        return spec;
    }

    static void addWorkers(TaskSchedulerFixture & to)
    {
        for (WorkerHandle handle = 1; handle <= 2; ++handle) {
            to.addWorker(handle);
            to.scheduler().setReachable(handle, true, to.now());
        }
    }

    /// Lets the clock show the time at which this occurrence is due.
    static void goTo(TaskSchedulerFixture & to, uint32_t occurrence)
    {
        to.advance(Milliseconds { (occurrence + 1) * intervalMs } - to.now().time_since_epoch());
    }

    static std::vector<uint32_t> occurrencesOf(const std::vector<StartTask>& starts)
    {
        std::vector<uint32_t> result;
        result.reserve(starts.size());
        for (const auto& start : starts)
            result.push_back(start.task.occurrence);
        std::ranges::sort(result);
        return result;
    }

    /// Returns the latest record.
    JobProgress store(TaskSchedulerFixture & of)
    {
        auto changed = of.scheduler().takeChangedJobs();
        CHECK_EQUAL(1, changed.size());
        of.scheduler().progressStored(changed.front());
        return changed.front();
    }

    void completeAll(TaskSchedulerFixture & in, const std::vector<StartTask>& starts)
    {
        for (const auto& start : starts)
            in.endRun(start, RunOutcome::Done);
    }

    /// Runs all occurrences from `first` to the one before `end`, and returns the latest record.
    JobProgress runOccurrences(TaskSchedulerFixture & in, uint32_t first, uint32_t end)
    {
        JobProgress progress;
        for (auto k = first; k < end; ++k) {
            goTo(in, k);
            auto starts = in.planStarts();
            CHECK_EQUAL(1, starts.size());
            CHECK_EQUAL(k, starts.front().task.occurrence);
            completeAll(in, starts);
            progress = store(in);
        }
        return progress;
    }

    void setup() override { addWorkers(fixture); }
};

// Guards against leaders that exceed their memory because jobs repeat for a month (review/10).
TEST(RepeatingJobs, OccurrencesThatAreNotDueAreNotBuilt)
{
    CHECK(fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant));
    CHECK(fixture.planStarts().empty());
    CHECK_EQUAL(0, fixture.scheduler().builtOccurrences());
    runOccurrences(fixture, 0, 3);
    CHECK_COMPARE(fixture.scheduler().builtOccurrences(), <=, 1);
    goTo(fixture, 5);
    CHECK_EQUAL(3, fixture.planStarts().size());
    CHECK_EQUAL(3, fixture.scheduler().builtOccurrences());
}

// Guards against records that grow with each occurrence, and against a new leader that builds those that have ended.
TEST(RepeatingJobs, RecordsAndTakeoversCostByTheOccurrencesThatHaveNotEnded)
{
    constexpr uint32_t ended { 3000 };
    fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant);
    auto progress = runOccurrences(fixture, 0, ended);
    CHECK(progress.done.empty());
    CHECK_EQUAL(1, progress.endedOccurrences.size());
    CHECK(progress.endedOccurrences.front() == (OccurrenceRange { 0, ended }));
    CHECK_COMPARE(fixture.scheduler().timelineOf("j")->steps.size(), <=, 300);

    TaskSchedulerFixture successor(2);
    addWorkers(successor);
    successor.scheduler().addJob(repeatingJob(manyRepeats), progress, neverInstant);
    CHECK_EQUAL(0, successor.scheduler().builtOccurrences());
    CHECK(successor.scheduler().stateOf("j") == JobStage::Running);
    runOccurrences(successor, ended, ended + 2);
}

// Guards against a successor that runs occurrences again or leaves out some that overlap.
TEST(RepeatingJobs, SuccessorContinuesOverlappingOccurrences)
{
    constexpr uint32_t ended { 2000 };
    constexpr uint32_t last { ended + 5 };
    auto spec = repeatingJob(manyRepeats);
    spec.steps.push_back(TaskSchedulerFixture::step(2, { 0 }));
    fixture.scheduler().addJob(spec, std::nullopt, neverInstant);
    std::vector<StartTask> lasting;
    JobProgress progress;
    for (uint32_t k = 0; k <= last; ++k) {
        goTo(fixture, k);
        completeAll(fixture, fixture.planStarts());
        auto second = fixture.planStarts();
        CHECK_EQUAL(2, second.size());
        // One of two tasks is done in two of the occurrences.
        if (k == 7 || k == last)
            second.pop_back();
        completeAll(fixture, second);
        progress = store(fixture);
    }
    CHECK_EQUAL(2, progress.doneOccurrences.size());
    CHECK_EQUAL(4, progress.done.size());
    CHECK_EQUAL(2, progress.endedOccurrences.size());

    TaskSchedulerFixture successor(2);
    addWorkers(successor);
    successor.scheduler().addJob(spec, progress, neverInstant);
    CHECK_EQUAL(2, successor.scheduler().builtOccurrences());
    goTo(successor, last + 2);
    // The two that are left, and two that have become due meanwhile.
    auto starts = successor.planStarts();
    std::vector<uint32_t> expected { 7, last, last + 1, last + 2 };
    CHECK(occurrencesOf(starts) == expected);
    for (const auto& start : starts)
        CHECK_EQUAL(start.task.occurrence <= last ? 1 : 0, start.task.step);
}

// Guards against an end that leaves out an occurrence.
TEST(RepeatingJobs, JobCompletesOnceAllOccurrencesHaveEndedInAnyOrder)
{
    constexpr uint32_t repeats { 1200 };
    fixture.addWorker(1, { 2'000'000, 2'000'000, 0 });
    fixture.scheduler().addJob(repeatingJob(repeats), std::nullopt, neverInstant);
    goTo(fixture, repeats);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(repeats, starts.size());
    std::ranges::sort(starts, {}, [](const StartTask& it) { return (it.task.occurrence * 7919U) % repeats; });
    for (const auto& start : starts) {
        CHECK_FALSE(fixture.scheduler().stateOf("j") == JobStage::Completed);
        fixture.endRun(start, RunOutcome::Done);
        store(fixture);
        CHECK(fixture.planStarts().empty());
    }
    CHECK(fixture.scheduler().stateOf("j") == JobStage::Completed);
    CHECK_COMPARE(fixture.scheduler().builtOccurrences(), <=, 1);
}

// Guards against a job that never ends because its last occurrence ended under a leader that stored no end.
TEST(RepeatingJobs, JobWhoseOccurrencesHaveAllEndedCompletesUnderANewLeader)
{
    JobProgress stored { .id = "j", .state = JobStage::Running, .endedOccurrences = { { 0, manyRepeats } } };
    fixture.scheduler().addJob(repeatingJob(manyRepeats), stored, neverInstant);
    CHECK(fixture.planStarts().empty());
    CHECK(store(fixture).state == JobStage::Completed);
}

// Guards against a cancelled job that goes on, or whose data is never freed.
TEST(RepeatingJobs, CancelledJobStartsNoFurtherOccurrence)
{
    fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant);
    runOccurrences(fixture, 0, 2);
    goTo(fixture, 2);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(1, starts.size());
    CHECK(fixture.scheduler().cancelJob("j") == JobStage::Cancelled);
    goTo(fixture, 4);
    CHECK(fixture.planStarts().empty());
    store(fixture);
    fixture.scheduler().releaseDetails("j");
    CHECK_EQUAL(1, fixture.scheduler().jobCount());
    fixture.endRun(starts.front(), RunOutcome::Stopped);
    fixture.scheduler().takeChangedJobs();
    CHECK_EQUAL(0, fixture.scheduler().jobCount());
}

// Guards against freeing an occurrence while the worker still has a copy of its task.
TEST(RepeatingJobs, EndedOccurrenceIsKeptUntilItsRunsHaveEnded)
{
    fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant);
    goTo(fixture, 0);
    auto starts = fixture.planStarts();
    // The task ends in a run of an earlier leader.
    auto earlier = starts.front();
    earlier.run = 1;
    fixture.endRun(earlier, RunOutcome::Done);
    fixture.plan();
    CHECK_EQUAL(1, fixture.scheduler().builtOccurrences());
    CHECK(fixture.scheduler().hasRun(starts.front().worker, starts.front().task, starts.front().run));
    fixture.endRun(starts.front(), RunOutcome::Stopped, 2);
    fixture.plan();
    CHECK_EQUAL(0, fixture.scheduler().builtOccurrences());
    // The worker may list its end again.
    fixture.endRun(starts.front(), RunOutcome::Failed, 3);
    CHECK_EQUAL(0, fixture.scheduler().builtOccurrences());
}

// Guards against failed runs that are stored for ever, and against losing their number.
TEST(RepeatingJobs, FailedRunsOfEndedOccurrencesAreNotStored)
{
    fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant);
    goTo(fixture, 0);
    fixture.endRun(fixture.planStarts().front(), RunOutcome::Failed);
    CHECK_EQUAL(1, store(fixture).failedRuns.size());
    completeAll(fixture, fixture.planStarts());
    fixture.plan();
    CHECK(store(fixture).failedRuns.empty());
    CHECK(runOccurrences(fixture, 1, 3).failedRuns.empty());
    CHECK_EQUAL(1, fixture.scheduler().timelineOf("j")->failedRuns);
}

// Guards against leaders that exceed their memory because all occurrences of many jobs are due at once, after an outage
// or with a first time in the past (issue 70), under a new leader too.
TEST(RepeatingJobs, OccurrencesThatAreDueAtOnceAreBuiltAsWorkersTakeTheEarlierOnes)
{
    constexpr uint32_t jobs { 24 };
    constexpr size_t capacity { 64 };
    constexpr size_t maxBuilt { 5000 };
    TaskSchedulerFixture successor(2);
    addWorkers(successor);
    std::map<JobId, JobProgress> records;
    for (auto* leader : { &fixture, &successor }) {
        for (uint32_t i = 0; i < jobs; ++i) {
            auto spec = repeatingJob(manyRepeats);
            spec.id = "j" + std::to_string(i);
            auto stored = records.contains(spec.id) ? std::optional(records.at(spec.id)) : std::nullopt;
            leader->scheduler().addJob(spec, stored, neverInstant);
        }
        goTo(*leader, manyRepeats);
        for (int round = 0; round < 20; ++round) {
            auto starts = leader->planStarts();
            CHECK_EQUAL(capacity, starts.size());
            CHECK_COMPARE(leader->scheduler().builtOccurrences(), <=, maxBuilt);
            CHECK_COMPARE(leader->scheduler().deferredOccurrences(), >, 1'000'000);
            completeAll(*leader, starts);
        }
        for (const auto& progress : leader->scheduler().takeChangedJobs())
            records.insert_or_assign(progress.id, progress);
    }
}

// Guards against occurrences that are left out, or run again, because they waited for earlier ones.
TEST(RepeatingJobs, EachOfManyOccurrencesThatAreDueAtOnceRunsOnce)
{
    constexpr uint32_t repeats { 10'000 };
    for (int64_t interval : { intervalMs, int64_t { 1 }, int64_t { 0 } }) {
        TaskSchedulerFixture leader;
        leader.addWorker(1, { 2'000'000, 2'000'000, 0 });
        auto spec = repeatingJob(repeats);
        spec.intervalMs = interval;
        leader.scheduler().addJob(spec, std::nullopt, neverInstant);
        goTo(leader, repeats);
        std::vector<uint32_t> started;
        for (auto starts = leader.planStarts(); !starts.empty(); starts = leader.planStarts()) {
            std::ranges::copy(occurrencesOf(starts), std::back_inserter(started));
            completeAll(leader, starts);
        }
        std::ranges::sort(started);
        std::vector<uint32_t> expected(repeats);
        std::iota(expected.begin(), expected.end(), 0U);
        CHECK(started == expected);
        store(leader);
        CHECK(leader.scheduler().stateOf("j") == JobStage::Completed);
        CHECK_EQUAL(0, leader.scheduler().deferredOccurrences());
    }
}

// Guards against a job whose tasks no worker can take, and which holds back the occurrences of other jobs.
TEST(RepeatingJobs, JobWithoutAWorkerHoldsBackOnlyItself)
{
    auto stuck = repeatingJob(manyRepeats);
    stuck.id = "stuck";
    stuck.steps.front().size.cpuMillis = 1'000'000;
    fixture.scheduler().addJob(stuck, std::nullopt, neverInstant);
    goTo(fixture, manyRepeats);
    CHECK(fixture.planStarts().empty());
    fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant);
    for (int round = 0; round < 5; ++round) {
        auto starts = fixture.planStarts();
        CHECK_EQUAL(64, starts.size());
        completeAll(fixture, starts);
    }
}

// Guards against running occurrences again that a leader of an earlier version has stored as done.
TEST(RepeatingJobs, RecordOfAnEarlierVersionIsContinued)
{
    JobProgress stored { .id = "j", .state = JobStage::Running };
    stored.done.assign(manyRepeats, "0");
    std::fill_n(stored.done.begin(), 1500, "1");
    stored.done[3] = "0";
    fixture.scheduler().addJob(repeatingJob(manyRepeats), stored, neverInstant);
    CHECK_EQUAL(0, fixture.scheduler().builtOccurrences());
    goTo(fixture, 1501);
    std::vector<uint32_t> expected { 3, 1500, 1501 };
    CHECK(occurrencesOf(fixture.planStarts()) == expected);
}

// Guards against a leader of an earlier version that repeats the occurrences of a job with few of them.
TEST(RepeatingJobs, RecordOfFewOccurrencesIsReadByEarlierVersions)
{
    fixture.scheduler().addJob(repeatingJob(manyRepeats), std::nullopt, neverInstant);
    auto progress = runOccurrences(fixture, 0, 30);
    CHECK(progress.endedOccurrences.empty());
    CHECK(progress.doneOccurrences.empty());
    CHECK(progress.done == std::vector<std::string>(30, "1"));
}

// Guards against a new leader that ends on progress that does not match its job.
TEST(RepeatingJobs, UnusableNumbersOfOccurrencesAreLeftOut)
{
    constexpr auto max = std::numeric_limits<uint32_t>::max();
    JobProgress stored { .id = "j", .state = JobStage::Running, .done = { "1", "0", "11", "", "1" } };
    stored.endedOccurrences = { { 1, 1 }, { 4, max }, { max, max }, { 2, 0 } };
    stored.doneOccurrences = { 0, 0, max, 4 };
    fixture.scheduler().addJob(repeatingJob(5), stored, neverInstant);
    goTo(fixture, 10);
    std::vector<uint32_t> expected { 2, 3 };
    CHECK(occurrencesOf(fixture.planStarts()) == expected);
}
