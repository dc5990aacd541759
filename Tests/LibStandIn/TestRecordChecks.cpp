#include <CppUTest/TestHarness.h>
#include <LibStandIn/RecordChecker.h>
#include <LibStandIn/RecordJson.h>
#include <fmt/format.h>

using namespace Bergamot;

/// Returns a run without violations in which every check examines at least one record.
static RunRecords validRun()
{
    RunRecords run;
    run.tasks = {
        { .task = { "j", 1 },
            .worker = "w1",
            .zone = "z1",
            .startMs = 100,
            .endMs = 200,
            .checkpoint = "j#1#500",
            .outcome = "evicted",
            .acknowledged = true },
        { .task = { "j", 2 },
            .worker = "w2",
            .zone = "z2",
            .startMs = 200,
            .endMs = 300,
            .resumedFrom = "j#1#500",
            .outcome = "completed" },
    };
    run.jobs = { { .key = "kj", .job = "j", .finalState = "completed" } };
    run.executions = { { .requestId = "r1", .key = "k1", .worker = "w1", .startMs = 110, .endMs = 114 },
        { .requestId = "r2", .key = "k2", .nonIdempotent = true, .worker = "w2", .startMs = 120, .endMs = 124 } };
    run.workers = { { .worker = "w1",
        .capacity = { 4, 4, 0 },
        .highest = { 4, 3, 0 },
        .slots = 8,
        .highestSlots = 8,
        .connections = 64,
        .highestConnections = 8 } };
    run.requests = {
        { .key = "k1",
            .entry = "e1",
            .sentMs = 105,
            .answeredMs = 115,
            .status = 200,
            .ran = "yes",
            .digest = "d1",
            .answerDigest = "d1",
            .isComplete = true },
        { .key = "k2",
            .entry = "e1",
            .nonIdempotent = true,
            .sentMs = 105,
            .answeredMs = 110,
            .status = 503,
            .ran = "no" },
        { .key = "k2",
            .entry = "e2",
            .nonIdempotent = true,
            .sentMs = 111,
            .answeredMs = 130,
            .status = 200,
            .ran = "yes",
            .digest = "d2",
            .answerDigest = "d2",
            .isComplete = true },
    };
    run.zones = { { "z1", true, 1000 }, { "z1", false, 9000 } };
    run.hostStates = { { "w1", "leaving", 1000 } };
    run.stops = { { "e2", true, 120, 500 } };
    run.configsAccepted = { { 2, 1000 } };
    run.configsSeen = { { "e1", 1, 5900 }, { "e1", 2, 6100 }, { "e2", 2, 5000 } };
    return run;
}

/// Returns the number of violations of each violated promise, such as `P2=1 P3=1 `.
static std::string violated(const RunRecords& run)
{
    std::string text;
    for (const auto& result : checkAllPromises(run)) {
        if (!result.violations.empty())
            text += fmt::format("{}={} ", result.promise, result.violations.size());
    }
    return text;
}

static void checkViolates(const char* expected, void (*change)(RunRecords&))
{
    auto run = validRun();
    change(run);
    STRCMP_EQUAL(expected, violated(run).c_str());
}

TEST_GROUP(RecordChecks) {};

// Guards against checks that report violations in a valid run, or that examine no record.
TEST(RecordChecks, ValidRunIsExaminedAndHasNoViolation)
{
    STRCMP_EQUAL("", violated(validRun()).c_str());
    auto results = checkAllPromises(validRun());
    CHECK_EQUAL(10U, results.size());
    for (const auto& result : results)
        CHECK(result.examined > 0);
}

// Guards against checks of attempts and placements that miss a violation.
TEST(RecordChecks, ViolationsOfTasks)
{
    checkViolates("P1=1 ", [](auto& run) { run.workers[0].highest.memoryMb = 5; });
    checkViolates("P1=1 ", [](auto& run) { run.workers[0].overCommitAttempts = 1; });
    checkViolates("P1=1 ", [](auto& run) { run.workers[0].highestSlots = 9; });
    checkViolates("P2=1 ", [](auto& run) { run.tasks[1].startMs = 199; });
    checkViolates("P2=1 ", [](auto& run) { run.tasks[0].endMs.reset(); });
    checkViolates("P2=1 ", [](auto& run) { run.tasks[1].startMs = 50, run.tasks[1].endMs = 60; });
    checkViolates("P2=1 P3=1 ", [](auto& run) { run.tasks[1].task.attempt = 1, run.tasks[1].resumedFrom = ""; });
    checkViolates("P2=1 ", [](auto& run) { run.tasks[0].outcome = "completed"; });
    checkViolates("P3=1 ", [](auto& run) { run.jobs[0].finalState = "placed", run.jobs[0].stateMs = 60'301; });
    checkViolates("", [](auto& run) { run.jobs[0].finalState = "placed", run.jobs[0].stateMs = 60'300; });
    checkViolates("P3=1 ", [](auto& run) { run.tasks[1].resumedFrom = ""; });
    checkViolates("P3=1 ", [](auto& run) { run.tasks[1].resumedFrom = "j#1#400"; });
    checkViolates("P3=1 ", [](auto& run) { run.tasks[1].outcome = "failed"; });
    checkViolates(
        "P4=1 ", [](auto& run) { run.tasks[1].zone = "z1", run.tasks[1].startMs = 4001, run.tasks[1].endMs = 4100; });
    checkViolates(
        "", [](auto& run) { run.tasks[1].zone = "z1", run.tasks[1].startMs = 4000, run.tasks[1].endMs = 4100; });
    checkViolates(
        "", [](auto& run) { run.tasks[1].zone = "z1", run.tasks[1].startMs = 9000, run.tasks[1].endMs = 9100; });
    checkViolates(
        "P8=1 ", [](auto& run) { run.tasks[1].worker = "w1", run.tasks[1].startMs = 4001, run.tasks[1].endMs = 4100; });
}

// Guards against a check that accepts a second resumption from a checkpoint after a newer checkpoint was recorded.
TEST(RecordChecks, SecondResumptionFromOneCheckpoint)
{
    checkViolates("P3=1 ", [](auto& run) {
        auto third = run.tasks[1];
        run.tasks[1].outcome = "evicted", run.tasks[1].checkpoint = "j#2#700", run.tasks[1].acknowledged = true;
        third.task.attempt = 3, third.startMs = 300, third.endMs = 400;
        run.tasks.push_back(third);
    });
    checkViolates("", [](auto& run) {
        auto third = run.tasks[1];
        run.tasks[1].outcome = "lost", run.tasks[1].checkpoint = "j#2#700";
        third.task.attempt = 3, third.startMs = 300, third.endMs = 400;
        run.tasks.push_back(third);
    });
}

// Guards against checks of quick requests that miss a violation.
TEST(RecordChecks, ViolationsOfRequests)
{
    checkViolates("P5=1 ", [](auto& run) { run.requests[0].answerDigest = "d2"; });
    checkViolates("P5=1 ", [](auto& run) { run.requests[0].isComplete = false; });
    checkViolates("P5=2 ", [](auto& run) { run.executions[0].key = ""; });
    checkViolates("P6=1 ", [](auto& run) { run.executions[1].startMs = 109; });
    checkViolates("P6=1 ", [](auto& run) { run.requests[2].ran = "no", run.requests[2].status = 503; });
    checkViolates("P6=1 ", [](auto& run) { run.jobs[0].job = "", run.jobs[0].ran = "no"; });
    checkViolates("", [](auto& run) { run.jobs[0].job = "", run.jobs[0].ran = "unknown"; });
    checkViolates("P7=1 ", [](auto& run) { run.executions.push_back(run.executions[1]); });
    checkViolates("P7=1 ", [](auto& run) {
        run.executions[1].nonIdempotent = false;
        run.executions.push_back(run.executions[1]);
    });
    checkViolates("P8=1 ", [](auto& run) { run.executions[0].startMs = 4001; });
}

// Guards against checks of stops and configuration that miss a violation.
TEST(RecordChecks, ViolationsOfOperations)
{
    checkViolates("P9=1 ", [](auto& run) { run.requests[2].status = 0, run.requests[2].error = "cut_off"; });
    checkViolates("", [](auto& run) {
        run.requests[2].status = 0, run.requests[2].error = "cut_off", run.stops[0].isPlanned = false;
    });
    checkViolates("P9=1 ",
        [](auto& run) { run.stops[0].atMs = 105, run.requests[2].status = 0, run.requests[2].error = "cut_off"; });
    checkViolates("", [](auto& run) {
        run.stops[0].atMs = 105, run.requests[2].status = 0, run.requests[2].error = "cut_off";
        run.executions.pop_back();
    });
    checkViolates("P10=1 ", [](auto& run) { run.configsSeen[1].version = 1; });
    checkViolates("P10=1 ", [](auto& run) { run.configsSeen.push_back({ "e2", 1, 5600 }); });
    checkViolates("", [](auto& run) { run.configsSeen.push_back({ "e2", 0, 400 }); });
}

// Guards against records that change or are skipped when they are written as JSON lines and parsed again.
TEST(RecordChecks, LinesRoundTrip)
{
    auto run = validRun();
    RunRecords read;
    CHECK(read.addLines(toJson(run.tasks[0]).dump() + "\n" + toJson(run.executions[1]).dump() + "\n").ok());
    CHECK(read.addLine(toJson(run.workers[0]).dump()).ok());
    CHECK(read.addLine(toJson(run.requests[2]).dump()).ok());
    CHECK(read.addLine(toJson(run.jobs[0]).dump()).ok());
    CHECK(read.addLine(R"({"type":"zone","zone":"z1","out":true,"at_ms":5})").ok());
    CHECK(read.tasks[0] == run.tasks[0]);
    CHECK(read.executions[0] == run.executions[1]);
    CHECK(read.workers[0] == run.workers[0]);
    CHECK(read.requests[0] == run.requests[2]);
    CHECK(read.jobs[0] == run.jobs[0]);
    CHECK(read.zones[0].isOut);
    for (const auto* bad : { "{", "[]", R"({"type":"other"})", R"({"type":"zone","zone":"z1"})" })
        CHECK(absl::IsInvalidArgument(read.addLine(bad)));
}
