#include <CppUTest/TestHarness.h>
#include <LibCore/StatusText.h>
#include <LibWire/AssignedWorkers.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/ValueCodec.h>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(ValueCodec)
{
    JobSpec job { .id = "5c0e7a21d94b36f8",
        .queue = "q",
        .payload = "p",
        .steps = { { .count = 4, .size = { 500, 256, 0 } }, { .count = 2, .dependsOn = { 0 } } },
        .policyAtAcceptance = QueuePolicy { .service = "s", .maxAttempts = 3, .stretch = 1.5 } };

    bool isReadAfter(const std::function<void(JobSpec&)>& change) const
    {
        auto changed = job;
        change(changed);
        return decodeValue<JobSpec>(encodeValue(changed)).ok();
    }
};

// Guards against a record of a few bytes that makes msgpack allocate gigabytes for nested arrays that it announces.
TEST(ValueCodec, ArraysLargerThanTheValueAreRefused)
{
    std::string bytes;
    for (int i = 0; i < 8; ++i)
        bytes += std::string("\xdd\x03\xff\xff\xff", 5);
    for (const auto& status : { decodeValue<JobSpec>(bytes).status(), decodeValue<JobProgress>(bytes).status(),
             decodeValue<AssignedWorkers>(bytes).status(), decodeValue<LeadershipRecord>(bytes).status() })
        STRCMP_CONTAINS("array size overflow", statusText(status).c_str());
}

// Guards against a value whose nesting takes memory for each level.
TEST(ValueCodec, DeepNestingIsRefused)
{
    auto decoded = decodeValue<JobSpec>(std::string(100'000, '\x91'));
    STRCMP_CONTAINS("depth size overflow", statusText(decoded.status()).c_str());
}

// Guards against a stored job that ends each leader in turn: tasks without number, overflowing times, text that cannot
// be sent to a worker.
TEST(ValueCodec, UnusableJobsAreRefused)
{
    constexpr auto max32 = std::numeric_limits<uint32_t>::max();
    constexpr auto max64 = std::numeric_limits<int64_t>::max();
    const std::vector<std::function<void(JobSpec&)>> changes {
        [](JobSpec& it) { it.id = ""; },
        [](JobSpec& it) { it.id = "\xff\xfe"; },
        [](JobSpec& it) { it.payload = "\xc3\x28"; },
        [](JobSpec& it) { it.steps.clear(); },
        [](JobSpec& it) { it.steps[0].count = 0; },
        [](JobSpec& it) { it.steps[0].count = max32; },
        [](JobSpec& it) { it.repeats = max32; },
        [](JobSpec& it) { it.steps.resize(100'000, it.steps[0]); },
        [](JobSpec& it) { it.steps[0].size.cpuMillis = -1; },
        [](JobSpec& it) { it.steps[0].size.memoryMb = max64; },
        [](JobSpec& it) { it.steps[0].size.accelerators = std::numeric_limits<int64_t>::min(); },
        [](JobSpec& it) { it.steps[1].dependsOn = { 1 }; },
        [](JobSpec& it) { it.steps[1].dependsOn = { max32 }; },
        [](JobSpec& it) { it.firstDueMs = max64; },
        [](JobSpec& it) { it.firstDueMs = -1; },
        [](JobSpec& it) { it.intervalMs = -1; },
        [](JobSpec& it) {
            it.repeats = 5000;
            it.intervalMs = int64_t { 1 } << 50;
        },
        [](JobSpec& it) { it.acceptedAtMs = max64; },
        [](JobSpec& it) { it.policyAtAcceptance->stretch = std::numeric_limits<double>::quiet_NaN(); },
        [](JobSpec& it) { it.policyAtAcceptance->stretch = std::numeric_limits<double>::infinity(); },
        [](JobSpec& it) { it.policyAtAcceptance->stretch = -1; },
    };
    for (size_t i = 0; i < changes.size(); ++i)
        CHECK_FALSE_TEXT(isReadAfter(changes[i]), std::to_string(i).c_str());
}

// Guards against accepted jobs that a new leader refuses to read.
TEST(ValueCodec, JobsWithinTheLimitsAreRead)
{
    CHECK(isReadAfter([](JobSpec&) {}));
    CHECK(isReadAfter([](JobSpec& it) { it.payload = "\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80"; }));
    CHECK(isReadAfter([](JobSpec& it) { it.steps[0].count = 10'000; }));
    CHECK(isReadAfter([](JobSpec& it) { it.policyAtAcceptance.reset(); }));
    CHECK(isReadAfter([](JobSpec& it) {
        it.repeats = 8000;
        it.firstDueMs = int64_t { 1 } << 41;
        it.intervalMs = 1000;
    }));
}

// Guards against stored estimates that turn every later estimate into a value that is no number.
TEST(ValueCodec, UnusablePressuresAreRefused)
{
    auto isRead = [](double tail, double pressure) {
        PressureRecord record { .baseTailLatencies = { { "a", tail } }, .pairs = { { "b", "a", pressure } } };
        return decodeValue<PressureRecord>(encodeValue(record)).ok();
    };
    CHECK(isRead(18, 0.5));
    for (auto value : { std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), -1.0 }) {
        CHECK_FALSE(isRead(value, 0.5));
        CHECK_FALSE(isRead(18, value));
    }
}

// Guards against one record of the leadership stream that makes every node delay its claims for ever.
TEST(ValueCodec, UnusableProcessorTimesOfCandidatesAreRefused)
{
    for (int64_t cpuMillis : { int64_t { -1 }, std::numeric_limits<int64_t>::max() }) {
        auto bytes = encodeValue(LeadershipRecord { .member = "m", .cpuMillis = cpuMillis });
        CHECK_FALSE(decodeValue<LeadershipRecord>(bytes).ok());
    }
    CHECK(decodeValue<LeadershipRecord>(encodeValue(LeadershipRecord { .member = "m", .cpuMillis = 64'000 })).ok());
}

// Guards against one record of the leadership stream that fills the memory of every node, or with which all jobs are
// refused for ever.
TEST(ValueCodec, UnusableExpectedWaitsAreRefused)
{
    auto isRead = [](size_t count, size_t nameLength, int64_t waitMs) {
        std::string name(nameLength, 'n');
        LeadershipRecord record { .member = "m" };
        record.expectedWaits.assign(count, { .service = name, .image = name, .waitMs = waitMs });
        auto decoded = decodeValue<LeadershipRecord>(encodeValue(record));
        return decoded.ok() && *decoded == record;
    };
    CHECK(isRead(0, 0, 0));
    CHECK(isRead(maxExpectedWaits, maxExpectedWaitNameLength, maxExpectedWaitMs));
    CHECK_FALSE(isRead(maxExpectedWaits + 1, 1, 1));
    CHECK_FALSE(isRead(1, maxExpectedWaitNameLength + 1, 1));
    CHECK_FALSE(isRead(1, 1, -1));
    CHECK_FALSE(isRead(1, 1, maxExpectedWaitMs + 1));
}
