#include <CppUTest/TestHarness.h>
#include <LibWire/JobProgress.h>
#include <LibWire/ValueCodec.h>
#include <string>
#include <tuple>
#include <vector>

using namespace Bergamot;

TEST_GROUP(JobProgress) {};

// Guards against losing the crashes of a job when another leader reads its progress.
TEST(JobProgress, CrashesSurviveTheRoundTrip)
{
    JobProgress progress { .id = "j", .state = JobStage::Running, .done = { "01" } };
    progress.crashedRuns = { { .occurrence = 1,
        .step = 2,
        .index = 3,
        .run = 4,
        .worker = "w",
        .workerStartedAtMs = 5,
        .runTimeMs = 6,
        .isolated = true,
        .confirmed = true,
        .mayFollowUnrecordedCrash = true } };
    auto decoded = decodeValue<JobProgress>(encodeValue(progress));
    CHECK(decoded.ok());
    CHECK(*decoded == progress);
}

// Guards against refusing the progress that a leader of an earlier version stored.
TEST(JobProgress, RecordWithoutCrashesIsRead)
{
    std::tuple older { JobId("j"), JobStage::Running, std::vector<std::string> { "01" },
        std::vector<FailedRun> { { 0, 0, 1, 7 } } };
    auto decoded = decodeValue<JobProgress>(encodeValue(older));
    CHECK(decoded.ok());
    CHECK(decoded->crashedRuns.empty());
    CHECK_EQUAL(1, decoded->failedRuns.size());
}

// Guards against crashes that a leader of an earlier version cannot read, and against refusing those that it stored.
TEST(JobProgress, CrashesAreReadByEarlierVersionsAndFromThem)
{
    using OlderCrash = std::tuple<uint32_t, uint32_t, uint32_t, uint64_t, WorkerId, int64_t, uint32_t, bool, bool,
        double, bool, double>;
    CrashedRun crashed { .run = 4, .worker = "w", .expectedCrashes = 0.5, .mayFollowUnrecordedCrash = true };
    auto older = decodeValue<OlderCrash>(encodeValue(crashed));
    CHECK(older.ok());
    auto decoded = decodeValue<CrashedRun>(encodeValue(*older));
    CHECK(decoded.ok());
    CHECK(!decoded->mayFollowUnrecordedCrash);
    crashed.mayFollowUnrecordedCrash = false;
    CHECK(*decoded == crashed);
}

// Guards against taking tasks for idle of which a leader of an earlier version has stored nothing.
TEST(JobProgress, RecordWithoutIdleTasksNamesNone)
{
    std::tuple older { JobId("j"), JobStage::Running, std::vector<std::string> { "01" }, std::vector<FailedRun> {},
        std::vector<CrashedRun> {} };
    auto decoded = decodeValue<JobProgress>(encodeValue(older));
    CHECK(decoded.ok());
    CHECK(decoded->idleTasks.empty());
    CHECK_EQUAL(0, decoded->epoch);
}

// Guards against losing the idle tasks of a job when another leader reads its progress.
TEST(JobProgress, IdleTasksSurviveTheRoundTrip)
{
    JobProgress progress { .id = "j", .done = { "00" }, .idleTasks = { { 1, 2, 3 } }, .epoch = 7 };
    auto decoded = decodeValue<JobProgress>(encodeValue(progress));
    CHECK(decoded.ok());
    CHECK(*decoded == progress);
}

// Guards against waiting with a task for other workers than the one on which an earlier leader has started it.
TEST(JobProgress, PlacedTasksSurviveTheRoundTrip)
{
    JobProgress progress { .id = "j", .done = { "00" }, .epoch = 7, .placedTasks = { { 1, 2, 3, "w" } } };
    auto decoded = decodeValue<JobProgress>(encodeValue(progress));
    CHECK(decoded.ok());
    CHECK(*decoded == progress);
}

// Guards against relying on placements that a leader of an earlier version has not stored.
TEST(JobProgress, RecordOfAnEarlierVersionPlacesNoTask)
{
    std::tuple older { JobId("j"), JobStage::Running, std::vector<std::string> { "01" }, std::vector<FailedRun> {},
        std::vector<CrashedRun> {}, std::vector<IdleTask> {}, uint64_t { 7 } };
    auto decoded = decodeValue<JobProgress>(encodeValue(older));
    CHECK(decoded.ok());
    CHECK(decoded->placedTasks.empty());
    CHECK_EQUAL(7, decoded->epoch);
}

// Guards against losing ended occurrences when another leader reads the progress.
TEST(JobProgress, EndedOccurrencesSurviveTheRoundTrip)
{
    JobProgress progress { .id = "j", .done = { "01" }, .endedOccurrences = { { 0, 7 }, { 8, 3 } } };
    progress.doneOccurrences = { 7 };
    auto decoded = decodeValue<JobProgress>(encodeValue(progress));
    CHECK(decoded.ok());
    CHECK(*decoded == progress);
}

// Guards against refusing or misreading the progress that a leader of an earlier version stored.
TEST(JobProgress, RecordOfAnEarlierVersionDescribesAllOccurrences)
{
    std::tuple older { JobId("j"), JobStage::Running, std::vector<std::string> { "01" }, std::vector<FailedRun> {},
        std::vector<CrashedRun> {}, std::vector<IdleTask> {}, uint64_t { 7 }, std::vector<PlacedTask> {} };
    auto decoded = decodeValue<JobProgress>(encodeValue(older));
    CHECK(decoded.ok());
    CHECK(decoded->endedOccurrences.empty());
    CHECK(decoded->doneOccurrences.empty());
}
