#include <CppUTest/TestHarness.h>
#include <bergamot-bench/RecoveryRun.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <string>

using namespace Bergamot;

TEST_GROUP(RecoveryRun)
{
    std::string folder;

    void setup() override
    {
        std::signal(SIGPIPE, SIG_IGN);
        char name[] = "/tmp/bergamot-recovery-test-XXXXXX";
        CHECK(mkdtemp(name) != nullptr);
        folder = name;
    }

    void teardown() override { std::filesystem::remove_all(folder); }
};

// Guards against a benchmark that measures no recovery: a node that does not read the records, because their streams or
// formats have changed, or a measure that is never taken.
TEST(RecoveryRun, MeasuresTheSmallestSize)
{
    RecoveryRun run({ .endedJobs = 1000, .liveJobs = 100, .program = BERGAMOT_NODE_PATH, .folder = folder });
    auto result = run.run();
    CHECK(result.ok());
    LONGS_EQUAL(1, result->elections);
    CHECK(result->progressLoaded.has_value());
    CHECK(result->settled.has_value());
    CHECK(*result->progressLoaded <= *result->settled);
    CHECK(result->firstStart.has_value());
    CHECK(result->allStarted.has_value());
    CHECK(*result->firstStart <= *result->allStarted);
    LONGS_EQUAL(0, result->restartedTasks);
    CHECK(result->peakBytes > 1'000'000);
    CHECK(result->storedBytes > 1000 * 100);
    CHECK(result->readBytes > result->storedBytes);
    CHECK(result->storeCalls > 0);
}

// Guards against a run that waits for its time-out, or that reports a result, when the node cannot be started.
TEST(RecoveryRun, FailsWithoutTheNode)
{
    RecoveryRun run({ .endedJobs = 1, .liveJobs = 1, .program = folder + "/missing", .folder = folder });
    CHECK(!run.run().ok());
}
