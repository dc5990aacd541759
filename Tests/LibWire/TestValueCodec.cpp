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
